#include "connection/member_codec.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <optional>
#include <set>

#include "connection/wire_archive.hpp"

namespace jacinthvane {

namespace {

constexpr char datagram_version = 1;
// The number of entries takes one byte.
constexpr std::size_t count_bytes = 1;
constexpr std::size_t max_entries = 255;
// If not all entries and pulses fit, this share of the space after the local entry is reserved for pulses. At
// 200 members this amounts to about 80 pulses, so each member receives a heartbeat of every other member
// about once a second. Changed entries may use more space, as long as the pulses of all members still arrive
// well within the timeout.
constexpr std::size_t pulse_share_percent = 50;
constexpr std::size_t pulse_share_with_updates_percent = 35;
// Entries carry no deadlines, so the archive's clock reading is not used.
constexpr time_point no_clock{};

// An IPv4 address and port take 6 bytes instead of up to 21 as text.
std::optional<std::uint64_t> pack_address(const std::string& address) {
    std::uint64_t packed = 0;
    const char* position = address.data();
    const char* const end = address.data() + address.size();
    for (const char separator : {'.', '.', '.', ':', '\0'}) {
        const bool is_port = separator == '\0';
        unsigned value = 0;
        const auto result = std::from_chars(position, end, value);
        if (result.ec != std::errc() || value > (is_port ? 65535U : 255U)) {
            return std::nullopt;
        }
        packed = (packed << (is_port ? 16U : 8U)) | value;
        position = result.ptr;
        if (is_port ? position != end : position == end || *position != separator) {
            return std::nullopt;
        }
        position += is_port ? 0 : 1;
    }
    return packed;
}

std::string unpack_address(std::uint64_t packed) {
    std::string address;
    for (const unsigned shift : {40U, 32U, 24U, 16U}) {
        address += std::to_string((packed >> shift) & 0xFFU);
        address += shift == 16U ? ':' : '.';
    }
    return address + std::to_string(packed & 0xFFFFU);
}

void save_address(wire_output_archive& archive, const std::string& address) {
    const auto packed = pack_address(address);
    // An address that the packed form would not restore exactly, such as an IPv6 address, is sent as text.
    const bool is_packed = packed && unpack_address(*packed) == address;
    archive(is_packed);
    if (!is_packed) {
        archive(address);
        return;
    }
    for (unsigned shift = 48; shift > 0; shift -= 8) {
        const auto byte = static_cast<char>(*packed >> (shift - 8));
        archive.write_bytes(&byte, 1);
    }
}

void load_address(wire_input_archive& archive, std::string& address) {
    bool is_packed = false;
    archive(is_packed);
    if (!is_packed) {
        archive(address);
        return;
    }
    std::uint64_t packed = 0;
    for (int i = 0; i < 6; ++i) {
        std::uint8_t byte = 0;
        archive.read_bytes(&byte, 1);
        packed = (packed << 8U) | byte;
    }
    address = unpack_address(packed);
}

// The addresses of a process usually differ only in the port, so only the port is sent if the host is the
// same.
void save_relative_address(wire_output_archive& archive, const std::string& base,
                           const std::string& address) {
    const auto host_length = base.rfind(':') + 1;
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const bool has_same_host = host_length > 0 && address.size() > host_length &&
                               address.compare(0, host_length, base, 0, host_length) == 0 &&
                               std::from_chars(address.data() + host_length, end, port).ptr == end &&
                               std::to_string(port).size() == address.size() - host_length;
    archive(has_same_host);
    if (has_same_host) {
        archive(port);
    } else {
        save_address(archive, address);
    }
}

void load_relative_address(wire_input_archive& archive, const std::string& base, std::string& address) {
    bool has_same_host = false;
    archive(has_same_host);
    if (!has_same_host) {
        load_address(archive, address);
        return;
    }
    std::uint16_t port = 0;
    archive(port);
    address = base.substr(0, base.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, team_running& item) {
    archive(item.team_hash, item.running);
}

template <class Archive>
void serialize(Archive& archive, leaving_report& item) {
    archive(item.upstream, item.version, item.is_leaving);
}

template <class Archive>
void serialize(Archive& archive, member_details& item) {
    serialize_list(archive, item.teams, max_gossiped_teams);
    serialize_list(archive, item.leaving, max_gossiped_leaving);
    serialize_list(archive, item.heard_domains, max_gossiped_domains);
    serialize_list(archive, item.wanted, max_gossiped_wanted);
}

template <class Archive>
void serialize(Archive& archive, member_capacity& item) {
    archive(item.free, item.queue_length);
}

template <class Archive>
void serialize(Archive& archive, member& item) {
    archive(item.process, item.place);
    if constexpr (Archive::is_loading::value) {
        load_address(archive, item.membership_address);
        load_relative_address(archive, item.membership_address, item.caller_address);
        load_relative_address(archive, item.membership_address, item.peer_address);
    } else {
        save_address(archive, item.membership_address);
        save_relative_address(archive, item.membership_address, item.caller_address);
        save_relative_address(archive, item.membership_address, item.peer_address);
    }
    serialize_enum(archive, item.state, member_state::gone);
    archive(item.heartbeat, item.config_version, item.capacity, item.details);
}

namespace {

std::string encode_without_details(const member& entry) {
    auto shortened = entry;
    shortened.details.reset();
    wire_output_archive archive(no_clock);
    archive(shortened);
    return archive.take_bytes();
}

std::string encode_own_entry(const member& own, std::size_t limit) {
    auto reduced = own;
    while (true) {
        wire_output_archive archive(no_clock);
        archive(reduced);
        if (archive.get_bytes().size() <= limit || !reduced.details) {
            return archive.take_bytes();
        }
        // The details fit if names have a usual length. With very long names they are reduced or omitted,
        // because other members would consider this one gone if its entry were not sent at all.
        auto& details = *reduced.details;
        if (!details.teams.empty()) {
            details.teams.resize(details.teams.size() / 2);
        } else if (!details.leaving.empty()) {
            details.leaving.resize(details.leaving.size() / 2);
        } else {
            reduced.details.reset();
        }
    }
}

std::string encode_pulse(const member_pulse& pulse) {
    wire_output_archive archive(no_clock);
    // Hash values are uniformly distributed, so a variable-length encoding would on average be longer.
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        const auto byte = static_cast<char>(pulse.process_hash >> shift);
        archive.write_bytes(&byte, 1);
    }
    archive(pulse.heartbeat);
    return archive.take_bytes();
}

member_pulse decode_pulse(wire_input_archive& archive) {
    member_pulse pulse;
    for (int i = 0; i < 4; ++i) {
        std::uint8_t byte = 0;
        archive.read_bytes(&byte, 1);
        pulse.process_hash = (pulse.process_hash << 8U) | byte;
    }
    archive(pulse.heartbeat);
    return pulse;
}

}  // namespace

std::string_view get_name(datagram_fault fault) {
    switch (fault) {
        case datagram_fault::too_short:
            return "too_short";
        case datagram_fault::too_long:
            return "too_long";
        case datagram_fault::wrong_version:
            return "wrong_version";
        case datagram_fault::wrong_signature:
            return "wrong_signature";
        case datagram_fault::unreadable:
            return "unreadable";
    }
    return "unreadable";
}

member_datagram encode_members(const member_round& round, const key_ring& keys) {
    constexpr auto limit = max_member_datagram_bytes - key_ring::mac_bytes;
    member_datagram datagram;
    datagram.bytes.push_back(datagram_version);
    datagram.bytes += encode_own_entry(*round.own, limit - datagram.bytes.size() - count_bytes);

    std::size_t pulse_bytes = 0;
    for (const auto& pulse : round.pulses) {
        pulse_bytes += encode_pulse(pulse).size();
    }
    const auto room = limit - datagram.bytes.size() - count_bytes;
    const auto reserved_with_updates = std::min(room * pulse_share_with_updates_percent / 100, pulse_bytes);
    const auto reserved_for_pulses = std::min(room * pulse_share_percent / 100, pulse_bytes);
    std::string entries;
    std::set<std::uint32_t> sent;
    for (const auto& other : round.others) {
        const auto bytes = encode_without_details(*other);
        const auto reserved =
            datagram.other_count < round.update_count ? reserved_with_updates : reserved_for_pulses;
        if (datagram.other_count == max_entries || entries.size() + bytes.size() + reserved > room) {
            break;
        }
        entries += bytes;
        sent.insert(hash_process(other->process));
        ++datagram.other_count;
    }
    datagram.bytes.push_back(static_cast<char>(datagram.other_count));
    datagram.bytes += entries;
    for (const auto& pulse : round.pulses) {
        if (sent.contains(pulse.process_hash)) {
            continue;
        }
        const auto bytes = encode_pulse(pulse);
        if (datagram.bytes.size() + bytes.size() > limit) {
            break;
        }
        datagram.bytes += bytes;
    }
    datagram.bytes += keys.sign(datagram.bytes);
    return datagram;
}

std::variant<member_message, datagram_fault> decode_members(std::string_view bytes, const key_ring& keys) {
    if (bytes.size() <= 1 + key_ring::mac_bytes) {
        return datagram_fault::too_short;
    }
    if (bytes.size() > max_member_datagram_bytes) {
        return datagram_fault::too_long;
    }
    if (bytes.front() != datagram_version) {
        return datagram_fault::wrong_version;
    }
    const auto body = bytes.substr(0, bytes.size() - key_ring::mac_bytes);
    if (!keys.find_key(body, bytes.substr(body.size()))) {
        return datagram_fault::wrong_signature;
    }
    try {
        wire_input_archive archive(body.substr(1), no_clock);
        member_message message;
        message.entries.emplace_back();
        archive(message.entries.back());
        std::uint8_t other_count = 0;
        archive.read_bytes(&other_count, count_bytes);
        for (std::size_t i = 0; i < other_count; ++i) {
            message.entries.emplace_back();
            archive(message.entries.back());
        }
        while (archive.get_remaining() > 0) {
            message.pulses.push_back(decode_pulse(archive));
        }
        return message;
    } catch (const std::exception&) {
        return datagram_fault::unreadable;
    }
}

}  // namespace jacinthvane
