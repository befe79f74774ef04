#include "connection/record_codec.hpp"

#include <concepts>
#include <exception>
#include <istream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <streambuf>
#include <type_traits>
#include <utility>

#include <cereal/archives/portable_binary.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::uint8_t format_version = 1;
constexpr std::uint8_t batch_tag = 'B';
constexpr std::uint8_t snapshot_tag = 'S';
constexpr std::uint8_t head_tag = 'H';

// Lets cereal read from a byte range without copying it.
class view_buffer : public std::streambuf {
public:
    explicit view_buffer(std::string_view bytes) {
        auto* start = const_cast<char*>(bytes.data());
        setg(start, start, start + bytes.size());
    }

    std::size_t get_remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Counts the bytes written without storing them.
class counting_buffer : public std::streambuf {
public:
    std::size_t get_count() const { return count_; }

protected:
    std::streamsize xsputn(const char*, std::streamsize count) override {
        count_ += static_cast<std::size_t>(count);
        return count;
    }

    int overflow(int c) override {
        ++count_;
        return c == traits_type::eof() ? 0 : c;
    }

private:
    std::size_t count_ = 0;
};

template <typename T>
concept number = std::integral<T> && !std::same_as<T, bool>;

class encoder {
public:
    explicit encoder(std::ostream& stream) : archive_(stream, little_endian()) {}

    template <number T>
    void transfer(const T& value) {
        archive_(value);
    }

    void transfer(const bool& value) { archive_(static_cast<std::uint8_t>(value ? 1 : 0)); }

    void transfer(const std::string& text) {
        archive_(static_cast<std::uint32_t>(text.size()));
        archive_(cereal::binary_data(text.data(), text.size()));
    }

    template <typename Tag>
    void transfer(const strong_id<Tag>& id) {
        transfer(id.get());
    }

    template <typename Enum>
    void transfer_enum(const Enum& value, Enum /*last*/) {
        archive_(static_cast<std::uint8_t>(value));
    }

    void transfer(const std::optional<std::string>& text) {
        transfer(text.has_value());
        if (text) {
            transfer(*text);
        }
    }

    void transfer(const resource_vector& size) {
        archive_(size.get_processors_milli(), size.get_memory_mb(), size.get_accelerators(),
                 size.get_slots());
    }

    template <typename Item, typename Transfer>
    void transfer_list(const std::vector<Item>& items, Transfer transfer_item) {
        archive_(static_cast<std::uint32_t>(items.size()));
        for (const auto& item : items) {
            transfer_item(item);
        }
    }

private:
    static cereal::PortableBinaryOutputArchive::Options little_endian() {
        return cereal::PortableBinaryOutputArchive::Options::LittleEndian();
    }

    cereal::PortableBinaryOutputArchive archive_;
};

// Throws std::runtime_error, or cereal's exception derived from it, if the bytes are malformed.
class decoder {
public:
    explicit decoder(std::string_view bytes)
        : buffer_(check_not_empty(bytes)), stream_(&buffer_), archive_(stream_) {}

    template <number T>
    void transfer(T& value) {
        archive_(value);
    }

    void transfer(bool& value) { value = read_byte(1) == 1; }

    void transfer(std::string& text) {
        const auto size = read_count(1);
        text.resize(size);
        archive_(cereal::binary_data(text.data(), size));
    }

    template <typename Tag>
    void transfer(strong_id<Tag>& id) {
        std::string text;
        transfer(text);
        id = strong_id<Tag>(std::move(text));
    }

    template <typename Enum>
    void transfer_enum(Enum& value, Enum last) {
        value = static_cast<Enum>(read_byte(static_cast<std::uint8_t>(last)));
    }

    void transfer(std::optional<std::string>& text) {
        bool is_present = false;
        transfer(is_present);
        text.reset();
        if (is_present) {
            transfer(text.emplace());
        }
    }

    void transfer(resource_vector& size) {
        std::int64_t processors = 0;
        std::int64_t memory = 0;
        std::int64_t accelerators = 0;
        std::int64_t slots = 0;
        archive_(processors, memory, accelerators, slots);
        size = resource_vector(processors, memory, accelerators, slots);
    }

    template <typename Item, typename Transfer>
    void transfer_list(std::vector<Item>& items, Transfer transfer_item) {
        const auto count = read_count(1);
        items.clear();
        // The vector grows as items are read, so that a corrupt count does not reserve memory for items that
        // do not exist.
        for (std::size_t i = 0; i < count; ++i) {
            transfer_item(items.emplace_back());
        }
    }

    std::uint8_t read_byte(std::uint8_t last) {
        std::uint8_t value = 0;
        archive_(value);
        if (value > last) {
            throw std::runtime_error("an enumerated field has the unknown value " + std::to_string(value));
        }
        return value;
    }

    void check_end() const {
        if (buffer_.get_remaining() != 0) {
            throw std::runtime_error(std::to_string(buffer_.get_remaining()) +
                                     " bytes follow the end of the value");
        }
    }

private:
    static std::string_view check_not_empty(std::string_view bytes) {
        if (bytes.empty()) {
            throw std::runtime_error("the value is empty");
        }
        return bytes;
    }

    std::size_t read_count(std::size_t bytes_per_item) {
        std::uint32_t count = 0;
        archive_(count);
        if (count > buffer_.get_remaining() / bytes_per_item) {
            throw std::runtime_error("a length of " + std::to_string(count) + " exceeds the " +
                                     std::to_string(buffer_.get_remaining()) + " remaining bytes");
        }
        return count;
    }

    view_buffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

// Each transfer function lists the fields once for both directions: the value is const for encoding and
// mutable for decoding.
template <typename Value, typename Plain>
concept value_of = std::same_as<std::remove_const_t<Value>, Plain>;

template <typename Coder>
void transfer_fields(Coder& coder, value_of<process_id> auto& value) {
    coder.transfer(value.vm);
    coder.transfer(value.incarnation);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<writer_mark> auto& value) {
    transfer_fields(coder, value.writer);
    coder.transfer(value.number);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<stored_response> auto& value) {
    coder.transfer(value.status);
    coder.transfer(value.content_type);
    coder.transfer(value.body);
    coder.transfer(value.is_kept);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<key_claimed> auto& value) {
    coder.transfer(value.team);
    coder.transfer(value.key);
    coder.transfer(value.digest);
    transfer_fields(coder, value.claimant);
    coder.transfer(value.claim_number);
    coder.transfer(value.generation);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<key_settled> auto& value) {
    coder.transfer(value.team);
    coder.transfer(value.key);
    transfer_fields(coder, value.claimant);
    coder.transfer(value.claim_number);
    coder.transfer(value.generation);
    coder.transfer_enum(value.run, run_knowledge::ran);
    transfer_fields(coder, value.answer);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_accepted> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.team);
    coder.transfer(value.kind);
    coder.transfer(value.size);
    coder.transfer(value.is_idempotent);
    coder.transfer(value.accepted_at_unix_ms);
    coder.transfer(value.deadline_unix_ms);
    coder.transfer(value.content_type);
    coder.transfer(value.body);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<generation_started> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.generation);
    coder.transfer(value.upstream);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<generation_stopped> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.generation);
    coder.transfer_enum(value.reason, stop_reason::lost);
    coder.transfer(value.checkpoint);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_finished> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.generation);
    transfer_fields(coder, value.answer);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_cancelled> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.author);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_parked> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.generation);
    coder.transfer_enum(value.run, run_knowledge::ran);
    coder.transfer(value.reason);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_reopened> auto& value) {
    coder.transfer(value.job);
    coder.transfer(value.author);
    coder.transfer(value.reason);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<document_written> auto& value) {
    coder.transfer(value.name);
    coder.transfer(value.revision);
    coder.transfer(value.bytes);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<key_entry> auto& value) {
    transfer_fields(coder, value.claim);
    coder.transfer_enum(value.state, key_state::settled);
    coder.transfer_enum(value.run, run_knowledge::ran);
    transfer_fields(coder, value.answer);
    coder.transfer(value.changed_at_ms);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<document_entry> auto& value) {
    coder.transfer(value.name);
    coder.transfer(value.revision);
    coder.transfer(value.bytes);
}

template <typename Coder>
void transfer_fields(Coder& coder, value_of<snapshot_part> auto& value) {
    coder.transfer(value.revision);
    coder.transfer(value.bytes);
    coder.transfer(value.digest);
}

// Transfers all fields of a job except the accepted job, which the entry holds by pointer.
template <typename Coder>
void transfer_fields(Coder& coder, value_of<job_entry> auto& value) {
    coder.transfer_enum(value.state, job_state::cancelled);
    coder.transfer(value.generation);
    coder.transfer(value.upstream);
    auto last_stop = value.last_stop.value_or(stop_reason::not_started);
    bool has_stopped = value.last_stop.has_value();
    coder.transfer(has_stopped);
    coder.transfer_enum(last_stop, stop_reason::lost);
    if constexpr (!std::is_const_v<std::remove_reference_t<decltype(value)>>) {
        value.last_stop = has_stopped ? std::optional(last_stop) : std::nullopt;
    }
    coder.transfer(value.evictions);
    coder.transfer(value.failures);
    coder.transfer(value.checkpoint);
    coder.transfer(value.is_startable);
    coder.transfer_enum(value.run, run_knowledge::ran);
    coder.transfer(value.reason);
    transfer_fields(coder, value.answer);
    coder.transfer(value.changed_at_ms);
}

void transfer_record(encoder& coder, const journal_record& record) {
    coder.transfer(static_cast<std::uint8_t>(record.index()));
    std::visit([&](const auto& fields) { transfer_fields(coder, fields); }, record);
}

template <std::size_t Index = 0>
journal_record make_record(std::size_t index) {
    if constexpr (Index < std::variant_size_v<journal_record>) {
        return index == Index ? journal_record(std::in_place_index<Index>) : make_record<Index + 1>(index);
    } else {
        throw std::runtime_error("unknown record type " + std::to_string(index));
    }
}

void transfer_record(decoder& coder, journal_record& record) {
    record = make_record(coder.read_byte(std::variant_size_v<journal_record> - 1));
    std::visit([&](auto& fields) { transfer_fields(coder, fields); }, record);
}

void transfer_key(encoder& coder, const std::shared_ptr<const key_entry>& entry) {
    transfer_fields(coder, *entry);
}

void transfer_key(decoder& coder, std::shared_ptr<const key_entry>& entry) {
    key_entry fields;
    transfer_fields(coder, fields);
    entry = std::make_shared<const key_entry>(std::move(fields));
}

void transfer_job(encoder& coder, const std::shared_ptr<const job_entry>& entry) {
    transfer_fields(coder, *entry->accepted);
    transfer_fields(coder, *entry);
}

void transfer_job(decoder& coder, std::shared_ptr<const job_entry>& entry) {
    job_accepted accepted;
    transfer_fields(coder, accepted);
    job_entry fields;
    fields.accepted = std::make_shared<const job_accepted>(std::move(accepted));
    transfer_fields(coder, fields);
    entry = std::make_shared<const job_entry>(std::move(fields));
}

template <typename Coder>
void transfer_batch(Coder& coder, value_of<journal_batch> auto& batch) {
    coder.transfer(batch.sequence);
    transfer_fields(coder, batch.mark);
    coder.transfer(batch.elapsed_ms);
    coder.transfer_list(batch.records, [&](auto& record) { transfer_record(coder, record); });
}

template <typename Coder>
void transfer_snapshot(Coder& coder, value_of<shard_snapshot> auto& snapshot) {
    coder.transfer(snapshot.sequence);
    coder.transfer(snapshot.time_ms);
    coder.transfer_list(snapshot.recent_marks, [&](auto& item) {
        coder.transfer(item.first);
        transfer_fields(coder, item.second);
    });
    coder.transfer_list(snapshot.keys, [&](auto& entry) { transfer_key(coder, entry); });
    coder.transfer_list(snapshot.jobs, [&](auto& entry) { transfer_job(coder, entry); });
    coder.transfer_list(snapshot.documents, [&](auto& entry) { transfer_fields(coder, entry); });
}

template <typename Coder>
void transfer_head(Coder& coder, value_of<snapshot_head> auto& head) {
    coder.transfer(head.sequence);
    coder.transfer(head.removed_through);
    transfer_fields(coder, head.mark);
    coder.transfer_list(head.parts, [&](auto& part) { transfer_fields(coder, part); });
}

template <typename Transfer>
std::string encode(std::uint8_t tag, Transfer transfer) {
    std::ostringstream stream;
    {
        stream.put(static_cast<char>(tag)).put(static_cast<char>(format_version));
        encoder coder(stream);
        transfer(coder);
    }
    return std::move(stream).str();
}

template <typename Value, typename Transfer>
absl::StatusOr<Value> decode(std::uint8_t tag, std::string_view bytes, const char* what, Transfer transfer) {
    if (bytes.size() < 2 || static_cast<std::uint8_t>(bytes[0]) != tag) {
        return make_error(error_kind::internal,
                          std::string("the value does not have the type tag of a ") + what);
    }
    if (static_cast<std::uint8_t>(bytes[1]) != format_version) {
        return make_error(error_kind::internal, std::string(what) + " has the unsupported encoding version " +
                                                    std::to_string(static_cast<std::uint8_t>(bytes[1])) +
                                                    ", expected version " + std::to_string(format_version));
    }
    try {
        Value value;
        decoder coder(bytes.substr(2));
        transfer(coder, value);
        coder.check_end();
        return value;
    } catch (const std::runtime_error& error) {
        return make_error(error_kind::internal, std::string("cannot decode ") + what + ": " + error.what());
    }
}

bool is_batch_in_range(const journal_batch& batch) {
    return batch.sequence > 0 && batch.elapsed_ms >= 0 && batch.elapsed_ms <= max_batch_elapsed_ms;
}

}  // namespace

std::string encode_batch(const journal_batch& batch) {
    return encode(batch_tag, [&](encoder& coder) { transfer_batch(coder, batch); });
}

absl::StatusOr<journal_batch> decode_batch(std::string_view bytes) {
    auto batch = decode<journal_batch>(batch_tag, bytes, "batch", [](decoder& coder, journal_batch& value) {
        transfer_batch(coder, value);
    });
    if (batch.ok() && !is_batch_in_range(*batch)) {
        return make_error(error_kind::internal,
                          "batch " + std::to_string(batch->sequence) +
                              " is out of range: its sequence must be at least 1, and its elapsed time of " +
                              std::to_string(batch->elapsed_ms) + " ms must be from 0 to " +
                              std::to_string(max_batch_elapsed_ms) + " ms");
    }
    return batch;
}

std::string encode_snapshot(const shard_snapshot& snapshot) {
    return encode(snapshot_tag, [&](encoder& coder) { transfer_snapshot(coder, snapshot); });
}

absl::StatusOr<shard_snapshot> decode_snapshot(std::string_view bytes) {
    return decode<shard_snapshot>(snapshot_tag, bytes, "snapshot", [](decoder& coder, shard_snapshot& value) {
        transfer_snapshot(coder, value);
    });
}

std::string encode_head(const snapshot_head& head) {
    return encode(head_tag, [&](encoder& coder) { transfer_head(coder, head); });
}

absl::StatusOr<snapshot_head> decode_head(std::string_view bytes) {
    return decode<snapshot_head>(head_tag, bytes, "snapshot head",
                                 [](decoder& coder, snapshot_head& value) { transfer_head(coder, value); });
}

std::size_t get_encoded_size(const journal_record& record) {
    counting_buffer buffer;
    std::ostream stream(&buffer);
    encoder coder(stream);
    // The archive writes one byte of its own at the start of a batch, which does not belong to the record.
    const auto start = buffer.get_count();
    transfer_record(coder, record);
    return buffer.get_count() - start;
}

}  // namespace jacinthvane
