#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "process/ids.hpp"

namespace jacinthvane {

constexpr std::size_t slices_per_failure_domain = 32;
constexpr std::int64_t full_share_permille = 1000;
// The share that an owner may continue to commit after its lease has expired. Store outages are common and
// long, and takeovers without proof are rare and short, so the expired owner gets the larger share.
constexpr std::int64_t lapsed_share_permille = 750;

// An entry process that serves the failure domain, and the store lease that bounds its term.
struct ownership_member {
    process_id process;
    std::uint64_t lease = 0;

    bool operator==(const ownership_member&) const = default;
};

// The share that stays reserved for a previous owner until there is proof that it has ended.
struct reserved_claim {
    process_id holder;
    std::int64_t share_permille = lapsed_share_permille;

    bool operator==(const reserved_claim&) const = default;
};

struct slice_record {
    std::optional<process_id> owner;
    // Incremented with every change of the owner.
    std::uint64_t epoch = 0;
    std::int64_t share_permille = full_share_permille;
    std::optional<reserved_claim> reservation;

    bool operator==(const slice_record&) const = default;
};

// The value of the store's key ownership/<failure domain>.
struct ownership {
    failure_domain_id failure_domain;
    std::vector<ownership_member> members;
    std::vector<slice_record> slices;

    bool operator==(const ownership&) const = default;
};

// Proofs that a previous owner can no longer start work.
struct holder_handed_over {
    process_id holder;
    bool operator==(const holder_handed_over&) const = default;
};
// Both incarnations bind the same port, so the older one must have ended.
struct newer_incarnation {
    process_id newer;
    bool operator==(const newer_incarnation&) const = default;
};
struct vm_reported_removed {
    vm_id vm;
    bool operator==(const vm_reported_removed&) const = default;
};
struct operator_statement {
    vm_id vm;
    std::string author;
    std::string reason;
    bool operator==(const operator_statement&) const = default;
};
struct tenure_ended {
    process_id holder;
    // How long one process has continuously observed that the holder's lease is expired.
    std::chrono::milliseconds observed_for{0};
    // The extended tenure plus the maximum clock error.
    std::chrono::milliseconds required{0};
    bool operator==(const tenure_ended&) const = default;
};

using end_proof = std::variant<holder_handed_over, newer_incarnation, vm_reported_removed, operator_statement,
                               tenure_ended>;

// A transfer of one slice to another member, to balance the number of slices per member.
struct slice_transfer {
    std::size_t slice = 0;
    process_id to;

    bool operator==(const slice_transfer&) const = default;
};

// Returns the slice of an upstream. All processes compute the same slice.
std::size_t get_slice(const upstream_id& upstream);

ownership make_ownership(const failure_domain_id& failure_domain);

// Returns whether the proof shows that the process has ended.
bool is_proof_for(const end_proof& proof, const process_id& process);

const ownership_member* find_member(const ownership& value, const process_id& process);
std::vector<std::size_t> get_slices_of(const ownership& value, const process_id& process);
// Returns the maximum number of slices per member: ceil(slices / members).
std::size_t get_slice_cap(const ownership& value);

// Adds the process or records its new lease. A newer incarnation on the same VM takes over the slices of the
// older one and ends its reservations. Refused for a process that is older than a member on the same VM.
absl::StatusOr<ownership> join(const ownership& value, const process_id& process, std::uint64_t lease);

// Assigns an unowned slice to a member. Refused if the slice has an owner.
absl::StatusOr<ownership> claim_unowned(const ownership& value, std::size_t slice,
                                        const process_id& claimant);

// Assigns a slice of an owner whose lease has expired to a member. Without proof that the previous owner has
// ended, lapsed_share_permille stays reserved for it and the claimant gets the rest. Refused if that would
// require a second reservation on the slice.
absl::StatusOr<ownership> claim_expired(const ownership& value, std::size_t slice,
                                        const process_id& previous_owner, const process_id& claimant,
                                        const std::optional<end_proof>& proof);

// Removes a member whose lease has expired and distributes its slices among the other members. Slices whose
// claim is refused keep their owner, which then remains a member.
ownership take_over(const ownership& value, const process_id& previous_owner,
                    const std::optional<end_proof>& proof);

// Transfers a slice from its owner to another member. The owner must already start no new work on the slice.
absl::StatusOr<ownership> hand_over(const ownership& value, std::size_t slice, const process_id& owner,
                                    const process_id& to);

// Removes a leaving member and distributes its slices evenly among the others. Ends its reservations as well.
ownership leave(const ownership& value, const process_id& process);

// Ends the reservation of a slice and returns its share to the owner. Refused unless the proof shows
// that the holder of the reservation has ended.
absl::StatusOr<ownership> release_reservation(const ownership& value, std::size_t slice,
                                              const end_proof& proof);

// Returns the transfers of surplus slices of the owner to the members with the fewest slices.
std::vector<slice_transfer> get_transfers(const ownership& value, const process_id& owner);

// Claims unowned slices for the member, up to its cap.
ownership claim_unowned_up_to_cap(const ownership& value, const process_id& claimant);

// Checks the invariants: the shares of a slice add up to at most 1000 permille, and every owner is a member.
absl::Status check_ownership(const ownership& value);

}  // namespace jacinthvane
