// Chooses the target that gets a request.
//
// Pattern: shortest expected delay. Ejected targets are passed over as long as at least a set
// share of a service's targets stays in use. Whether a target has recovered is found out with
// requests that lose only time if it has not: idempotent ones that still have another attempt.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "policy/run_estimate.h"

namespace dandelionridge::policy {

// How far a target is from the caller proxy.
enum class distance { same_zone, same_region, other_region };

// A target as one caller proxy sees it.
struct candidate {
    distance distance_ = distance::same_zone;
    // Requests queued or running on the target, as estimated by this caller proxy.
    double load_ = 0;
    // The same without the decay by which `load_` allows for the age of the report; nothing if no
    // report is known.
    std::optional<double> reported_load_;
    // Number of requests that the target runs at a time.
    int slots_ = 1;
    // Requests per second that the target takes from the whole fleet; 0: no limit is known.
    double rate_limit_ = 0;
    // Reported duration of runs of the request's kind; zero if none has been reported.
    base::duration run_duration_{};
    // Age of that report.
    base::duration report_age_{};
    // The target was started a short while ago and is slower than usual.
    bool warming_ = false;
    // The link to the target's host is not open although it was needed, so a request may have to
    // wait for it, or the host has left a ping unanswered. A link that was never needed does not
    // count.
    bool disconnected_ = false;
    // More than once in a row, the link to the target's host was lost or could not be opened.
    bool unreachable_ = false;
    // The target proxy reports that the target fails its requests.
    bool ejected_ = false;
    // The target accepts idempotent requests, one at a time, until it has recovered.
    bool on_trial_ = false;
    // Probability that the target is failing.
    double suspicion_ = 0;
    // The target proxy requests a probe: a request whose outcome shows the target's health.
    bool needs_probe_ = false;
    // No run on the target has been reported.
    bool untried_ = false;
    // The process beside the target stops. The target gets a request only if no other has a free
    // slot, since the process may refuse it.
    bool stopping_ = false;
    // The target must not get the request, for example because its host is leaving.
    bool excluded_ = false;
    // The target is in none of the request's allowed regions. Other requests may use it.
    bool disallowed_ = false;
    // The request was sent to the target already, or refused by it.
    bool tried_ = false;
};

// Additional delay of a request to a target beyond a border.
struct path_costs {
    base::duration zone_{};
    base::duration region_{};
};

// Properties of a request that decide which target it gets.
struct choice_criteria {
    bool idempotent_ = false;
    // If the target fails the request, another target may still get it.
    bool can_retry_ = true;
    // The response is large, so near targets are preferred more strongly.
    bool download_ = false;
    run_kind kind_ = run_kind::non_idempotent;
    // A target had no slot for the request although it seemed to have one.
    bool found_busy_ = false;
    // Share of the targets that always stays in use, even if some of them are ejected.
    double min_share_ = 0;
    // A retry can be reserved for the request, so that it may test a target on trial although
    // `can_retry_` is false.
    bool can_reserve_retry_ = false;
    // Replaces the usual costs of a distance.
    std::optional<path_costs> path_costs_ = std::nullopt;
    // Bytes of the request's body and, as expected, of its response.
    double body_bytes_ = 0;
};

struct target_choice {
    // Index of the chosen target in the list of candidates.
    std::size_t index_ = 0;
    // The target is out of rotation but was chosen nevertheless, because too few others are left.
    bool allow_ejected_ = false;
    // The request tests a target on trial, which it may do only with a retry reserved.
    bool trial_ = false;
};

// Returns true if the target seems to have a slot for another request.
bool has_free_slot(const candidate& target);

// Returns the median of the durations above zero; nothing if there is none.
std::optional<base::duration> median_duration(std::vector<base::duration> durations);

// Returns the expected time from now until the target's response. `usual_duration` is the duration
// of a run on a typical target of the service.
base::duration expected_delay(const candidate& target, const choice_criteria& criteria,
                              base::duration usual_duration);

// Returns the target with the shortest expected delay, weighted with the target's health and a
// small random factor, or nothing if no target may get the request.
std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           base::random_engine& random);

// For each target, whether it may get a request.
using target_set = std::vector<bool>;

// Returns the targets whose process does not stop and that are in rotation or needed for the
// minimum share.
target_set targets_in_rotation(std::span<const candidate> candidates,
                               const choice_criteria& criteria);

// As above, but compares the given sets of targets, one after the other until the best one so far
// has a free slot. Other targets are considered as above if the sets yield none.
std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           std::span<const target_set> samples,
                                           base::random_engine& random);

}  // namespace dandelionridge::policy
