// Decides on hedged requests: whether and when a second copy of a request that may be repeated is
// sent to another target.
//
// Pattern: hedged requests after a high quantile of the observed response times (Dean and Barroso,
// "The Tail at Scale"), switched off above a load threshold, beyond which copies lengthen the
// response times of all requests (Vulimiri et al., "Low Latency via Redundancy").
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "base/random.h"
#include "policy/balance.h"

namespace dandelionridge::policy {

// Quantile of the observed response times after which a copy is sent.
inline constexpr double hedging_quantile = 0.95;

// Number of logarithmic buckets of response times. Neighbours differ by about 9%.
inline constexpr std::size_t response_time_buckets = 128;

// Response times of one kind of request over one to two periods.
struct response_times {
    struct period {
        base::instant began_at_{};
        std::uint64_t count_ = 0;
        // The first bucket holds times below the range, the last one those above it.
        std::array<std::uint32_t, response_time_buckets + 2> counts_{};
    };
    period present_;
    period previous_;
};

// Records the time from the sending of a request until its response began. An attempt that was
// cancelled in favour of its copy counts with the time that it had taken until then: if it were
// left out, the quantile would fall with each copy.
void record_response_time(response_times& times, base::duration elapsed, base::instant now);

// Returns the delay after which a copy is sent; nothing while too few response times are known.
std::optional<base::duration> hedging_delay(const response_times& times, base::instant now);

// The copies that one caller proxy may send to the targets of one service.
struct hedging_budget {
    // Copies that may be sent now, earned by the service's requests.
    double tokens_ = 0;
    // When a target last refused a request for lack of a free slot.
    std::optional<base::instant> refused_at_;
};

// Credits a new request of the service with the share of copies, 0 to 1, that the operator allows.
void credit_request(hedging_budget& budget, double max_share);

// Records that a target refused a request for lack of a free slot.
void record_slot_refusal(hedging_budget& budget, base::instant now);

// Returns true if the share allows another copy.
bool has_copy(const hedging_budget& budget, double max_share);

// Charges a copy. Requires has_copy().
void charge_copy(hedging_budget& budget);

// Returns true if the service is overloaded, so that copies would take slots from first attempts:
// its usable targets are mostly busy, or a target refused a request a short while ago.
bool is_overloaded(const hedging_budget& budget, std::span<const candidate> candidates,
                   base::instant now);

// Returns true if a target may get a copy: it is near, sound, warm, has not got the request yet and
// seems to have a free slot.
bool may_get_copy(const candidate& target);

// Returns the index of the target that gets the copy: the better of two random ones of those that
// may get it, so that the caller proxies do not all choose the same. Returns nothing if none may.
std::optional<std::size_t> choose_copy_target(std::span<const candidate> candidates,
                                              const choice_criteria& criteria,
                                              base::random_engine& random);

// A request whose attempt has taken as long as the hedging delay.
struct hedging_context {
    // Attempts that have ended, and the maximum that the route allows.
    int attempts_ = 0;
    int max_attempts_ = 1;
    // Time that is left for a run, the expected duration of the copy's run, and the minimum that an
    // attempt needs.
    base::duration run_time_left_{};
    base::duration run_duration_{};
    base::duration min_time_left_{};
    // Other requests to the service wait for the retry budget.
    bool budget_awaited_ = false;
};

// Returns true if the route's number of attempts allows a copy beside the attempt in progress.
bool attempts_allow_copy(const hedging_context& context);

// Returns true if a copy can end in time.
bool copy_can_end(const hedging_context& context);

}  // namespace dandelionridge::policy
