#include "process/tenure.hpp"

#include <algorithm>

namespace jacinthvane {

tenure tenure::renew(time_point sent_at) const {
    auto renewed = *this;
    const auto deadline = sent_at + rules_.lease_time;
    // Responses can arrive out of order; an older renewal never shortens the term.
    renewed.term_deadline_ = has_lease_ ? std::max(term_deadline_, deadline) : deadline;
    renewed.has_lease_ = true;
    return renewed;
}

tenure tenure::give_up() const {
    auto ended = *this;
    ended.has_lease_ = false;
    ended.term_deadline_ = time_point{};
    return ended;
}

tenure_allowance tenure::get_allowance(time_point now) const {
    if (!has_lease_) {
        return {};
    }
    if (now < term_deadline_) {
        return {1000, term_deadline_};
    }
    const auto tenure_deadline = term_deadline_ + rules_.extended_tenure;
    if (now < tenure_deadline) {
        return {rules_.lapsed_share_permille, tenure_deadline};
    }
    return {0, tenure_deadline};
}

}  // namespace jacinthvane
