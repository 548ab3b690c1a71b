// Keeps a target that has just started, or may have, to the rate of requests that it takes while it
// is cold.
//
// Pattern: sliding window and token bucket at the only process that sends to the target. A target
// may become cold without notice until its entry changes, so the bound on one second holds also
// while it is believed to be warm. While it is known to be cold, the bucket spreads its requests
// evenly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// The bound holds for the requests that arrive in one second. Requests arrive at the target with
// delays that differ by up to the rest of the window.
inline constexpr base::duration warmup_window = base::milliseconds(1100);

// Longest wait for a cold target's rate of a request that no other target could take at once: a few
// requests, so that those that come later still go where a target becomes free.
inline constexpr base::duration max_cold_wait = base::milliseconds(250);

struct warmup_limits {
    // Requests per second that a cold target takes; 0: there is no limit.
    double rate_ = 0;
    // Time for which a target is cold after its start.
    base::duration time_{};
    // A cold target gets at most rate_ * overage_ + slack_ requests in one second.
    double overage_ = 1.5;
    double slack_ = 8;
};

// What is known of a target's entry.
struct warmup_entry {
    // False: the target is not listed yet, so that it may just have started.
    bool listed_ = false;
    std::int64_t started_ms_ = 0;
    std::int64_t sequence_ = 0;
    // Time for which the target stays cold after the entry was written.
    base::duration warmup_left_{};
    // The target's zone is evacuated. Without requests a target may become cold.
    bool evacuated_ = false;
};

struct warmup {
    warmup_limits limits_;
    // Until then, the target gets nothing: an earlier process may have sent it requests.
    base::instant blocked_until_{};
    // The target is cold until then.
    base::instant cold_until_{};
    // The newest entry; its `listed_` is false before the first one.
    warmup_entry entry_;
    // When the requests in the window were sent.
    std::deque<base::instant> sent_;
    // Used while the target is cold.
    token_bucket bucket_;
};

// Returns the state of a target whose process started at that time.
warmup make_warmup(base::instant process_started_at);

// Returns the number of requests that a target gets in one window.
std::size_t window_bound(const warmup_limits& limits);

// Applies the rules and the target's entry. The target counts as cold for as long as its entry says
// and, until its next entry, if it is not listed or if the evacuation of its zone has just ended.
void apply_entry(warmup& target, const warmup_limits& limits, const warmup_entry& entry,
                 base::instant now);

// Returns true if the target is known to be cold.
bool is_cold(const warmup& target, base::instant now);

// Returns true if a request may be sent to the target now.
bool may_send(warmup& target, base::instant now);

// Counts a request that is sent to the target.
void record_sent(warmup& target, base::instant now);

// Returns the time until a request that `ahead` others precede may be sent.
base::duration warmup_wait(warmup& target, std::size_t ahead, base::instant now);

}  // namespace dandelionridge::policy
