#include "process/random_id.hpp"

#include <array>
#include <cstdio>
#include <random>

namespace jacinthvane {

std::string make_random_id() {
    std::random_device device;
    std::array<char, 33> text{};
    for (std::size_t i = 0; i < 4; ++i) {
        std::snprintf(text.data() + i * 8, 9, "%08x", device());
    }
    return text.data();
}

}  // namespace jacinthvane
