// Whether a target proxy takes an attempt: under the rules in force, during a planned stop, and
// given the load and the health of its target.
#include <algorithm>
#include <utility>

#include "node/departure_expiry.h"
#include "node/target_proxy.h"
#include "node/wire_attempt.h"
#include "policy/host_stop.h"

namespace dandelionridge::node {

// Returns false if a planned stop leaves too little time for the run of an attempt.
bool target_proxy::accepts(const wire::attempt_begin& begin) const {
    if (closed_ || !stop_) {
        return !closed_;
    }
    return policy::takes_run_while_stopping(
        *stop_, {expected_run_duration(begin), begin.idempotent}, loop_.clock().now());
}

// Returns why an attempt must be refused regardless of its target's load, or nothing if it may be
// queued.
std::optional<wire::refusal_reason> target_proxy::rejection_reason(
    const wire::attempt_begin& begin) {
    if (!accepts(begin)) {
        return wire::refusal_reason::draining;
    }
    if (waiting_.size() >= settings_.queued_requests_) {
        return wire::refusal_reason::overload;
    }
    return configuration_rejection_reason(begin);
}

// Returns why an attempt may not run here under the current configuration, or nothing if it may.
// Counts the attempts that are refused for where the target is. Programs that know no such reason
// try another target after target_ejected, without taking the host for one that stops.
std::optional<wire::refusal_reason> target_proxy::configuration_rejection_reason(
    const wire::attempt_begin& begin) {
    const auto found = find_target(make_admission_view(), begin);
    if (!found) {
        return wire::refusal_reason::target_unknown;
    }
    if (found->leaving_) {
        // The target leaves, not this host: `draining` would keep its other targets, and this one
        // once it is back, from getting requests.
        return wire::refusal_reason::target_unknown;
    }
    if (found->evacuated_) {
        placement_log_.record(placement_cause::evacuated, begin.target_name);
        return wire::refusal_reason::target_ejected;
    }
    if (!is_region_allowed(make_admission_view(), begin, found->zone_)) {
        placement_log_.record(placement_cause::region, begin.target_name);
        return wire::refusal_reason::target_ejected;
    }
    return check_key(make_admission_view(), begin);
}

// Returns why an attempt may not wait for a slot any longer, or nothing if it may. During
// a planned stop one that could begin at once may be taken where one that waits is not: then the
// host is not reported as refusing all.
std::optional<wire::refusal_reason> target_proxy::wait_rejection_reason(
    const wire::attempt_begin& begin) {
    if (stop_ &&
        !policy::run_ends_in_time(*stop_, expected_run_duration(begin), loop_.clock().now())) {
        return accepts(begin) ? wire::refusal_reason::target_busy : wire::refusal_reason::draining;
    }
    return configuration_rejection_reason(begin);
}

// Returns the expected duration of the attempt's run; zero if unknown.
base::duration target_proxy::expected_run_duration(const wire::attempt_begin& begin) const {
    const target_state* target = find_state(begin);
    return target == nullptr ? base::duration::zero()
                             : policy::expected_run_duration(target->run_estimates_, kind_of(begin),
                                                             base::duration::zero());
}

void target_proxy::on_configuration_changed() {
    record_listed_targets(previously_listed_, *configuration_.hosts(), settings_.host_);
    expire_departures(departures_, *configuration_.hosts(), loop_.clock().now());
    update_warmups();
    if (auto fields = weights_.update(configuration_.rules()); !fields.empty()) {
        events_.record(loop_.clock().wall_ms(), "sharing_weights", std::move(fields));
    }
    refuse_unrunnable_waiting();
}

// Refuses the queued attempts that may no longer run here, so that their caller proxies can choose
// another target.
void target_proxy::refuse_unrunnable_waiting() {
    std::vector<target_proxy_attempt*> waiting;
    for (const auto& [id, key] : waiting_) {
        waiting.push_back(attempts_.at(key).get());
    }
    for (target_proxy_attempt* attempt : waiting) {
        if (const auto reason = wait_rejection_reason(attempt->begin())) {
            remove_from_queue(*attempt);
            refuse(*attempt, *reason);
        }
    }
}

// Returns why the target should not take an attempt now, or nothing if it may. Updates the target's
// health first and broadcasts a report if its state changed.
std::optional<wire::refusal_reason> target_proxy::target_rejection_reason(
    target_state& target, const policy::waiting_request& waiting,
    const wire::attempt_begin& begin) {
    const base::instant now = loop_.clock().now();
    if (policy::update_health(target.health_, now)) {
        record_health_change(target);
    }
    if (!begin.allow_ejected && !policy::accepts(target.health_, begin.idempotent, now)) {
        return wire::refusal_reason::target_ejected;
    }
    // An attempt that may wait has found no other target.
    if (!begin.idempotent && !begin.allow_ejected && !begin.may_wait &&
        policy::defers_non_idempotent(target.health_, now)) {
        activity_.record_deferred(target.name_);
        return wire::refusal_reason::target_busy;
    }
    if (target.in_flight_ < target.slots_ && target.queue_.waiting_.empty() &&
        may_send_to(target)) {
        return std::nullopt;
    }
    // Others take the request sooner than a cold target, unless they were found busy before.
    const bool waits_briefly =
        begin.may_wait &&
        limit_wait(target, target.queue_.waiting_.size()) <= policy::max_cold_wait;
    if (policy::is_cold(target.warmup_, now) && !waits_briefly) {
        placement_log_.record(placement_cause::cold, target.name_);
        return wire::refusal_reason::target_busy;
    }
    if (!policy::may_send(target.warmup_, now)) {
        placement_log_.record(placement_cause::warmup_bound, target.name_);
    }
    // During a planned stop the time in which a run can end is short, so none waits for a slot.
    if (!begin.may_wait || stop_) {
        return wire::refusal_reason::target_busy;
    }
    if (!policy::can_end_in_time(target.queue_, waiting, expected_wait(target, waiting), now)) {
        return wire::refusal_reason::overload;
    }
    return std::nullopt;
}

// Returns the expected time until a newly arrived request is sent to the target: until a slot is
// free and the target's rate allows it.
base::duration target_proxy::expected_wait(target_state& target,
                                           const policy::waiting_request& waiting) {
    const base::instant now = loop_.clock().now();
    const base::duration slot_wait = policy::expected_wait(target.queue_, waiting, target.slots_,
                                                           target.run_estimates_.overall_, now);
    const std::size_t ahead = policy::count_ahead(target.queue_, waiting, now);
    return std::max(slot_wait, limit_wait(target, ahead));
}

void target_proxy::send_refusal(connection& link, const wire::attempt_ref& attempt,
                                wire::refusal_reason reason, const target_state* target,
                                base::duration retry_after) {
    ++counters_.refused_;
    activity_.record_refused(target == nullptr ? std::string() : target->name_, reason);
    wire::frame frame;
    frame.__isset.refused_ = true;
    frame.refused_.attempt = attempt;
    frame.refused_.reason = reason;
    frame.refused_.__set_rules_version(configuration_.rules()->version_);
    frame.refused_.retry_after_ms = static_cast<std::int32_t>(base::whole_ms(retry_after));
    if (target != nullptr) {
        frame.refused_.__set_report(make_report(*target));
    }
    send_reply(link, frame);
}

policy::waiting_request target_proxy::make_waiting_request(const target_state& target,
                                                           const wire::attempt_begin& begin) {
    const base::instant now = loop_.clock().now();
    policy::waiting_request waiting;
    waiting.organisation_ = begin.organisation;
    waiting.weight_ = weights_.weight_of(configuration_.rules(), begin.organisation);
    waiting.nested_ = begin.nested;
    waiting.priority_ = begin.priority;
    waiting.arrived_at_ = now;
    waiting.deadline_at_ = now + base::milliseconds(begin.deadline_ms);
    if (begin.objective_ms != 0) {
        waiting.objective_at_ = now + base::milliseconds(begin.objective_ms);
    }
    const auto service = configuration_.rules()->services_.find(begin.service_name);
    waiting.background_ = service != configuration_.rules()->services_.end() &&
                          service->second.class_ == config::request_class::background;
    waiting.run_duration_ = policy::expected_run_duration(target.run_estimates_, kind_of(begin),
                                                          base::duration::zero());
    return waiting;
}

}  // namespace dandelionridge::node
