#pragma once

#include <cstdint>
#include <string>

namespace jacinthvane {

// A value of the platform's store with the revision of its last write. Revisions grow with every write; a
// revision of 0 stands for "does not exist".
struct stored_value {
    std::uint64_t revision = 0;
    std::string bytes;

    bool operator==(const stored_value&) const = default;
};

// A lease of the store. Values written under it are removed by the store when it lapses. 0 stands for no
// lease.
struct store_lease {
    std::uint64_t id = 0;

    auto operator<=>(const store_lease&) const = default;
};

}  // namespace jacinthvane
