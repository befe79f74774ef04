#pragma once

#include <map>
#include <string>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Rate limits of one token (a token bucket). Calls that exceed them are refused without further processing.
struct admin_rate {
    double calls_per_second = 20;
    double burst = 40;
    int calls_in_progress = 8;

    bool operator==(const admin_rate&) const = default;
};

// Applies the rate limits to each access token. The table is bounded by the number of tokens in the key file;
// calls without a known token share one entry.
class admin_limits {
public:
    explicit admin_limits(admin_rate rate) : rate_(rate) {}

    // Returns false if the call has to be refused. The caller must call finish for each accepted call.
    bool start(const std::string& token_name, time_point now);
    void finish(const std::string& token_name);

private:
    struct bucket {
        double calls_left = 0;
        time_point refilled_at;
        int in_progress = 0;
    };

    void drop_idle(time_point now);

    const admin_rate rate_;
    ordered_mutex mutex_{lock_rank::admin};
    std::map<std::string, bucket> buckets_;
};

}  // namespace jacinthvane
