// Keeps a target to the rate of requests that it named in its responses.
//
// Pattern: token bucket at the only process that sends to the target, so that no agreement between
// caller proxies is needed. A target in need names the number of requests per second that it takes
// from the whole fleet, in each response for as long as the limit applies.
#pragma once

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// Lowest rate that is applied, in requests per second. A target is never left without requests,
// since only its responses show that the limit has ended.
inline constexpr double min_target_rate = 0.5;

// Time over which unused tokens accumulate. At least one token does.
inline constexpr base::duration target_rate_burst_time = base::milliseconds(500);

struct target_rate {
    // Requests per second that the target takes; not set: no limit.
    std::optional<double> limit_;
    token_bucket bucket_;
    // A response of the target has been received, so its limit is known at first hand.
    bool response_received_ = false;
};

// Applies the limit that a response of the target names, or ends it if the response names none.
// Returns true if the limit has changed.
bool apply_response(target_rate& rate, std::optional<double> limit, base::instant now);

// Applies a limit that a caller proxy knows of, unless a response of the target was received here:
// a target proxy that was started again learns of the limit with its first request. Returns true if
// the limit has changed.
bool apply_hint(target_rate& rate, double limit, base::instant now);

// Returns true if a request may be sent to the target now.
bool may_send(target_rate& rate, base::instant now);

// Counts a request that is sent to the target.
void record_sent(target_rate& rate, base::instant now);

// Returns the time until the rate allows a request that `ahead` others precede; zero without a
// limit.
base::duration rate_wait(target_rate& rate, std::size_t ahead, base::instant now);

// Returns the number of requests that run at a time on a target, out of its `slots`, if it gets
// requests at the limit and each takes `run`, zero if unknown; at least 1.
int usable_slots(std::optional<double> limit, int slots, base::duration run);

}  // namespace dandelionridge::policy
