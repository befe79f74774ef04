#pragma once

#include <string>

namespace jacinthvane {

// Returns 128 random bits in hexadecimal. Collisions are practically impossible, so a mark that is stored
// with a value identifies the writer of the value.
std::string make_random_id();

}  // namespace jacinthvane
