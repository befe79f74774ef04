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

// Small enough to be sent without IP fragmentation on common networks.
constexpr std::size_t max_member_datagram_bytes = 1200;

// Why a datagram was dropped.
enum class datagram_fault { too_short, too_long, wrong_version, wrong_signature, unreadable };
constexpr std::size_t datagram_fault_count = 5;

std::string_view get_name(datagram_fault fault);

// The layout of a datagram is: version, the sender's own entry, the number of other entries, the other
// entries, pulses up to the signature, and the HMAC-SHA256 of all preceding bytes.
struct member_datagram {
    std::string bytes;
    // Number of other entries that fit, counted from the front of the list.
    std::size_t other_count = 0;
};

// Encodes the local entry with its details and the other entries without. Members whose entry does not fit
// are represented by pulses, as many as fit.
member_datagram encode_members(const member_round& round, const key_ring& keys);

std::variant<member_message, datagram_fault> decode_members(std::string_view bytes, const key_ring& keys);

}  // namespace jacinthvane
