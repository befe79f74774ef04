#pragma once

#include <cassert>

namespace jacinthvane {

// Thrown when an assertion of the TOML library fails.
struct toml_fault {};

[[noreturn]] inline void throw_toml_fault() {
    throw toml_fault{};
}

}  // namespace jacinthvane

// Some malformed documents violate an assertion in the key parser of toml++ 3.3. By default, the library then
// aborts in debug builds and has undefined behavior in release builds, so its assertions throw in both. All
// sources must include this header and not the library's, since its functions are inline.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) ((expr) ? static_cast<void>(0) : ::jacinthvane::throw_toml_fault())
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
#include <cassert>  // NOLINT(readability-duplicate-include)
