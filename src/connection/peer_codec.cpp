#include "connection/peer_codec.hpp"

#include <exception>

#include "connection/wire_archive.hpp"

namespace jacinthvane {

namespace {

constexpr char frame_version = 1;
constexpr char hello_version = 1;
constexpr std::string_view hello_magic = "JVP";
constexpr std::size_t max_announced_ids = 4096;

void append_number(std::string& bytes, std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i > 0; --i) {
        bytes.push_back(static_cast<char>(value >> ((i - 1) * 8)));
    }
}

std::uint64_t read_number(std::string_view bytes) {
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

template <class Message>
std::string encode_message(const Message& message, time_point now) {
    wire_output_archive archive(now);
    archive(message);
    return archive.take_bytes();
}

template <class Message>
absl::StatusOr<Message> decode_message(std::string_view bytes, time_point now) {
    try {
        Message message;
        wire_input_archive archive(bytes, now);
        archive(message);
        if (archive.get_remaining() != 0) {
            return make_error(error_kind::bad_request, std::to_string(archive.get_remaining()) +
                                                           " bytes follow the end of a peer message");
        }
        return message;
    } catch (const std::exception& e) {
        return make_error(error_kind::bad_request, std::string("cannot decode a peer message: ") + e.what());
    }
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, dispatch_request& item) {
    archive(item.start, item.hops, item.key);
}

template <class Archive>
void serialize(Archive& archive, dispatch_reply& item) {
    archive(item.answer, item.upstream);
}

template <class Archive>
void serialize(Archive& archive, claim_key_request& item) {
    archive(item.shard, item.team, item.key, item.digest, item.claimant, item.deadline);
}

template <class Archive>
void serialize(Archive& archive, claim_key_reply& item) {
    serialize_enum(archive, item.outcome, claim_outcome::claimant_not_live);
    archive(item.claim_number, item.generation);
    serialize_enum(archive, item.run, run_knowledge::ran);
    archive(item.answer);
}

template <class Archive>
void serialize(Archive& archive, settle_key_request& item) {
    archive(item.shard, item.team, item.key, item.claim_number, item.generation, item.claimant);
    serialize_enum(archive, item.run, run_knowledge::ran);
    archive(item.answer);
}

template <class Archive>
void serialize(Archive& archive, submit_job_request& item) {
    archive(item.shard, item.job, item.spec, item.key, item.digest, item.finish_by, item.deadline);
}

template <class Archive>
void serialize(Archive& archive, query_job_request& item) {
    archive(item.job, item.team);
}

template <class Archive>
void serialize(Archive& archive, cancel_job_request& item) {
    archive(item.job, item.team);
}

template <class Archive>
void serialize(Archive& archive, job_reply& item) {
    archive(item.job);
    serialize_enum(archive, item.state, work_state::lost);
    archive(item.generation, item.upstream);
    serialize_enum(archive, item.run, run_knowledge::ran);
    archive(item.reason, item.evictions, item.failures, item.answer);
}

template <class Archive>
void serialize(Archive& archive, reserve_task_request& item) {
    archive(item.start);
}

template <class Archive>
void serialize(Archive& archive, start_task_request& item) {
    archive(item.start, item.upstream);
}

template <class Archive>
void serialize(Archive& archive, stop_task_request& item) {
    archive(item.upstream, item.task, item.generation, item.hops);
}

template <class Archive>
void serialize(Archive& archive, checkpoint_task_request& item) {
    archive(item.upstream, item.task, item.generation);
}

template <class Archive>
void serialize(Archive& archive, query_task_request& item) {
    archive(item.upstream, item.task, item.generation, item.hops);
}

template <class Archive>
void serialize(Archive& archive, task_reply& item) {
    archive(item.upstream, item.task, item.generation);
    serialize_enum(archive, item.state, work_state::lost);
    archive(item.checkpoint, item.answer);
}

template <class Archive>
void serialize(Archive& archive, task_report_request& item) {
    archive(item.job, item.upstream, item.task, item.generation);
    serialize_enum(archive, item.state, work_state::lost);
    archive(item.checkpoint, item.answer, item.reason);
}

template <class Archive>
void serialize(Archive& archive, fetch_config_request& item) {
    archive(item.known_version);
}

template <class Archive>
void serialize(Archive& archive, fetch_config_reply& item) {
    archive(item.version, item.bytes);
}

template <class Archive>
void serialize(Archive& archive, announce_leaving_request& item) {
    serialize_list(archive, item.upstreams, max_announced_ids);
    serialize_list(archive, item.entry_vms, max_announced_ids);
    archive(item.version);
}

template <class Archive>
void serialize(Archive& archive, error_reply& item) {
    serialize_enum(archive, item.kind, error_kind::internal);
    archive(item.message);
    serialize_enum(archive, item.run, run_knowledge::ran);
}

std::string encode_request(const peer_request& request, time_point now) {
    return encode_message(request, now);
}

absl::StatusOr<peer_request> decode_request(std::string_view bytes, time_point now) {
    return decode_message<peer_request>(bytes, now);
}

std::string encode_reply(const peer_reply& reply, time_point now) {
    return encode_message(reply, now);
}

absl::StatusOr<peer_reply> decode_reply(std::string_view bytes, time_point now) {
    return decode_message<peer_reply>(bytes, now);
}

std::string frame_codec::make_mac(std::string_view body) const {
    std::string signed_bytes;
    signed_bytes.reserve(8 + body.size());
    append_number(signed_bytes, sequence_, 8);
    signed_bytes += body;
    auto mac = compute_mac(key_, signed_bytes);
    mac.resize(frame_mac_bytes);
    return mac;
}

std::string frame_codec::encode(const peer_frame& frame) {
    std::string body;
    body.reserve(frame_header_bytes + frame.payload.size() + frame_mac_bytes);
    body.push_back(frame_version);
    body.push_back(static_cast<char>(frame.kind));
    body.push_back(static_cast<char>(frame.lane));
    body.push_back(frame.is_last ? 1 : 0);
    append_number(body, frame.correlation_id, 8);
    body += frame.payload;
    body += make_mac(body);
    ++sequence_;
    std::string bytes;
    bytes.reserve(frame_length_bytes + body.size());
    append_number(bytes, body.size(), frame_length_bytes);
    bytes += body;
    return bytes;
}

absl::StatusOr<std::optional<peer_frame>> frame_codec::decode(std::string_view bytes, std::size_t& used) {
    used = 0;
    if (bytes.size() < frame_length_bytes) {
        return std::optional<peer_frame>();
    }
    const auto length = read_number(bytes.substr(0, frame_length_bytes));
    if (length < frame_header_bytes + frame_mac_bytes || length > max_frame_bytes) {
        return make_error(error_kind::bad_request,
                          "a peer frame has a length of " + std::to_string(length) +
                              " bytes; accepted: " + std::to_string(frame_header_bytes + frame_mac_bytes) +
                              " to " + std::to_string(max_frame_bytes));
    }
    if (bytes.size() < frame_length_bytes + length) {
        return std::optional<peer_frame>();
    }
    const auto body = bytes.substr(frame_length_bytes, length - frame_mac_bytes);
    const auto mac = bytes.substr(frame_length_bytes + body.size(), frame_mac_bytes);
    if (!is_same_mac(make_mac(body), mac)) {
        return make_error(error_kind::bad_request, "a peer frame has an invalid signature");
    }
    const auto kind = static_cast<std::uint8_t>(body[1]);
    const auto lane = static_cast<std::uint8_t>(body[2]);
    const auto is_last = static_cast<std::uint8_t>(body[3]);
    if (body[0] != frame_version || kind > static_cast<std::uint8_t>(frame_kind::abandon) ||
        lane > static_cast<std::uint8_t>(peer_lane::bulk) || is_last > 1) {
        return make_error(error_kind::bad_request, "a peer frame has an invalid header");
    }
    ++sequence_;
    used = frame_length_bytes + length;
    return std::optional<peer_frame>(peer_frame{.kind = static_cast<frame_kind>(kind),
                                                .lane = static_cast<peer_lane>(lane),
                                                .is_last = is_last == 1,
                                                .correlation_id = read_number(body.substr(4, 8)),
                                                .payload = std::string(body.substr(frame_header_bytes))});
}

absl::StatusOr<std::size_t> get_hello_length(std::string_view header) {
    if (header.size() < hello_header_bytes || !header.starts_with(hello_magic) ||
        header[hello_magic.size()] != hello_version) {
        return make_error(error_kind::bad_request,
                          "the hello of a peer has an unknown format or an unsupported version");
    }
    return hello_header_bytes + static_cast<std::uint8_t>(header[hello_header_bytes - 1]) +
           key_ring::mac_bytes;
}

std::string encode_hello(const peer_hello& hello, std::string_view context, const key_ring& keys,
                         std::size_t key_index) {
    std::string bytes(hello_magic);
    bytes.push_back(hello_version);
    bytes += hello.nonce;
    const auto region = hello.region.get().substr(0, 255);
    bytes.push_back(static_cast<char>(region.size()));
    bytes += region;
    return bytes + keys.sign(std::string(context) + bytes, key_index);
}

absl::StatusOr<peer_hello> decode_hello(std::string_view bytes, std::string_view context,
                                        const key_ring& keys, std::size_t& key_index) {
    const auto length = get_hello_length(bytes);
    if (!length.ok()) {
        return length.status();
    }
    if (bytes.size() != *length) {
        return make_error(error_kind::bad_request, "the hello of a peer has " + std::to_string(bytes.size()) +
                                                       " bytes, expected " + std::to_string(*length));
    }
    const auto body = bytes.substr(0, bytes.size() - key_ring::mac_bytes);
    const auto found = keys.find_key(std::string(context) + std::string(body), bytes.substr(body.size()));
    if (!found) {
        return make_error(error_kind::unauthorized, "the hello of a peer is signed with an unknown key");
    }
    key_index = *found;
    return peer_hello{.nonce = std::string(body.substr(4, nonce_bytes)),
                      .region = region_id(std::string(body.substr(hello_header_bytes)))};
}

std::string make_direction_key(const key_ring& keys, std::size_t key_index, std::string_view client_nonce,
                               std::string_view server_nonce, bool is_from_client) {
    std::string text = is_from_client ? "jacinthvane peer link, client to server"
                                      : "jacinthvane peer link, server to client";
    text += client_nonce;
    text += server_nonce;
    return keys.sign(text, key_index);
}

}  // namespace jacinthvane
