#pragma once

#include <cstdint>
#include <string>

namespace jacinthvane {

// A value of the platform's store with the revision of its last write. Each write increases the revision; 0
// means that the value does not exist.
struct stored_value {
    std::uint64_t revision = 0;
    std::string bytes;

    bool operator==(const stored_value&) const = default;
};

// A lease of the store. The store removes the values that were written under a lease when it expires. 0 means
// no lease.
struct store_lease {
    std::uint64_t id = 0;

    auto operator<=>(const store_lease&) const = default;
};

}  // namespace jacinthvane
