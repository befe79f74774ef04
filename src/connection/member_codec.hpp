#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "connection/key_ring.hpp"
#include "process/member.hpp"
#include "process/member_table.hpp"

namespace jacinthvane {

// Below the payload that every network passes in one piece.
constexpr std::size_t max_member_datagram_bytes = 1200;

// Why a datagram was dropped.
enum class datagram_fault { too_short, too_long, wrong_version, wrong_signature, unreadable };
constexpr std::size_t datagram_fault_count = 5;

std::string_view get_name(datagram_fault fault);

// A datagram is: version, the own entry, number of other entries, these, pulses to the end, and the
// HMAC-SHA256 of all that.
struct member_datagram {
    std::string bytes;
    // How many of the other entries fitted, from the front of the list.
    std::size_t other_count = 0;
};

// The own entry is sent with its details, the others without. Members whose entry is not sent get a pulse, as
// many as fit.
member_datagram encode_members(const member_round& round, const key_ring& keys);

std::variant<member_message, datagram_fault> decode_members(std::string_view bytes, const key_ring& keys);

}  // namespace jacinthvane
