#pragma once

#include <map>
#include <memory>
#include <vector>

#include "connection/memory_upstream.hpp"
#include "connection/start_log.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// A set of in-memory upstreams that share one log.
class memory_fleet {
public:
    memory_fleet() : log_(std::make_shared<start_log>()) {}

    void add(const memory_upstream::settings& given);
    // Returns nullptr if there is no such upstream.
    std::shared_ptr<memory_upstream> find(const upstream_id& upstream) const;
    std::vector<std::shared_ptr<memory_upstream>> get_all() const;
    // Advances the upstreams on which the task runs according to the log to the current time.
    void advance_to_now(const task_id& task) const;
    // Advances all upstreams to the current time and returns a snapshot of the log.
    start_log::snapshot read_log() const;

private:
    std::shared_ptr<start_log> log_;
    mutable ordered_mutex mutex_{lock_rank::store};
    std::map<upstream_id, std::shared_ptr<memory_upstream>> upstreams_;
};

}  // namespace jacinthvane
