#pragma once

#include <cassert>

namespace jacinthvane {

// Thrown where the TOML library finds its own state broken.
struct toml_fault {};

[[noreturn]] inline void throw_toml_fault() {
    throw toml_fault{};
}

}  // namespace jacinthvane

// Some malformed texts reach an assertion in the key parser of toml++ 3.3. The library aborts there in debug
// builds and has undefined behaviour in release builds, so its assertions throw instead in both. All sources
// must include this header and not the library's, since its functions are inline.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) ((expr) ? static_cast<void>(0) : ::jacinthvane::throw_toml_fault())
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
#include <cassert>  // NOLINT(readability-duplicate-include)
