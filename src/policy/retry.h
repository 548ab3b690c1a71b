// What an entry does when an attempt has ended without an answer that it should pass on.
#pragma once

#include <deque>

#include "base/clock.h"

namespace dandelionridge::policy {

// What is known of an attempt that gave no answer.
enum class attempt_outcome {
    // It never ran and never will.
    not_run,
    // Its link is lost; its guard is being asked.
    in_doubt,
    // It may have run, and nobody can tell.
    unknown,
    // It ran, and the target answered with a failure.
    failed,
};

enum class retry_decision {
    // Start another attempt, at another target if there is one.
    retry,
    // Wait for the guard's word.
    wait,
    // Tell the caller truthfully that the request did not run.
    refuse_not_run,
    // Tell the caller that the outcome is unknown.
    refuse_unknown,
    // Pass the target's failure on.
    forward_failure,
};

// Bounds on the arrivals at a service's targets beyond the first of each request.
struct retry_limits {
    // Share of the requests within the window.
    double ratio_ = 0.1;
    // Besides, this many within the window.
    double slack_ = 10;
    base::duration window_ = base::seconds(10);
};

// Requests and retries of one entry for one service, over the window.
struct retry_budget {
    struct interval {
        base::instant began_{};
        double requests_ = 0;
        double retries_ = 0;
    };
    std::deque<interval> intervals_;
};

struct retry_context {
    attempt_outcome outcome_ = attempt_outcome::unknown;
    bool idempotent_ = false;
    // The whole body is still at hand, or there was none.
    bool replayable_ = false;
    // Attempts that reached a target, and the most that the route allows.
    int attempts_ = 1;
    int max_attempts_ = 3;
    // Some earlier attempt of the same request may have run.
    bool maybe_ran_before_ = false;
    bool other_target_ = false;
    // The attempt that ended reached no target: another one costs no budget.
    bool budget_exempt_ = false;
    // A request of a running request: its failure costs that one's run as well.
    bool nested_ = false;
    base::duration time_left_{};
    // Time that another run would take.
    base::duration run_duration_{};
};

// Part of the budget that a request may use: some of it is kept for nested ones.
double usable_budget_share(bool nested);

// Counts a new request towards the budget. `repeated` is the probability that a repeated run made
// it: it then counts as a retry.
void record_request(retry_budget& budget, const retry_limits& limits, double repeat_probability,
                    base::instant now);

// True if another retry fits into that part of the budget.
bool has_budget(const retry_budget& budget, const retry_limits& limits, double part,
                base::instant now);

// Decides, and charges the budget for a retry.
retry_decision decide_retry(retry_budget& budget, const retry_limits& limits,
                            const retry_context& context, base::instant now);

}  // namespace dandelionridge::policy
