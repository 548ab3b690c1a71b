// Decides what a caller proxy does when an attempt has ended without a response to pass on.
#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace dandelionridge::policy {

// What is known of an attempt that gave no usable response.
enum class attempt_outcome {
    // The attempt did not run and never will.
    not_run,
    // The link was lost; the target proxy is being queried for the attempt's status.
    in_doubt,
    // The attempt may have run, and its status can no longer be determined.
    unknown,
    // The attempt ran, and the target responded with a failure.
    failed,
};

enum class retry_decision {
    // Start another attempt, on another target if there is one.
    retry,
    // Wait for the target proxy's reply about the attempt, and decide again in the meantime.
    wait,
    // Keep the request and decide again: only the budget does not allow a retry now.
    await_budget,
    // Refuse the request and tell the caller that it certainly did not run.
    refuse_not_run,
    // Refuse the request and tell the caller that its outcome is unknown.
    refuse_unknown,
    // Pass the target's failure on to the caller.
    forward_failure,
};

// Bounds on the attempts that reach a service's targets beyond the first one of each request, but
// for those that `trial_budget_share` adds.
struct retry_limits {
    // Retries allowed per request within the window.
    double ratio_ = 0.1;
    // Retries allowed within the window in addition to the ratio.
    double slack_ = 10;
    base::duration window_ = base::seconds(10);
    // Random number in [0, 1) that is added before the retries are rounded down to whole ones: the
    // shares of all hosts then add up to the fleet's budget on average. A large fleet whose hosts
    // all rounded down would use little of it, or none.
    double rounding_ = 0;
};

// Requests and retries of one caller proxy for one service within the window.
struct retry_budget {
    struct interval {
        base::instant started_at_{};
        double requests_ = 0;
        double retries_ = 0;
    };
    std::deque<interval> intervals_;
    // Retries that are reserved for attempts in progress.
    double reserved_ = 0;
};

// A retry that is reserved for an attempt in progress. Returned to the budget when it is destroyed
// without having been used.
class retry_reservation {
public:
    // Reserves a retry if it fits into that share of the budget, which must outlive the
    // reservation.
    retry_reservation(retry_budget& budget, const retry_limits& limits, double share,
                      base::instant now);
    retry_reservation(const retry_reservation&) = delete;
    retry_reservation& operator=(const retry_reservation&) = delete;
    ~retry_reservation();

    // Returns true if a retry is reserved.
    bool held() const { return budget_ != nullptr; }

    // Charges the reserved retry to the budget, as one that begins now.
    void use(const retry_limits& limits, base::instant now);

private:
    retry_budget* budget_ = nullptr;
};

struct retry_context {
    attempt_outcome outcome_ = attempt_outcome::unknown;
    bool idempotent_ = false;
    // The request has no body, or its whole body is still buffered.
    bool replayable_ = false;
    // Attempts that reached a target, and the maximum that the route allows.
    int attempts_ = 1;
    int max_attempts_ = 3;
    // An earlier attempt of the same request may have run.
    bool may_have_run_before_ = false;
    // There is another target that may get the request.
    bool other_target_ = false;
    // That target, or the one that may get the request once more, seems to have a free slot.
    bool slot_free_ = false;
    // The target that lost the response may get the request once more. Attempts count targets, so
    // this is possible also on a route that allows no further attempt.
    bool same_target_ = false;
    // The target broke the attempt off, as it may do with the next one: the budget is not awaited.
    bool target_failed_ = false;
    // The attempt that ended reached no target, so another one does not use the budget.
    bool budget_exempt_ = false;
    // The retry was charged already: it was reserved when the attempt began, or another host lent
    // it.
    bool retry_reserved_ = false;
    // Other requests that wait for the budget.
    std::size_t budget_waiters_ = 0;
    // The request was made by a running request: if it fails, that run is lost as well.
    bool nested_ = false;
    // Time until the request's deadline, and the minimum that another attempt needs.
    base::duration time_left_{};
    base::duration min_time_left_{};
    // The last part of that time, in which no further run may be in progress because this process
    // stops.
    base::duration reserved_time_{};
    // Expected duration of another run; zero if unknown.
    base::duration run_duration_{};
    // Time within which the target proxy of an attempt in doubt will most likely report its status;
    // zero if it is not expected to.
    base::duration status_due_in_{};
};

// Returns the part of its share of the fleet's slack that a process of that age may use. The
// process that it replaced may have used the same share within the window.
double usable_slack_share(base::duration age, base::duration window);

// Returns the time after which an idempotent request is better sent to another target, given the
// expected duration of its run at the present one.
base::duration overdue_after(base::duration run_duration);

// Time from the loss of a link to a process that most likely lives, until it has reported the
// statuses of the link's attempts on a new link.
inline constexpr base::duration usual_status_delay = base::milliseconds(500);

// Returns how long to wait for a target proxy whose link was lost to report the status of an
// attempt and to send its response. An idempotent request does not wait longer for one target: it
// is sent to another one, or its caller is told, since the caller may send it again.
base::duration resolution_wait(bool idempotent, base::duration time_left);

// Time between two decisions on an idempotent request that waits for the budget or for the status
// of its attempt.
inline constexpr base::duration decision_interval = base::milliseconds(100);

// Returns the time after which to decide again on an attempt in doubt, given the rest of the wait
// for its status. Meanwhile the budget may allow a retry, or another target may have become
// available; neither matters to a request that is not idempotent.
base::duration next_decision_after(bool idempotent, base::duration wait_left);

// Returns the share of the budget that a request may use: some of it is reserved for nested ones.
double usable_budget_share(bool nested);

// Share of the budget that requests which test a target on trial may use. What exceeds 1 is
// reserved for them, so that targets that have recovered are found while the rest is spent.
inline constexpr double trial_budget_share = 1.2;

// Counts a new request towards the budget. `repeat_probability` is the probability that a repeated
// run made the request; that fraction of it also counts as a retry.
void record_request(retry_budget& budget, const retry_limits& limits, double repeat_probability,
                    base::instant now);

// Returns true if those limits can allow a retry at some time, given enough requests.
bool can_ever_retry(const retry_limits& limits, double share);

// Returns how many retries that share of the budget allows within a time, if requests come as
// before and no other ones are retried.
double retries_allowed_within(const retry_budget& budget, const retry_limits& limits, double share,
                              base::duration time, base::instant now);

// Returns true if another retry fits into that share of the budget.
bool has_budget(const retry_budget& budget, const retry_limits& limits, double share,
                base::instant now);

// Charges one retry to the budget if it fits into that share of it. Returns whether it did.
bool claim_retry(retry_budget& budget, const retry_limits& limits, double share, base::instant now);

// Returns true if a retry is safe and can end in time, so that only the budget decides on it.
bool may_retry_within_budget(const retry_context& context);

// Returns true if only this host's share of the budget kept the request from a retry, so that
// another host's share may serve it. Nothing is borrowed for a target without a free slot: where a
// service is overloaded, each retry takes the place of a request that was not tried yet.
bool may_borrow_retry(const retry_context& context, retry_decision decision);

// Returns true if a request should wait for a budget that does not allow a retry now.
bool budget_will_suffice(const retry_budget& budget, const retry_limits& limits,
                         const retry_context& context, base::instant now);

// Returns what to do next, and charges a retry to the budget unless it is exempt or reserved, in
// which case the caller uses the reservation. An idempotent
// request whose response was lost and that a retry may still serve is not ended: while its attempt
// most likely goes on, it waits for the attempt's status, and otherwise for the budget.
retry_decision decide_retry(retry_budget& budget, const retry_limits& limits,
                            const retry_context& context, base::instant now);

}  // namespace dandelionridge::policy
