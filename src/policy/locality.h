// Decides how far from its caller proxy a request goes: to the zone first, then to the region, and
// beyond the region only as much as the region's own targets lack.
//
// Patterns: waterfall by distance, overprovisioning factor, power of d choices. For each service, a
// caller proxy estimates the demand on the targets of a tier from their reports, and sends the
// share of requests beyond the tier that exceeds what the tier's usable targets serve. The requests
// with the smallest bodies go first. A share rises at once and falls slowly, so that it does not
// follow its own effect.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "base/random.h"
#include "policy/balance.h"
#include "policy/run_estimate.h"

namespace dandelionridge::policy {

struct locality_limits {
    // Expected delay, in milliseconds, that keeping a megabyte from crossing a border is worth.
    double zone_cost_ms_per_mb_ = 200;
    double region_cost_ms_per_mb_ = 2000;
    // Cap (0 to 1) on the share of requests that leave their region while it has usable targets.
    double max_spill_share_ = 1;
};

// A body of more bytes than this is heavy: it is sent beyond a border last.
inline constexpr double heavy_body_bytes = 16 * 1024;

// What the targets of one or several tiers have and do, in slots.
struct tier_usage {
    // Slots of usable targets.
    double slots_ = 0;
    // Share of the slots that is in use, from recent reports; above 1 if requests wait.
    double utilisation_ = 0;
    // Number of targets that may get the request.
    std::size_t targets_ = 0;
};

// Usage of a service's targets, by distance.
struct service_usage {
    tier_usage zone_;
    // The whole region, including the zone.
    tier_usage region_;
    tier_usage other_zones_;
    tier_usage beyond_;
};

// The share of requests that go beyond a tier.
struct spill_share {
    double share_ = 0;
    // The share that the tier's present load results from: `share_`, delayed as the load is.
    double effective_ = 0;
    // Demand on the tier in slots, including what has spilled.
    double demand_ = 0;
};

// What a caller proxy remembers of one service.
struct locality_state {
    spill_share zone_;
    spill_share region_;
    // Share of the requests that are light.
    double light_share_ = 0.5;
    // Requests that may leave the region under `max_spill_share_`.
    double leave_credit_ = 0;
    std::optional<base::instant> updated_at_;
};

// Usual number of bytes of a service's responses, by kind of run; negative while none is known.
struct response_sizes {
    std::array<double, run_kind_count> bytes_ = {-1, -1, -1, -1};
};

void record_response_size(response_sizes& sizes, run_kind kind, double bytes);

// Returns the usual number of bytes of such a response; zero if none is known.
double expected_response_bytes(const response_sizes& sizes, run_kind kind);

// What decides whether a request's body waits for a slot.
struct body_wait_context {
    bool idempotent_ = false;
    // Length of the body; nothing if it is sent in chunks.
    std::optional<std::uint64_t> body_length_;
    distance distance_ = distance::same_zone;
    // The whole body is buffered, so that another attempt can send it again.
    bool kept_ = true;
};

// Returns true if the body is to be sent only once the request has a slot. Otherwise one that is
// not kept could be sent to a single target only, and be refused for good if that has no free slot,
// and a large one would cross a border only to be refused.
bool body_waits_for_slot(const body_wait_context& context);

// A choice by locality.
struct locality_choice {
    std::optional<target_choice> target_;
    // The request left its region although a target of it might have taken it.
    bool spilled_ = false;
};

bool is_heavy(const choice_criteria& criteria);

// Returns the costs of the distance for a request of that size.
path_costs path_costs_of(const locality_limits& limits, double body_bytes);

// Returns the usage of the targets by distance.
service_usage measure_usage(std::span<const candidate> candidates);

// Brings the shares up to date with the usage.
void update_shares(locality_state& state, const service_usage& usage, base::instant now);

// Returns the share of the light or heavy requests to spill if `share` of all requests are to, of
// which `light_share` are light: heavy ones go only when no light one stays.
double share_of_weight(double share, double light_share, bool heavy);

// Updates the state and chooses a target by locality. `now` must not go back.
locality_choice choose_by_locality(locality_state& state, std::span<const candidate> candidates,
                                   choice_criteria criteria, const locality_limits& limits,
                                   base::instant now, base::random_engine& random);

}  // namespace dandelionridge::policy
