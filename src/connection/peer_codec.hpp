#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "connection/key_ring.hpp"
#include "connection/peer_message.hpp"
#include "process/clock.hpp"

namespace jacinthvane {

// Deadlines are sent as the time remaining at the given clock reading, because the machines' clocks are not
// synchronized. Errors of decoding: bad_request.
std::string encode_request(const peer_request& request, time_point now);
absl::StatusOr<peer_request> decode_request(std::string_view bytes, time_point now);
std::string encode_reply(const peer_reply& reply, time_point now);
absl::StatusOr<peer_reply> decode_reply(std::string_view bytes, time_point now);

// The content of a frame. An abandon frame notifies the receiver that the rest of a message will not follow.
enum class frame_kind : std::uint8_t { heartbeat, request, reply, abandon };

// One frame of a link: a complete message or a chunk of one. Chunks of different messages may be interleaved.
struct peer_frame {
    frame_kind kind = frame_kind::heartbeat;
    peer_lane lane = peer_lane::urgent;
    bool is_last = true;
    std::uint64_t correlation_id = 0;
    std::string payload;

    bool operator==(const peer_frame&) const = default;
};

// A chunk of this size takes 4.4 ms on the 30 Mbit/s link between regions. This bounds the time for which a
// large body can delay a small message.
constexpr std::size_t max_chunk_bytes = 16U << 10U;

// The layout of a frame is: length (4 bytes), version, kind, lane and last-chunk flag (1 byte each),
// correlation id (8 bytes), the payload, and the first 16 bytes of an HMAC-SHA256 of the sequence number,
// header and payload.
constexpr std::size_t frame_length_bytes = 4;
constexpr std::size_t frame_header_bytes = 12;
constexpr std::size_t frame_mac_bytes = 16;
constexpr std::size_t max_frame_bytes = frame_header_bytes + max_chunk_bytes + frame_mac_bytes;

// Signs and verifies the frames of one direction of one link. The handshake derives a key for this link from
// a nonce of each side, and every frame is signed with that key together with its sequence number. A
// handshake alone would not detect frames that are injected or corrupted later. Signatures without nonces
// would allow replays of old frames, such as a second start order for the same task. One HMAC of a small
// frame takes about a microsecond.
class frame_codec {
public:
    explicit frame_codec(std::string direction_key) : key_(std::move(direction_key)) {}

    // Returns the bytes of the next frame, preceded by their length.
    std::string encode(const peer_frame& frame);

    // Decodes the first complete frame of the bytes and sets used to its length. Returns no frame if more
    // bytes are needed. Errors: bad_request; the link must be closed after an error.
    absl::StatusOr<std::optional<peer_frame>> decode(std::string_view bytes, std::size_t& used);

private:
    std::string make_mac(std::string_view body) const;

    std::string key_;
    std::uint64_t sequence_ = 0;
};

constexpr std::size_t nonce_bytes = 16;

// The first message of a link in each direction. The region lets each side apply its budget for links between
// regions.
struct peer_hello {
    std::string nonce;
    region_id region;

    bool operator==(const peer_hello&) const = default;
};

// The layout of a hello is: "JVP", version, nonce, length of the region's name, the name, HMAC-SHA256.
constexpr std::size_t hello_header_bytes = 3 + 1 + nonce_bytes + 1;

// Returns the length of the complete hello, given its first hello_header_bytes. Errors: bad_request.
absl::StatusOr<std::size_t> get_hello_length(std::string_view header);

// The signature covers the context, which is empty for the client's hello and the client's nonce for the
// server's hello.
std::string encode_hello(const peer_hello& hello, std::string_view context, const key_ring& keys,
                         std::size_t key_index);
// Sets key_index to the index of the key that signed the hello. Errors: bad_request, unauthorized.
absl::StatusOr<peer_hello> decode_hello(std::string_view bytes, std::string_view context,
                                        const key_ring& keys, std::size_t& key_index);

// Derives the key for the frames that the client, or otherwise the server, of a link sends.
std::string make_direction_key(const key_ring& keys, std::size_t key_index, std::string_view client_nonce,
                               std::string_view server_nonce, bool is_from_client);

}  // namespace jacinthvane
