#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// The longest remaining time that a message carries. Longer times are reduced to it.
constexpr std::chrono::milliseconds max_remaining_time = std::chrono::hours(24 * 365);

// A cereal archive that writes integers with variable length (7 bits per byte), since a datagram holds only
// 1,200 bytes. Deadlines are written as the remaining time at the given clock reading.
class wire_output_archive
    : public cereal::OutputArchive<wire_output_archive, cereal::AllowEmptyClassElision> {
public:
    explicit wire_output_archive(time_point now)
        : cereal::OutputArchive<wire_output_archive, cereal::AllowEmptyClassElision>(this), now_(now) {}

    time_point get_now() const { return now_; }
    const std::string& get_bytes() const { return bytes_; }
    std::string take_bytes() { return std::move(bytes_); }

    void write_number(std::uint64_t value) {
        while (value >= 0x80U) {
            bytes_.push_back(static_cast<char>(value | 0x80U));
            value >>= 7U;
        }
        bytes_.push_back(static_cast<char>(value));
    }

    void write_bytes(const void* data, std::size_t size) {
        bytes_.append(static_cast<const char*>(data), size);
    }

private:
    time_point now_;
    std::string bytes_;
};

// Reads what wire_output_archive wrote. Throws cereal::Exception on any input that wire_output_archive could
// not have written. A length is checked against the remaining bytes before anything is allocated for it.
class wire_input_archive : public cereal::InputArchive<wire_input_archive, cereal::AllowEmptyClassElision> {
public:
    wire_input_archive(std::string_view bytes, time_point now)
        : cereal::InputArchive<wire_input_archive, cereal::AllowEmptyClassElision>(this),
          now_(now),
          bytes_(bytes) {}

    time_point get_now() const { return now_; }
    std::size_t get_remaining() const { return bytes_.size(); }

    std::uint64_t read_number() {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            require(1);
            const auto byte = static_cast<std::uint8_t>(bytes_.front());
            bytes_.remove_prefix(1);
            if (shift == 63 && byte > 1) {
                break;
            }
            value |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
            if ((byte & 0x80U) == 0) {
                return value;
            }
        }
        throw cereal::Exception("an integer does not fit into 64 bits");
    }

    void read_bytes(void* data, std::size_t size) {
        require(size);
        if (size > 0) {
            std::memcpy(data, bytes_.data(), size);
        }
        bytes_.remove_prefix(size);
    }

    void require(std::size_t size) const {
        if (size > bytes_.size()) {
            throw cereal::Exception("the input is truncated: " + std::to_string(bytes_.size()) + " of " +
                                    std::to_string(size) + " bytes are left");
        }
    }

private:
    time_point now_;
    std::string_view bytes_;
};

template <std::integral T>
void save(wire_output_archive& archive, const T& value) {
    if constexpr (std::is_signed_v<T>) {
        // Zigzag encoding keeps numbers near zero short, whatever their sign.
        const auto wide = static_cast<std::int64_t>(value);
        archive.write_number((static_cast<std::uint64_t>(wide) << 1U) ^
                             static_cast<std::uint64_t>(wide >> 63U));
    } else {
        archive.write_number(static_cast<std::uint64_t>(value));
    }
}

template <std::integral T>
void load(wire_input_archive& archive, T& value) {
    const auto raw = archive.read_number();
    if constexpr (std::is_signed_v<T>) {
        const auto wide = static_cast<std::int64_t>((raw >> 1U) ^ (~(raw & 1U) + 1U));
        value = static_cast<T>(wide);
        if (static_cast<std::int64_t>(value) != wide) {
            throw cereal::Exception("the integer " + std::to_string(wide) +
                                    " is out of the range of its type");
        }
    } else {
        value = static_cast<T>(raw);
        if (static_cast<std::uint64_t>(value) != raw) {
            throw cereal::Exception("the integer " + std::to_string(raw) +
                                    " is out of the range of its type");
        }
    }
}

template <class T>
void save(wire_output_archive& archive, const cereal::BinaryData<T>& data) {
    archive.write_bytes(data.data, data.size);
}

template <class T>
void load(wire_input_archive& archive, cereal::BinaryData<T>& data) {
    archive.read_bytes(data.data, data.size);
}

template <class T>
void save(wire_output_archive& archive, const cereal::SizeTag<T>& tag) {
    archive.write_number(tag.size);
}

template <class T>
void load(wire_input_archive& archive, cereal::SizeTag<T>& tag) {
    tag.size = static_cast<std::size_t>(archive.read_number());
    archive.require(tag.size);
}

template <class Archive, class T>
void serialize(Archive& archive, cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

inline void save(wire_output_archive& archive, const time_point& deadline) {
    const auto left =
        deadline <= archive.get_now() ? std::chrono::milliseconds(0)
        : deadline - archive.get_now() > max_remaining_time
            ? max_remaining_time
            : std::chrono::duration_cast<std::chrono::milliseconds>(deadline - archive.get_now());
    archive.write_number(static_cast<std::uint64_t>(left.count()));
}

inline void load(wire_input_archive& archive, time_point& deadline) {
    const auto left = archive.read_number();
    if (left > static_cast<std::uint64_t>(max_remaining_time.count())) {
        throw cereal::Exception("a remaining time of " + std::to_string(left) +
                                " ms exceeds the maximum of " + std::to_string(max_remaining_time.count()) +
                                " ms");
    }
    deadline = archive.get_now() + std::chrono::milliseconds(left);
}

// Serializes an enumeration whose values range from 0 to the given last value.
template <class Archive, class Enum>
void serialize_enum(Archive& archive, Enum& value, Enum last) {
    auto raw = static_cast<std::uint32_t>(value);
    archive(raw);
    if constexpr (Archive::is_loading::value) {
        if (raw > static_cast<std::uint32_t>(last)) {
            throw cereal::Exception("an enumeration value of " + std::to_string(raw) +
                                    " exceeds the last value, " +
                                    std::to_string(static_cast<std::uint32_t>(last)));
        }
        value = static_cast<Enum>(raw);
    }
}

// Serializes a list of at most the given length. Loading appends the items one by one, so that a false length
// cannot make it allocate more than the remaining bytes could fill.
template <class Archive, class T>
void serialize_list(Archive& archive, std::vector<T>& list, std::size_t max_length) {
    auto length = static_cast<std::uint64_t>(list.size());
    archive(length);
    if constexpr (Archive::is_loading::value) {
        if (length > max_length) {
            throw cereal::Exception("a list has " + std::to_string(length) + " items; the maximum is " +
                                    std::to_string(max_length));
        }
        list.clear();
        for (std::uint64_t i = 0; i < length; ++i) {
            T item;
            archive(item);
            list.push_back(std::move(item));
        }
    } else {
        for (const auto& item : list) {
            archive(item);
        }
    }
}

template <class Tag>
void save(wire_output_archive& archive, const strong_id<Tag>& id) {
    archive(id.get());
}

template <class Tag>
void load(wire_input_archive& archive, strong_id<Tag>& id) {
    std::string value;
    archive(value);
    id = strong_id<Tag>(std::move(value));
}

inline void save(wire_output_archive& archive, const resource_vector& size) {
    archive(size.get_processors_milli(), size.get_memory_mb(), size.get_accelerators(), size.get_slots());
}

inline void load(wire_input_archive& archive, resource_vector& size) {
    std::int64_t processors_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;
    archive(processors_milli, memory_mb, accelerators, slots);
    size = resource_vector(processors_milli, memory_mb, accelerators, slots);
}

template <class Archive>
void serialize(Archive& archive, process_id& id) {
    archive(id.vm, id.incarnation);
}

template <class Archive>
void serialize(Archive& archive, location& place) {
    archive(place.region, place.failure_domain);
}

template <class Archive>
void serialize(Archive& archive, task_spec& spec) {
    archive(spec.task, spec.team, spec.kind);
    serialize_enum(archive, spec.work_class, task_class::batch);
    archive(spec.size, spec.is_idempotent, spec.body);
}

template <class Archive>
void serialize(Archive& archive, task_start& start) {
    archive(start.spec, start.generation, start.resume_from, start.deadline);
}

template <class Archive>
void serialize(Archive& archive, task_response& response) {
    archive(response.task, response.status, response.content_type, response.body);
}

}  // namespace jacinthvane

CEREAL_SETUP_ARCHIVE_TRAITS(jacinthvane::wire_input_archive, jacinthvane::wire_output_archive)
