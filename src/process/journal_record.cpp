#include "process/journal_record.hpp"

namespace jacinthvane {

namespace {

// The separator cannot be part of a team's name, so "a" + "bc" and "ab" + "c" give different subjects.
constexpr char separator = '\0';

struct subject_visitor {
    std::string operator()(const key_claimed& record) const { return get_key(record.team, record.key); }
    std::string operator()(const key_settled& record) const { return get_key(record.team, record.key); }
    std::string operator()(const document_written& record) const {
        return "document" + separator_text + record.name;
    }
    template <typename JobRecord>
    std::string operator()(const JobRecord& record) const {
        return "job" + separator_text + record.job.get();
    }

    std::string get_key(const team_id& team, const idempotency_key& key) const {
        return "key" + separator_text + team.get() + separator_text + key.get();
    }

    std::string separator_text{separator};
};

}  // namespace

std::string get_subject(const journal_record& record) {
    return std::visit(subject_visitor{}, record);
}

}  // namespace jacinthvane
