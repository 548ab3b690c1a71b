// How a call sends a copy of a hedged request, and goes on with it or without it.
#include <algorithm>
#include <utility>

#include "node/call.h"

namespace dandelionridge::node {

// Returns true if a copy of the request is harmless and small. A nested request is not copied: its
// run holds a slot elsewhere, and copies at each level of nesting would multiply.
bool call::hedgeable() const {
    return run_kind() == policy::run_kind::idempotent && !has_body();
}

// Records how long the response of a first attempt took to begin, or how long it has taken so far
// if its copy responds first.
void call::record_response_time() {
    if (hedgeable() && attempts_ == 0 && !may_wait_ && attempt_->written_ && !attempt_->was_copy_ &&
        !attempt_->was_in_doubt_) {
        owner_.hedging_.record_response_time(
            context_.service_->name_, context_.route_->name_,
            owner_.dependencies_.loop_.clock().now() - attempt_->written_at_);
    }
}

// Schedules the copy of a first attempt. There is none if the attempt may wait for a slot, since
// the service is then overloaded, if it tests a target, or if the request has waited for longer
// than the delay already.
void call::start_hedging_timer() {
    if (hedged_ || attempts_ > 0 || resent_ || may_wait_ || attempt_->reserved_retry_ != nullptr ||
        !hedgeable()) {
        return;
    }
    const auto delay = owner_.hedging_.delay_of(context_.service_->name_, context_.route_->name_);
    if (delay && attempt_->written_at_ - started_at_ <= *delay) {
        hedging_timer_.start(*delay, [this] { on_hedging_due(); });
    }
}

// A lost or doubtful target is left to the retries.
void call::on_hedging_due() {
    if (attempt_ == nullptr || head_sent_ || incoming_failure_ || attempt_->was_in_doubt_ ||
        attempt_->link_->suspected() || !attempt_->link_->is_open() || owner_.draining()) {
        return;
    }
    policy::hedging_context context;
    context.attempts_ = attempts_;
    context.max_attempts_ = context_.route_->attempts_;
    context.run_time_left_ = run_time_left();
    context.min_time_left_ = min_time_left();
    context.budget_awaited_ = owner_.budget_waiters_[context_.service_->name_] > 0;
    if (!policy::attempts_allow_copy(context)) {
        return;
    }
    std::set<std::string> excluded = targets_used();
    excluded.insert(busy_targets_.begin(), busy_targets_.end());
    const auto chosen = owner_.choose_copy(context_.service_->name_, criteria(), excluded,
                                           attempt_->link_->peer(), region_limits(), context);
    if (chosen) {
        send_copy(*chosen);
    }
}

void call::send_copy(const chosen_target& chosen) {
    hedged_ = true;
    const std::string& target = chosen.target_->name_;
    std::size_t window = policy::response_window(owner_.dependencies_.response_memory_, target);
    if (const auto buffer = context_.request_.response_buffer_bytes_) {
        window = std::min(window, *buffer);
    }
    copy_claim_.set(target, window);
    copy_sent_at_ = owner_.dependencies_.loop_.clock().now();
    copy_run_duration_ = chosen.run_duration_;
    copy_target_started_ms_ = chosen.target_->started_ms_;
    wire::attempt_begin begin = make_attempt_begin(chosen);
    begin.repeat = true;
    begin.may_wait = false;
    begin.__set_response_window(static_cast<std::int32_t>(window));
    owner_.views_.begin_attempt(target);
    owner_.hedging_.count_sent();
    copy_ = std::make_unique<hedged_attempt>(owner_.dependencies_.links_.link_to(*chosen.host_),
                                             target, window, *this);
    copy_->start(std::move(begin));
}

// Goes on with the copy alone after the first attempt has ended without a response to forward.
// Returns false if there is no copy. `budget_exempt`: the first attempt reached no target.
bool call::continue_with_copy(policy::attempt_outcome outcome, bool budget_exempt) {
    if (copy_ == nullptr) {
        return false;
    }
    may_have_run_ = may_have_run_ || outcome != policy::attempt_outcome::not_run;
    attempts_ += budget_exempt ? 0 : 1;
    tried_targets_.insert(attempt_->target_);
    abandon_attempt();
    adopt_copy();
    end_copy(copy_outcome::took_over);
    return true;
}

// Makes the copy the attempt in progress.
void call::adopt_copy() {
    attempt_ = std::make_unique<current_attempt>();
    attempt_->link_ = &copy_->link();
    attempt_->target_ = copy_->target();
    attempt_->run_duration_ = copy_run_duration_;
    attempt_->target_started_ms_ = copy_target_started_ms_;
    attempt_->id_ = copy_->id();
    attempt_->written_ = copy_->written();
    attempt_->written_at_ = copy_sent_at_;
    attempt_->was_copy_ = true;
    // end_copy() counts the attempt on the target as ended, but it goes on.
    owner_.views_.begin_attempt(attempt_->target_);
    copy_->hand_over(*this);
    if (auto failure = copy_->take_failure()) {
        incoming_failure_ =
            held_failure{std::move(failure->head_), std::move(failure->body_), attempt_->target_};
    }
    const std::size_t held = held_failure_ ? held_failure_->body_.size() : 0;
    response_window_ = copy_->window();
    copy_claim_.set(attempt_->target_, 0);
    response_claim_.set(attempt_->target_, held + response_window_);
    if (attempt_->written_) {
        start_overdue_timer();
    }
}

void call::on_copy_response(const wire::answer_head& head) {
    record_response_time();
    may_have_run_ = true;
    exclude_target();
    owner_.hedging_.count_cut();
    adopt_copy();
    end_copy(copy_outcome::won);
    on_response_head(head);
}

void call::on_copy_report(const wire::target_report& report) {
    owner_.record_report(report);
}

void call::on_copy_refused(const wire::attempt_refused& refusal) {
    if (refusal.__isset.report) {
        owner_.record_report(refusal.report);
    }
    const bool only_target_leaves = refusal.__isset.report && refusal.report.leaving;
    if (refusal.reason == wire::refusal_reason::draining && !only_target_leaves) {
        owner_.record_stop_refusal(copy_->link().peer(), context_.idempotent_);
    }
}

// The request goes on with the first attempt alone.
void call::on_copy_ended(copy_end end) {
    const bool ran = end == copy_end::server_error || end == copy_end::failed;
    if (ran) {
        ++attempts_;
        may_have_run_ = true;
    }
    if (end == copy_end::target_busy) {
        owner_.hedging_.record_slot_refusal(context_.service_->name_);
        busy_targets_.insert(copy_->target());
    } else {
        tried_targets_.insert(copy_->target());
    }
    if (end == copy_end::server_error) {
        hold_copy_failure();
    }
    end_copy(ran ? copy_outcome::failed : copy_outcome::refused);
    // The timer may have expired while the copy ran.
    if (attempt_->written_ && !attempt_->in_doubt_) {
        start_overdue_timer();
    }
}

// Keeps the copy's server error for the case that no other attempt gives a better response, if
// there is memory for it.
void call::hold_copy_failure() {
    auto failure = copy_->take_failure();
    copy_claim_.set(copy_->target(), 0);
    if (!failure || policy::available_to(owner_.dependencies_.response_memory_, attempt_->target_) <
                        failure->body_.size()) {
        return;
    }
    response_claim_.set(attempt_->target_, response_claim_.bytes() + failure->body_.size());
    held_failure_ =
        held_failure{std::move(failure->head_), std::move(failure->body_), copy_->target()};
}

// Cancels the copy, if there is one, because the request needs it no more.
void call::cancel_copy(copy_outcome outcome) {
    hedging_timer_.cancel();
    if (copy_ == nullptr) {
        return;
    }
    ++attempts_;
    tried_targets_.insert(copy_->target());
    copy_->cancel();
    owner_.hedging_.count_cut();
    end_copy(outcome);
}

void call::end_copy(copy_outcome outcome) {
    const base::instant now = owner_.dependencies_.loop_.clock().now();
    owner_.hedging_.record_copy(
        outcome, {{"request", request_id_},
                  {"route", context_.route_->name_},
                  {"target", copy_->target()},
                  {"sent_after_ms", std::to_string(base::whole_ms(copy_sent_at_ - started_at_))},
                  {"ended_after_ms", std::to_string(base::whole_ms(now - started_at_))}});
    owner_.views_.end_attempt(copy_->target());
    copy_claim_.set(copy_->target(), 0);
    // Destroyed later, because one of its own functions may have called.
    owner_.dependencies_.loop_.defer(
        [owned = std::shared_ptr<hedged_attempt>(std::move(copy_))] {});
}

}  // namespace dandelionridge::node
