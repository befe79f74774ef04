#pragma once

#include <string>
#include <string_view>

namespace review {

std::string encode_base64(std::string_view bytes);
std::string decode_base64(std::string_view text);

}  // namespace review
