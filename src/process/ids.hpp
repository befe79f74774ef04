#pragma once

#include <cstdint>
#include <string>

#include "process/strong_id.hpp"

namespace jacinthvane {

using vm_id = strong_id<struct vm_tag>;
using region_id = strong_id<struct region_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using rack_id = strong_id<struct rack_tag>;
using upstream_id = strong_id<struct upstream_tag>;
using team_id = strong_id<struct team_tag>;
using task_kind = strong_id<struct task_kind_tag>;
using task_id = strong_id<struct task_id_tag>;
using job_id = strong_id<struct job_tag>;
using request_id = strong_id<struct request_tag>;
using idempotency_key = strong_id<struct idempotency_key_tag>;

// One incarnation of an entry process. Each restart on a VM gets a higher incarnation number, so that a
// process is never confused with a previous one on the same VM.
struct process_id {
    vm_id vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const process_id&) const = default;

    std::string to_string() const { return vm.get() + "/" + std::to_string(incarnation); }
};

// Location of a VM. VMs in one failure domain can fail together. The link between regions is slow, and its
// traffic is billed.
struct location {
    region_id region;
    failure_domain_id failure_domain;

    auto operator<=>(const location&) const = default;
};

}  // namespace jacinthvane
