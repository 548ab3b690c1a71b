// What a call does when an attempt has ended without a response to forward: a retry, a wait for the
// attempt's status or for the retry budget, or the end of the request.
#include <algorithm>
#include <utility>

#include "node/call.h"

namespace dandelionridge::node {

// Retries the request, waits until the attempt's status is resolved, or ends the request. If a
// response has started, it is resumed or aborted instead. `budget_exempt`: the attempt reached no
// target, so it is not counted and a retry costs no budget.
void call::attempt_ended(policy::attempt_outcome outcome, filter::reason reason,
                         bool budget_exempt) {
    if (head_sent_) {
        exclude_target();
        resume_or_abort();
        return;
    }
    if (continue_with_copy(outcome, budget_exempt)) {
        return;
    }
    const std::string target = attempt_->target_;
    if (!budget_exempt) {
        ++attempts_;
        tried_targets_.insert(target);
    }
    const bool resendable = attempt_->resendable_;
    policy::retry_context retry = plan_retry(outcome, target, resendable, budget_exempt);
    retry.target_failed_ = reason == filter::reason::target_failed;
    const policy::retry_decision decision = decide(retry);
    const bool awaits_budget = decision == policy::retry_decision::await_budget;
    if (decision == policy::retry_decision::wait || (awaits_budget && attempt_->in_doubt_)) {
        --attempts_;
        tried_targets_.erase(target);
        if (awaits_budget) {
            await_budget(retry.run_duration_);
        } else {
            await_resolution();
        }
        return;
    }
    if (decision == policy::retry_decision::retry && !budget_exempt) {
        charge_reserved_retry();
    }
    abandon_attempt();
    may_have_run_ = may_have_run_ || outcome != policy::attempt_outcome::not_run;
    if (decision == policy::retry_decision::retry) {
        start_retry(target, retry);
        return;
    }
    const awaited_retry awaited = {target,  resendable, reason,
                                   outcome, decision,   retry.run_duration_};
    if (!borrow_retry(retry, awaited)) {
        continue_without_retry(awaited);
    }
}

// Asks other hosts for a retry if only this host's share of the budget does not allow one. Returns
// false if none is asked.
bool call::borrow_retry(const policy::retry_context& retry, const awaited_retry& awaited) {
    if (!policy::may_borrow_retry(retry, awaited.decision_)) {
        return false;
    }
    awaited_retry_ = awaited;
    const bool asked = owner_.dependencies_.retry_loans_.request(context_.service_->name_, *this);
    if (!asked) {
        awaited_retry_.reset();
    }
    return asked;
}

void call::on_retry_lent() {
    const awaited_retry awaited = *std::exchange(awaited_retry_, {});
    policy::retry_context retry =
        plan_retry(awaited.outcome_, awaited.target_, awaited.resendable_, false);
    retry.retry_reserved_ = true;
    if (decide(retry) == policy::retry_decision::retry) {
        record_event("retry_borrowed", awaited.target_, time_left());
        start_retry(awaited.target_, retry);
    } else {
        continue_without_retry(awaited);
    }
}

void call::on_no_retry_lent() {
    continue_without_retry(*std::exchange(awaited_retry_, {}));
}

// Waits for this host's share of the budget, or ends the request, as was decided after its last
// attempt.
void call::continue_without_retry(const awaited_retry& awaited) {
    if (awaited.decision_ == policy::retry_decision::await_budget) {
        awaited_retry_ = awaited;
        await_budget(awaited.run_duration_);
    } else {
        end_without_retry(awaited.decision_, awaited.reason_);
    }
}

// Returns what the decision on another attempt depends on, after an attempt at `target`.
// `resendable`: that target may get the request once more.
policy::retry_context call::plan_retry(policy::attempt_outcome outcome, const std::string& target,
                                       bool resendable, bool budget_exempt) {
    policy::retry_context retry = make_retry_context(outcome);
    retry.budget_exempt_ = budget_exempt;
    const auto other = choose();
    retry.other_target_ = other.has_value();
    const bool other_allowed = other && (budget_exempt || attempts_ < context_.route_->attempts_);
    const auto same = resendable && !other_allowed ? find_resend_target(target) : std::nullopt;
    retry.same_target_ = same.has_value();
    const auto& next = same ? same : other;
    retry.slot_free_ = next && next->free_slot_;
    retry.run_duration_ = next && !budget_exempt ? next->run_duration_ : base::duration::zero();
    if (outcome == policy::attempt_outcome::in_doubt && attempt_ != nullptr &&
        !attempt_->link_->failing()) {
        const base::instant now = owner_.dependencies_.loop_.clock().now();
        retry.status_due_in_ =
            std::max<base::duration>(attempt_->status_due_at_ - now, base::duration::zero());
    }
    return retry;
}

// Charges the retry that was reserved for the attempt in progress, if any.
void call::charge_reserved_retry() {
    if (attempt_->reserved_retry_ != nullptr) {
        attempt_->reserved_retry_->use(owner_.retry_limits(),
                                       owner_.dependencies_.loop_.clock().now());
    }
}

policy::retry_decision call::decide(const policy::retry_context& retry) {
    stop_awaiting_budget();
    const auto decision = owner_.decide_retry(context_.service_->name_, retry);
    // A target's failure that is held is a response already: the budget is not awaited.
    return decision == policy::retry_decision::await_budget && held_failure_
               ? policy::retry_decision::refuse_unknown
               : decision;
}

// Starts the attempt that follows one at `target` and for which `retry` was decided.
void call::start_retry(const std::string& target, const policy::retry_context& retry) {
    if (retry.same_target_) {
        resend(*find_resend_target(target));
        return;
    }
    if (!retry.budget_exempt_) {
        record_event("retried", target, time_left());
        owner_.dependencies_.metrics_.count_retry();
    }
    start_attempt();
}

// Waits until the next decision on a retry that the budget does not allow yet.
void call::await_budget(base::duration run_duration) {
    if (!awaited_run_duration_) {
        record_event("budget_awaited", attempt_ ? attempt_->target_ : awaited_retry_->target_,
                     time_left());
        ++owner_.budget_waiters_[context_.service_->name_];
    }
    awaited_run_duration_ = run_duration;
    resolution_timer_.start(policy::decision_interval, [this] {
        if (attempt_ != nullptr) {
            on_decision_due();
        } else {
            on_budget_due();
        }
    });
}

void call::stop_awaiting_budget() {
    if (awaited_run_duration_) {
        --owner_.budget_waiters_[context_.service_->name_];
        awaited_run_duration_.reset();
    }
}

// Returns true if the request waits for the budget and must go on waiting: another attempt could
// still end in time.
bool call::budget_is_missing() const {
    return awaited_run_duration_ &&
           run_time_left() > std::max(*awaited_run_duration_, min_time_left()) &&
           !owner_.may_retry(context_.service_->name_, nested_);
}

// Decides again on a retry after an attempt that has ended. A target is chosen only once there is a
// budget, because many requests may wait.
void call::on_budget_due() {
    if (budget_is_missing()) {
        await_budget(*awaited_run_duration_);
        return;
    }
    const awaited_retry awaited = *awaited_retry_;
    const policy::retry_context retry =
        plan_retry(policy::attempt_outcome::unknown, awaited.target_, awaited.resendable_, false);
    const policy::retry_decision decision = decide(retry);
    if (decision == policy::retry_decision::await_budget) {
        await_budget(retry.run_duration_);
        return;
    }
    awaited_retry_.reset();
    if (decision == policy::retry_decision::retry) {
        start_retry(awaited.target_, retry);
    } else {
        end_without_retry(decision, awaited.reason_);
    }
}

// Sets until when the status of the attempt in doubt is awaited.
void call::start_status_wait(link_loss loss) {
    net::event_loop& loop = owner_.dependencies_.loop_;
    const base::instant now = loop.clock().now();
    attempt_->pauses_before_loss_ = loop.pause_count();
    attempt_->resolve_by_ = now + policy::resolution_wait(context_.idempotent_, time_left());
    attempt_->status_due_at_ = loss == link_loss::closed ? now + policy::usual_status_delay : now;
}

// Waits until the next decision on the attempt in doubt. Its status is requested from the target
// proxy, which may not reply.
void call::await_resolution() {
    const base::duration wait_left =
        attempt_->resolve_by_ - owner_.dependencies_.loop_.clock().now();
    resolution_timer_.start(policy::next_decision_after(context_.idempotent_, wait_left),
                            [this] { on_decision_due(); });
}

// Decides again on the attempt in doubt. After the whole wait its status counts as unknown, but its
// response is still accepted while the request waits for the budget.
void call::on_decision_due() {
    if (time_left() <= base::duration::zero()) {
        on_deadline();
        return;
    }
    if (owner_.dependencies_.loop_.pause_count() != attempt_->pauses_before_loss_) {
        // Nobody could be asked during the pause.
        start_status_wait(link_loss::closed);
        await_resolution();
        return;
    }
    const bool wait_over = owner_.dependencies_.loop_.clock().now() >= attempt_->resolve_by_;
    if (wait_over && budget_is_missing()) {
        await_budget(*awaited_run_duration_);
        return;
    }
    attempt_->resendable_ = wait_over;
    attempt_ended(wait_over ? policy::attempt_outcome::unknown : policy::attempt_outcome::in_doubt,
                  filter::reason::response_lost);
}

// Returns what the decision on another attempt depends on, except for the target that would get it.
policy::retry_context call::make_retry_context(policy::attempt_outcome outcome) const {
    policy::retry_context retry;
    retry.outcome_ = outcome;
    retry.idempotent_ = context_.idempotent_;
    retry.replayable_ = replayable();
    retry.attempts_ = attempts_;
    retry.max_attempts_ = context_.route_->attempts_;
    retry.may_have_run_before_ = may_have_run_;
    retry.nested_ = nested_;
    retry.retry_reserved_ = attempt_ != nullptr && attempt_->reserved_retry_ != nullptr &&
                            attempt_->reserved_retry_->held();
    retry.budget_waiters_ = owner_.budget_waiters_[context_.service_->name_];
    retry.time_left_ = time_left();
    retry.reserved_time_ = time_left() - run_time_left();
    retry.min_time_left_ = min_time_left();
    return retry;
}

void call::end_without_retry(policy::retry_decision decision, filter::reason reason) {
    if (head_sent_) {
        abort_response();
    } else if (held_failure_) {
        forward_held_failure();
    } else if (decision == policy::retry_decision::refuse_not_run && !may_have_run_) {
        refuse_not_run(reason);
    } else {
        refuse_unknown(reason);
    }
}

}  // namespace dandelionridge::node
