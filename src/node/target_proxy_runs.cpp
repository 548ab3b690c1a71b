// The slots of the target proxy: queues the attempts that it takes, and starts and ends their runs.
// Which it takes is decided in target_proxy_admission.cpp; what it learns of its targets is in
// target_proxy_targets.cpp.
#include <utility>

#include "node/target_proxy.h"
#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

// Maximum idle time of a connection that is reused, by kind of request. It is shorter for requests
// that must not run twice: if the target closes the connection meanwhile, it is unknown whether the
// request ran.
constexpr base::duration max_idle_time_non_idempotent = base::milliseconds(1500);
constexpr base::duration max_idle_time_idempotent = base::seconds(5);

}  // namespace

void target_proxy::drain(const policy::planned_stop& stop) {
    stop_ = stop;
    announce_stop();
    refuse_unrunnable_waiting();
}

void target_proxy::close() {
    if (!std::exchange(closed_, true)) {
        announce_stop();
    }
}

void target_proxy::announce_stop() {
    wire::frame frame;
    frame.__isset.drain_ = true;
    frame.drain_.host = identity_.host_;
    for (auto& [socket, link] : connections_) {
        if (link.handshake_done_) {
            socket->send(frame);
        }
    }
}

void target_proxy::on_begin(connection& link, wire::attempt_begin&& begin) {
    const wire::attempt_ref ref = begin.attempt;
    const policy::ledger_key key{link.caller_proxy_boot_, from_wire(ref)};
    link.last_attempt_at_ = loop_.clock().now();
    if (ref.link != link.link_) {
        send_refusal(link, ref, wire::refusal_reason::duplicate, nullptr, {});
        return;
    }
    switch (policy::admit_attempt(ledger_, key, begin.guard_boot)) {
        case policy::admission::accepted:
            break;
        case policy::admission::wrong_boot:
            send_refusal(link, ref, wire::refusal_reason::wrong_boot, nullptr, {});
            return;
        case policy::admission::barred:
        case policy::admission::duplicate:
            send_refusal(link, ref, wire::refusal_reason::duplicate, nullptr, {});
            return;
    }
    if (const auto reason = rejection_reason(begin)) {
        policy::refuse_attempt(ledger_, key);
        counters_.refused_while_stopping_ += stop_ ? 1 : 0;
        send_refusal(link, ref, *reason, find_state(begin), {});
        return;
    }
    const std::optional<local_target> found = find_target(make_admission_view(), begin);
    target_state& target = find_or_add_target(*found, begin.target_name, begin.service_name);
    if (begin.__isset.target_rate_limit && !is_warmup_rate(target, begin.target_rate_limit) &&
        policy::apply_hint(target.rate_, begin.target_rate_limit, loop_.clock().now())) {
        on_rate_limit_changed(target, "caller_proxy");
    }
    policy::waiting_request waiting = make_waiting_request(target, begin);
    if (const auto reason = target_rejection_reason(target, waiting, begin)) {
        policy::refuse_attempt(ledger_, key);
        counters_.busy_while_stopping_ += stop_ ? 1 : 0;
        send_refusal(link, ref, *reason, &target, expected_wait(target, waiting));
        return;
    }
    counters_.taken_while_stopping_ += stop_ ? 1 : 0;
    enqueue(base::to_string(found->address_), key, std::move(waiting), std::move(begin));
}

void target_proxy::enqueue(const std::string& target_key, policy::ledger_key key,
                           policy::waiting_request waiting, wire::attempt_begin&& begin) {
    waiting.id_ = next_queue_id_++;
    auto attempt = std::make_unique<target_proxy_attempt>(loop_, *this, headers_, memory_, key,
                                                          std::move(begin));
    attempt->set_queue_id(waiting.id_);
    attempt->set_target_key(target_key);
    attempt->wait_until(policy::latest_start(waiting));
    waiting_.emplace(waiting.id_, key);
    attempts_.emplace(key, std::move(attempt));
    policy::push(targets_[target_key].queue_, std::move(waiting));
    dispatch_waiting(target_key);
}

// Refuses queued attempts that cannot end before their deadline.
void target_proxy::refuse_late(target_state& target) {
    const base::instant now = loop_.clock().now();
    const auto rate_wait_of = [&](std::size_t ahead) { return limit_wait(target, ahead); };
    const bool limited = target.rate_.limit_ || !policy::may_send(target.warmup_, now);
    const std::vector<std::uint64_t> late =
        limited ? policy::remove_late(target.queue_, rate_wait_of, now)
                : policy::remove_infeasible(target.queue_, now);
    for (const std::uint64_t id : late) {
        const auto key = waiting_.find(id);
        target_proxy_attempt& attempt = *attempts_.at(key->second);
        waiting_.erase(key);
        refuse(attempt, wire::refusal_reason::deadline);
    }
}

// Sends as many queued attempts to a target as it has free slots and its rate allows.
void target_proxy::dispatch_waiting(const std::string& target_key) {
    target_state& state = targets_[target_key];
    refuse_late(state);
    const base::instant now = loop_.clock().now();
    while (state.in_flight_ < state.slots_ && may_send_to(state)) {
        const auto next = policy::pop(state.queue_, now);
        if (!next) {
            return;
        }
        const auto key = waiting_.find(next->id_);
        target_proxy_attempt& attempt = *attempts_.at(key->second);
        waiting_.erase(key);
        start(target_key, attempt);
    }
}

void target_proxy::start(const std::string& target_key, target_proxy_attempt& attempt) {
    if (attempt.expired()) {
        refuse(attempt, wire::refusal_reason::deadline);
        return;
    }
    if (!accepts(attempt.begin())) {
        refuse(attempt, wire::refusal_reason::draining);
        return;
    }
    if (const auto reason = configuration_rejection_reason(attempt.begin())) {
        refuse(attempt, *reason);
        return;
    }
    if (!policy::start_attempt(ledger_, attempt.key())) {
        refuse(attempt, wire::refusal_reason::duplicate);
        return;
    }
    if (stop_) {
        attempt.limit_deadline(policy::run_deadline(*stop_));
    }
    ++counters_.started_;
    target_state& state = targets_[target_key];
    ++state.in_flight_;
    activity_.record_started(state.name_, attempt.begin().nested);
    weights_.record_started(attempt.begin().organisation);
    policy::record_sent(state.rate_, loop_.clock().now());
    policy::record_sent(state.warmup_, loop_.clock().now());
    state.idle_state_.last_run_at_ = loop_.clock().now();
    policy::begin_trial(state.health_);
    const base::duration usual_idle_time =
        attempt.begin().idempotent ? max_idle_time_idempotent : max_idle_time_non_idempotent;
    if (attempt.begin().__isset.body_waits && attempt.begin().body_waits) {
        attempt.grant_body();
    }
    attempt.run(*state.pool_, policy::reusable_idle_time(state.idle_limit_, usual_idle_time,
                                                         loop_.clock().now()));
}

void target_proxy::refuse(target_proxy_attempt& attempt, wire::refusal_reason reason) {
    policy::refuse_attempt(ledger_, attempt.key());
    connection* link = find_link({attempt.key().caller_proxy_boot_, attempt.key().attempt_.link_});
    if (link != nullptr && !attempt.response_discarded()) {
        const auto target = targets_.find(attempt.target_key());
        send_refusal(*link, to_wire(attempt.key().attempt_), reason,
                     target == targets_.end() ? nullptr : &target->second, {});
    }
    finish(attempt);
}

void target_proxy::fail(target_proxy_attempt& attempt, wire::failure_reason reason) {
    ++counters_.failed_;
    policy::end_attempt(ledger_, attempt.key());
    wire::frame frame = make_failure(attempt.key().attempt_, reason);
    frame.failed_.__set_report(make_report_for(attempt));
    send_to_caller_proxy(attempt, frame);
}

void target_proxy::on_response_sent(target_proxy_attempt& attempt) {
    finish(attempt);
}

void target_proxy::on_response_stalled(target_proxy_attempt& attempt) {
    send_to_caller_proxy(attempt,
                         make_failure(attempt.key().attempt_, wire::failure_reason::answer_lost));
    finish(attempt);
}

void target_proxy::on_slot_released(target_proxy_attempt& attempt) {
    const std::string& target_key = attempt.target_key();
    --targets_[target_key].in_flight_;
    events_.record(loop_.clock().wall_ms(), "slot_released",
                   {{"request", attempt.begin().request_id},
                    {"target", attempt.begin().target_name},
                    {"cause", "deadline passed, response not read"}});
    dispatch_waiting(target_key);
}

void target_proxy::on_memory_short(const target_proxy_attempt& attempt) {
    events_.record(loop_.clock().wall_ms(), "response_too_large",
                   {{"request", attempt.begin().request_id},
                    {"target", attempt.begin().target_name},
                    {"bytes", std::to_string(attempt.response().body_.size())},
                    {"held_bytes", std::to_string(memory_.held_)},
                    {"limit_bytes", std::to_string(memory_.limit_)}});
}

void target_proxy::on_wait_expired(target_proxy_attempt& attempt) {
    remove_from_queue(attempt);
    refuse(attempt, wire::refusal_reason::deadline);
}

// Closes the other idle connections as well: the target has probably dropped them too.
void target_proxy::on_connection_dropped(const target_proxy_attempt& attempt,
                                         base::duration idle_time) {
    target_state& target = targets_.at(attempt.target_key());
    policy::record_dropped(target.idle_limit_, idle_time, loop_.clock().now());
    target.pool_->clear();
}

void target_proxy::remove_from_queue(target_proxy_attempt& attempt) {
    policy::remove(targets_[attempt.target_key()].queue_, attempt.queue_id());
    waiting_.erase(attempt.queue_id());
}

void target_proxy::on_run_ended(target_proxy_attempt& attempt, attempt_result result) {
    const policy::ledger_key key = attempt.key();
    const std::string target_key = attempt.target_key();
    targets_[target_key].in_flight_ -= attempt.slot_released() ? 0 : 1;
    record_run(targets_[target_key], attempt, result);
    switch (result) {
        case attempt_result::responded:
            // The attempt stays open until its response is sent.
            ++counters_.responses_;
            policy::end_attempt(ledger_, key);
            dispatch_waiting(target_key);
            return;
        case attempt_result::not_run:
            refuse(attempt, wire::refusal_reason::target_unreachable);
            dispatch_waiting(target_key);
            return;
        case attempt_result::invalid_response:
            fail(attempt, wire::failure_reason::target_closed);
            break;
        case attempt_result::connection_lost:
            fail(attempt, wire::failure_reason::connection_lost);
            break;
        case attempt_result::timed_out:
            fail(attempt, wire::failure_reason::target_timeout);
            break;
        case attempt_result::cancelled:
            policy::end_attempt(ledger_, key);
            break;
    }
    finish(attempt);
    dispatch_waiting(target_key);
}

}  // namespace dandelionridge::node
