#include "version/ownership.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

bool is_older_on_same_vm(const process_id& process, const process_id& other) {
    return process.vm == other.vm && process.incarnation < other.incarnation;
}

absl::Status refuse(std::size_t slice, const std::string& reason) {
    return make_error(error_kind::version_conflict, "slice " + std::to_string(slice) + " " + reason);
}

void set_owner(slice_record& slice, const std::optional<process_id>& owner) {
    slice.owner = owner;
    ++slice.epoch;
    // A reservation protects the holder against the owner, so it is void once both are the same process.
    if (slice.reservation && slice.reservation->holder == owner) {
        slice.reservation.reset();
    }
    slice.share_permille = full_share_permille - (slice.reservation ? slice.reservation->share_permille : 0);
}

void clear_reservation(slice_record& slice) {
    slice.reservation.reset();
    slice.share_permille = full_share_permille;
}

std::map<process_id, std::size_t> count_slices(const ownership& value) {
    std::map<process_id, std::size_t> counts;
    for (const auto& member : value.members) {
        counts[member.process] = 0;
    }
    for (const auto& slice : value.slices) {
        if (slice.owner) {
            ++counts[*slice.owner];
        }
    }
    return counts;
}

// Returns the member with the fewest slices, except the given process.
std::optional<process_id> find_least_loaded(const ownership& value, const process_id& excluded) {
    std::optional<process_id> least;
    std::size_t least_count = 0;
    for (const auto& [process, count] : count_slices(value)) {
        if (process != excluded && find_member(value, process) != nullptr &&
            (!least || count < least_count)) {
            least = process;
            least_count = count;
        }
    }
    return least;
}

void remove_member(ownership& value, const process_id& process) {
    std::erase_if(value.members, [&](const auto& member) { return member.process == process; });
}

struct proof_check {
    const process_id& process;

    bool operator()(const holder_handed_over& proof) const { return proof.holder == process; }
    bool operator()(const newer_incarnation& proof) const {
        return is_older_on_same_vm(process, proof.newer);
    }
    bool operator()(const vm_reported_removed& proof) const { return proof.vm == process.vm; }
    bool operator()(const operator_statement& proof) const {
        return proof.vm == process.vm && !proof.author.empty() && !proof.reason.empty();
    }
    bool operator()(const tenure_ended& proof) const {
        return proof.holder == process && proof.required.count() > 0 && proof.observed_for >= proof.required;
    }
};

}  // namespace

std::size_t get_slice(const upstream_id& upstream) {
    // FNV-1a, since std::hash may differ between builds and all processes have to compute the same slice.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char byte : upstream.get()) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
    }
    return static_cast<std::size_t>((hash ^ (hash >> 32U)) % slices_per_failure_domain);
}

ownership make_ownership(const failure_domain_id& failure_domain) {
    return ownership{.failure_domain = failure_domain,
                     .members = {},
                     .slices = std::vector<slice_record>(slices_per_failure_domain)};
}

bool is_proof_for(const end_proof& proof, const process_id& process) {
    return std::visit(proof_check{process}, proof);
}

const ownership_member* find_member(const ownership& value, const process_id& process) {
    const auto found = std::find_if(value.members.begin(), value.members.end(),
                                    [&](const auto& member) { return member.process == process; });
    return found == value.members.end() ? nullptr : &*found;
}

std::vector<std::size_t> get_slices_of(const ownership& value, const process_id& process) {
    std::vector<std::size_t> slices;
    for (std::size_t slice = 0; slice < value.slices.size(); ++slice) {
        if (value.slices[slice].owner == process) {
            slices.push_back(slice);
        }
    }
    return slices;
}

std::size_t get_slice_cap(const ownership& value) {
    const auto members = std::max<std::size_t>(1, value.members.size());
    return (value.slices.size() + members - 1) / members;
}

absl::StatusOr<ownership> join(const ownership& value, const process_id& process, std::uint64_t lease) {
    auto changed = value;
    for (const auto& member : value.members) {
        if (is_older_on_same_vm(process, member.process)) {
            return make_error(
                error_kind::version_conflict,
                "process " + process.to_string() + " was replaced by " + member.process.to_string());
        }
    }
    std::erase_if(changed.members, [&](const auto& member) {
        return member.process == process || is_older_on_same_vm(member.process, process);
    });
    changed.members.push_back({process, lease});
    std::sort(changed.members.begin(), changed.members.end(),
              [](const auto& left, const auto& right) { return left.process < right.process; });
    for (auto& slice : changed.slices) {
        if (slice.reservation && is_older_on_same_vm(slice.reservation->holder, process)) {
            clear_reservation(slice);
        }
        if (slice.owner && is_older_on_same_vm(*slice.owner, process)) {
            set_owner(slice, process);
        }
    }
    return changed;
}

absl::StatusOr<ownership> claim_unowned(const ownership& value, std::size_t slice,
                                        const process_id& claimant) {
    if (slice >= value.slices.size()) {
        return refuse(slice, "does not exist");
    }
    if (find_member(value, claimant) == nullptr) {
        return refuse(slice, "cannot be assigned to " + claimant.to_string() + ", which is not a member");
    }
    if (value.slices[slice].owner) {
        return refuse(slice, "belongs to " + value.slices[slice].owner->to_string());
    }
    auto changed = value;
    set_owner(changed.slices[slice], claimant);
    return changed;
}

absl::StatusOr<ownership> claim_expired(const ownership& value, std::size_t slice,
                                        const process_id& previous_owner, const process_id& claimant,
                                        const std::optional<end_proof>& proof) {
    if (slice >= value.slices.size()) {
        return refuse(slice, "does not exist");
    }
    if (find_member(value, claimant) == nullptr || claimant == previous_owner) {
        return refuse(slice, "cannot be assigned to " + claimant.to_string());
    }
    if (value.slices[slice].owner != previous_owner) {
        return refuse(slice, "does not belong to " + previous_owner.to_string());
    }
    if (proof && !is_proof_for(*proof, previous_owner)) {
        return refuse(slice, "has no proof that " + previous_owner.to_string() + " has ended");
    }
    auto changed = value;
    auto& record = changed.slices[slice];
    if (!proof) {
        if (record.reservation && record.reservation->holder != claimant) {
            return refuse(slice, "already has a reservation for " + record.reservation->holder.to_string());
        }
        record.reservation = reserved_claim{previous_owner, lapsed_share_permille};
    }
    set_owner(record, claimant);
    return changed;
}

ownership take_over(const ownership& value, const process_id& previous_owner,
                    const std::optional<end_proof>& proof) {
    auto changed = value;
    remove_member(changed, previous_owner);
    if (changed.members.empty()) {
        return value;
    }
    for (const auto slice : get_slices_of(value, previous_owner)) {
        const auto claimant = find_least_loaded(changed, previous_owner);
        auto claimed = claim_expired(changed, slice, previous_owner, *claimant, proof);
        if (claimed.ok()) {
            changed = *std::move(claimed);
        }
    }
    if (get_slices_of(changed, previous_owner).empty()) {
        return changed;
    }
    changed.members = value.members;
    return changed;
}

absl::StatusOr<ownership> hand_over(const ownership& value, std::size_t slice, const process_id& owner,
                                    const process_id& to) {
    if (slice >= value.slices.size()) {
        return refuse(slice, "does not exist");
    }
    if (value.slices[slice].owner != owner) {
        return refuse(slice, "does not belong to " + owner.to_string());
    }
    if (find_member(value, to) == nullptr || to == owner) {
        return refuse(slice, "cannot be assigned to " + to.to_string());
    }
    auto changed = value;
    set_owner(changed.slices[slice], to);
    return changed;
}

ownership leave(const ownership& value, const process_id& process) {
    auto changed = value;
    remove_member(changed, process);
    for (std::size_t slice = 0; slice < changed.slices.size(); ++slice) {
        auto& record = changed.slices[slice];
        if (record.reservation && record.reservation->holder == process) {
            clear_reservation(record);
        }
        if (record.owner != process) {
            continue;
        }
        set_owner(record, find_least_loaded(changed, process));
    }
    return changed;
}

absl::StatusOr<ownership> release_reservation(const ownership& value, std::size_t slice,
                                              const end_proof& proof) {
    if (slice >= value.slices.size() || !value.slices[slice].reservation) {
        return refuse(slice, "has no reservation");
    }
    const auto& holder = value.slices[slice].reservation->holder;
    if (!is_proof_for(proof, holder)) {
        return refuse(slice, "has no proof that " + holder.to_string() + " has ended");
    }
    auto changed = value;
    clear_reservation(changed.slices[slice]);
    return changed;
}

std::vector<slice_transfer> get_transfers(const ownership& value, const process_id& owner) {
    std::vector<slice_transfer> transfers;
    auto counts = count_slices(value);
    const auto cap = get_slice_cap(value);
    const auto floor = value.slices.size() / std::max<std::size_t>(1, value.members.size());
    const auto slices = get_slices_of(value, owner);
    for (auto position = slices.rbegin(); position != slices.rend(); ++position) {
        std::optional<process_id> least;
        for (const auto& member : value.members) {
            if (member.process != owner && (!least || counts[member.process] < counts[*least])) {
                least = member.process;
            }
        }
        // A transfer is due only if the owner is above the cap or the other member is below an even share;
        // otherwise slices would keep moving between members without end.
        const bool is_due =
            least && (counts[owner] > cap || counts[*least] < floor) && counts[*least] + 1 < counts[owner];
        if (!is_due) {
            break;
        }
        transfers.push_back({*position, *least});
        --counts[owner];
        ++counts[*least];
    }
    return transfers;
}

ownership claim_unowned_up_to_cap(const ownership& value, const process_id& claimant) {
    auto changed = value;
    auto held = get_slices_of(value, claimant).size();
    const auto cap = get_slice_cap(value);
    for (std::size_t slice = 0; slice < value.slices.size() && held < cap; ++slice) {
        auto claimed = claim_unowned(changed, slice, claimant);
        if (claimed.ok()) {
            changed = *std::move(claimed);
            ++held;
        }
    }
    return changed;
}

absl::Status check_ownership(const ownership& value) {
    if (value.slices.size() != slices_per_failure_domain) {
        return make_error(error_kind::bad_configuration,
                          "ownership has " + std::to_string(value.slices.size()) + " slices instead of " +
                              std::to_string(slices_per_failure_domain));
    }
    std::set<vm_id> vms;
    for (const auto& member : value.members) {
        if (member.process.vm.is_empty() || !vms.insert(member.process.vm).second) {
            return make_error(error_kind::bad_configuration,
                              "member " + member.process.to_string() + " is empty or listed twice");
        }
    }
    for (std::size_t slice = 0; slice < value.slices.size(); ++slice) {
        const auto& record = value.slices[slice];
        const auto reserved = record.reservation ? record.reservation->share_permille : 0;
        if (reserved < 0 || record.share_permille < 0 ||
            record.share_permille + reserved > full_share_permille) {
            return make_error(error_kind::bad_configuration,
                              "the share of " + std::to_string(record.share_permille) +
                                  " permille of slice " + std::to_string(slice) +
                                  " and its reserved share of " + std::to_string(reserved) +
                                  " permille are negative or add up to more than the full share");
        }
        if (record.owner && find_member(value, *record.owner) == nullptr) {
            return make_error(error_kind::bad_configuration, "slice " + std::to_string(slice) +
                                                                 " belongs to " + record.owner->to_string() +
                                                                 ", which is not a member");
        }
    }
    return absl::OkStatus();
}

}  // namespace jacinthvane
