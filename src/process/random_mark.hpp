#pragma once

#include <string>

namespace jacinthvane {

// Returns 128 random bits in hexadecimal. Two marks are never the same in practice, so a mark tells whose
// write a value holds.
std::string make_mark();

}  // namespace jacinthvane
