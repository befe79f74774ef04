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
constexpr std::int64_t whole_share_permille = 1000;
// What a lapsed owner may go on committing. Store outages are common and long, takeovers without proof are
// rare and short, so the lapsed owner gets the larger part.
constexpr std::int64_t lapsed_share_permille = 750;

// An entry process that takes part in the failure domain, with the store lease that bounds its term.
struct ownership_member {
    process_id process;
    std::uint64_t lease = 0;

    bool operator==(const ownership_member&) const = default;
};

// Kept for a former owner of which nobody has proved that it has ended.
struct reserved_claim {
    process_id holder;
    std::int64_t share_permille = lapsed_share_permille;

    bool operator==(const reserved_claim&) const = default;
};

struct slice_record {
    std::optional<process_id> owner;
    // Grows with every change of the owner.
    std::uint64_t epoch = 0;
    std::int64_t share_permille = whole_share_permille;
    std::optional<reserved_claim> reservation;

    bool operator==(const slice_record&) const = default;
};

// The value ownership/<failure domain> of the store.
struct ownership {
    failure_domain_id failure_domain;
    std::vector<ownership_member> members;
    std::vector<slice_record> slices;

    bool operator==(const ownership&) const = default;
};

// Proofs that a former owner starts nothing any more.
struct holder_handed_over {
    process_id holder;
    bool operator==(const holder_handed_over&) const = default;
};
// Both incarnations bind the same port, so the older one must be gone.
struct newer_incarnation {
    process_id newer;
    bool operator==(const newer_incarnation&) const = default;
};
struct vm_reported_gone {
    vm_id vm;
    bool operator==(const vm_reported_gone&) const = default;
};
struct operator_statement {
    vm_id vm;
    std::string author;
    std::string reason;
    bool operator==(const operator_statement&) const = default;
};
struct tenure_ended {
    process_id holder;
    // How long one process has continuously known the holder's lease to have lapsed.
    std::chrono::milliseconds observed_for{0};
    // The extended tenure with the clock error added.
    std::chrono::milliseconds required{0};
    bool operator==(const tenure_ended&) const = default;
};

using end_proof =
    std::variant<holder_handed_over, newer_incarnation, vm_reported_gone, operator_statement, tenure_ended>;

// A transfer of one slice that evens out the spread.
struct slice_transfer {
    std::size_t slice = 0;
    process_id to;

    bool operator==(const slice_transfer&) const = default;
};

// Returns the slice of an upstream; all processes compute the same one.
std::size_t get_slice(const upstream_id& upstream);

ownership make_ownership(const failure_domain_id& failure_domain);

// Returns whether the proof shows that the process has ended.
bool is_proof_for(const end_proof& proof, const process_id& process);

const ownership_member* find_member(const ownership& value, const process_id& process);
std::vector<std::size_t> get_slices_of(const ownership& value, const process_id& process);
// The most slices that one member takes: ceil(slices / members).
std::size_t get_slice_cap(const ownership& value);

// Adds the process or records its new lease. A successor of an older incarnation of the same VM takes over
// that one's slices and ends its reservations. Refused for a process older than a member on the same VM.
absl::StatusOr<ownership> join(const ownership& value, const process_id& process, std::uint64_t lease);

// Gives an unowned slice to a member. Refused if the slice has an owner.
absl::StatusOr<ownership> claim_unowned(const ownership& value, std::size_t slice,
                                        const process_id& claimant);

// Gives a slice of an owner whose lease has lapsed to a member. Without a proof that the owner has ended the
// claimant gets what lapsed_share leaves, and the rest stays reserved. Refused if that would need a second
// reservation on the slice.
absl::StatusOr<ownership> claim_lapsed(const ownership& value, std::size_t slice, const process_id& former,
                                       const process_id& claimant, const std::optional<end_proof>& proof);

// Removes a member whose lease has lapsed and spreads its slices over the others. Slices whose claim is
// refused stay with it, and so does the member.
ownership take_over(const ownership& value, const process_id& former, const std::optional<end_proof>& proof);

// Gives a slice of its owner to another member. The owner must have stopped starting work on it.
absl::StatusOr<ownership> hand_over(const ownership& value, std::size_t slice, const process_id& owner,
                                    const process_id& to);

// Gives up all slices of a leaving owner, evenly, and removes it. A reservation it holds ends as well.
ownership leave(const ownership& value, const process_id& process);

// Ends the reservation of a slice and gives its share to the owner. Refused if the proof does not fit.
absl::StatusOr<ownership> release_reservation(const ownership& value, std::size_t slice,
                                              const end_proof& proof);

// Returns the slices that the owner has too many of, with the members that have too few.
std::vector<slice_transfer> get_transfers(const ownership& value, const process_id& owner);

// Claims unowned slices for the member, up to its cap.
ownership claim_unowned_up_to_cap(const ownership& value, const process_id& claimant);

// Checks what every value must hold: shares of a slice never exceed the whole, and owners are members.
absl::Status check_ownership(const ownership& value);

}  // namespace jacinthvane
