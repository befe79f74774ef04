#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "connection/wire_archive.hpp"
#include "process/error_kind.hpp"
#include "process/job_spec.hpp"

namespace jacinthvane {

// Format number in front of each record.
constexpr std::uint32_t record_format = 1;

// cereal finds this function by argument-dependent lookup.
template <class Archive>
void serialize(Archive& archive, queue_rules& rules) {
    archive(rules.queue, rules.service, rules.priority, rules.max_attempts, rules.stretch_permille,
            rules.objective_ms);
}

// Deadlines in the record are written as the time that remains at `now`.
template <class Record>
std::string encode_with_format(const Record& record, time_point now = time_point()) {
    wire_output_archive archive{now};
    archive(record_format, record);
    return archive.take_bytes();
}

// Errors: bad_request, with a message that begins with the name in `what`.
template <class Record>
absl::StatusOr<Record> decode_with_format(std::string_view bytes, const char* what,
                                          time_point now = time_point()) {
    Record record;
    try {
        wire_input_archive archive(bytes, now);
        std::uint32_t format = 0;
        archive(format);
        if (format != record_format) {
            return make_error(error_kind::bad_request, std::string("the ") + what + " has format " +
                                                           std::to_string(format) + ", expected format " +
                                                           std::to_string(record_format));
        }
        archive(record);
        if (archive.get_remaining() != 0) {
            return make_error(error_kind::bad_request, std::string("the ") + what + " has " +
                                                           std::to_string(archive.get_remaining()) +
                                                           " bytes after its end");
        }
    } catch (const cereal::Exception& error) {
        return make_error(error_kind::bad_request,
                          std::string("the ") + what + " cannot be read: " + error.what());
    }
    return record;
}

}  // namespace jacinthvane
