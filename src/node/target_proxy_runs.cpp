// The slots of the target proxy: queues and starts attempts, and updates the health of targets from
// the outcomes of their runs.
#include <algorithm>
#include <utility>

#include "node/departure_expiry.h"
#include "node/reported_state.h"
#include "node/target_proxy.h"
#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration check_interval = base::milliseconds(100);
// Expected duration of a run until a first one has ended.
constexpr base::duration default_run_duration = base::milliseconds(300);
// A run that timed out or was cancelled counts as a failure of its target if it took more than
// this many times the expected duration.
constexpr int hung_run_factor = 3;
constexpr int min_server_error_status = 500;
constexpr double percent = 100;
// Maximum number of caller proxies that are asked at a time for a request to an idle target.
constexpr std::size_t max_probe_requests = 10;

}  // namespace

// Returns why an attempt must be refused regardless of its target's load, or nothing if it may be
// queued.
std::optional<wire::refusal_reason> target_proxy::rejection_reason(
    const wire::attempt_begin& begin) const {
    if (draining_) {
        return wire::refusal_reason::draining;
    }
    if (waiting_.size() >= settings_.queued_requests_) {
        return wire::refusal_reason::overload;
    }
    return run_rejection_reason(begin);
}

// Returns why an attempt may not run here under the current configuration, or nothing if it may.
std::optional<wire::refusal_reason> target_proxy::run_rejection_reason(
    const wire::attempt_begin& begin) const {
    const auto found = find_target(make_admission_view(), begin);
    if (!found) {
        return wire::refusal_reason::target_unknown;
    }
    if (found->leaving_) {
        return wire::refusal_reason::draining;
    }
    return check_key(make_admission_view(), begin);
}

void target_proxy::on_configuration_changed() {
    record_listed_targets(previously_listed_, *configuration_.hosts(), settings_.host_);
    expire_departures(departures_, *configuration_.hosts(), loop_.clock().now());
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
        if (const auto reason = run_rejection_reason(attempt->begin())) {
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
    if (target.in_flight_ < target.slots_ && target.queue_.waiting_.empty() &&
        policy::may_send(target.rate_, now)) {
        return std::nullopt;
    }
    if (!begin.may_wait) {
        return wire::refusal_reason::target_busy;
    }
    if (waiting.deadline_at_ - now < expected_wait(target, waiting) + waiting.run_duration_) {
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
    return std::max(slot_wait, policy::rate_wait(target.rate_, ahead, now));
}

void target_proxy::send_refusal(connection& link, const wire::attempt_ref& attempt,
                                wire::refusal_reason reason, const target_state* target,
                                base::duration retry_after) {
    ++counters_.refused_;
    wire::frame frame;
    frame.__isset.refused_ = true;
    frame.refused_.attempt = attempt;
    frame.refused_.reason = reason;
    frame.refused_.retry_after_ms = static_cast<std::int32_t>(base::whole_ms(retry_after));
    if (target != nullptr) {
        frame.refused_.__set_report(make_report(*target));
    }
    link.socket_->send(frame);
}

target_proxy::target_state& target_proxy::find_or_add_target(const local_target& found,
                                                             const std::string& name) {
    target_state& target = targets_[base::to_string(found.address_)];
    if (target.pool_ == nullptr) {
        target.pool_ =
            std::make_unique<net::http_client_pool>(loop_, found.address_, net::pool_options{});
    }
    if (target.name_ != name) {
        // Another target uses this address now: what is known of the previous one does not apply.
        target.name_ = name;
        target.health_ = {};
        target.run_estimates_ = {};
        target.rate_ = {};
        target.pool_->clear();
    }
    if (target.started_ms_ != 0 && found.started_ms_ > target.started_ms_) {
        // The target was started again and has not named a limit yet.
        target.rate_ = {};
    }
    target.slots_ = found.slots_;
    target.started_ms_ = found.started_ms_;
    return target;
}

policy::waiting_request target_proxy::make_waiting_request(const target_state& target,
                                                           const wire::attempt_begin& begin) const {
    const base::instant now = loop_.clock().now();
    policy::waiting_request waiting;
    waiting.organisation_ = begin.organisation;
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

void target_proxy::on_begin(connection& link, wire::attempt_begin&& begin) {
    const wire::attempt_ref ref = begin.attempt;
    const policy::ledger_key key{link.caller_proxy_boot_, from_wire(ref)};
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
        send_refusal(link, ref, *reason, find_state(begin), {});
        return;
    }
    const std::optional<local_target> found = find_target(make_admission_view(), begin);
    target_state& target = find_or_add_target(*found, begin.target_name);
    if (begin.__isset.target_rate_limit &&
        policy::apply_hint(target.rate_, begin.target_rate_limit, loop_.clock().now())) {
        on_rate_limit_changed(target, "caller_proxy");
    }
    policy::waiting_request waiting = make_waiting_request(target, begin);
    if (const auto reason = target_rejection_reason(target, waiting, begin)) {
        policy::refuse_attempt(ledger_, key);
        send_refusal(link, ref, *reason, &target, expected_wait(target, waiting));
        return;
    }
    enqueue(base::to_string(found->address_), key, std::move(waiting), std::move(begin));
}

void target_proxy::enqueue(const std::string& target_key, policy::ledger_key key,
                           policy::waiting_request waiting, wire::attempt_begin&& begin) {
    waiting.id_ = next_queue_id_++;
    auto attempt =
        std::make_unique<target_proxy_attempt>(loop_, *this, headers_, key, std::move(begin));
    attempt->set_queue_id(waiting.id_);
    attempt->set_target_key(target_key);
    waiting_.emplace(waiting.id_, key);
    attempts_.emplace(key, std::move(attempt));
    policy::push(targets_[target_key].queue_, std::move(waiting));
    dispatch_waiting(target_key);
}

// Refuses queued attempts that cannot end before their deadline.
void target_proxy::refuse_late(target_state& target) {
    const base::instant now = loop_.clock().now();
    const auto rate_wait_of = [&](std::size_t ahead) {
        return policy::rate_wait(target.rate_, ahead, now);
    };
    const std::vector<std::uint64_t> late =
        target.rate_.limit_ ? policy::remove_late(target.queue_, rate_wait_of, now)
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
    while (state.in_flight_ < state.slots_ && policy::may_send(state.rate_, now)) {
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
    if (const auto reason = run_rejection_reason(attempt.begin())) {
        refuse(attempt, *reason);
        return;
    }
    if (!policy::start_attempt(ledger_, attempt.key())) {
        refuse(attempt, wire::refusal_reason::duplicate);
        return;
    }
    ++counters_.started_;
    target_state& state = targets_[target_key];
    ++state.in_flight_;
    policy::record_sent(state.rate_, loop_.clock().now());
    state.idle_state_.last_run_at_ = loop_.clock().now();
    policy::begin_trial(state.health_);
    attempt.run(*state.pool_);
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

void target_proxy::on_wait_expired(target_proxy_attempt& attempt) {
    remove_from_queue(attempt);
    refuse(attempt, wire::refusal_reason::deadline);
}

bool target_proxy::claim_resend(const target_proxy_attempt& attempt) {
    policy::target_rate& rate = targets_.at(attempt.target_key()).rate_;
    const base::instant now = loop_.clock().now();
    if (run_rejection_reason(attempt.begin()) || !policy::may_send(rate, now)) {
        return false;
    }
    policy::record_sent(rate, now);
    return true;
}

void target_proxy::remove_from_queue(target_proxy_attempt& attempt) {
    policy::remove(targets_[attempt.target_key()].queue_, attempt.queue_id());
    waiting_.erase(attempt.queue_id());
}

// Returns true if the outcome of a run counts as a failure of its target. Server errors, timeouts
// and cancelled runs do not count if a call that the target made failed since the run began,
// because that call may be the cause.
bool target_proxy::failed_by_target(const target_proxy_attempt& attempt,
                                    attempt_result result) const {
    const base::duration elapsed = loop_.clock().now() - attempt.run_started_at();
    switch (result) {
        case attempt_result::responded:
            return attempt.response().head_.status >= min_server_error_status &&
                   last_failed_call_at_ < attempt.run_started_at();
        case attempt_result::invalid_response:
            return true;
        case attempt_result::timed_out:
        case attempt_result::cancelled: {
            const auto target = targets_.find(attempt.target_key());
            const base::duration expected = policy::expected_run_duration(
                target->second.run_estimates_, kind_of(attempt.begin()), default_run_duration);
            return elapsed > hung_run_factor * expected &&
                   last_failed_call_at_ < attempt.run_started_at();
        }
        case attempt_result::not_run:
            break;
    }
    return false;
}

// Updates the run estimates and the health of a target from the outcome of a run. An outcome that
// is neither a success nor a failure of the target only ends a trial.
void target_proxy::record_run(target_state& target, const target_proxy_attempt& attempt,
                              attempt_result result) {
    const base::instant now = loop_.clock().now();
    const bool failed = failed_by_target(attempt, result);
    const bool succeeded = result == attempt_result::responded &&
                           attempt.response().head_.status < min_server_error_status;
    if (succeeded) {
        policy::record_run(target.run_estimates_, kind_of(attempt.begin()),
                           now - attempt.run_started_at());
    }
    if (!failed && !succeeded) {
        policy::end_trial(target.health_);
        return;
    }
    const auto outcome = failed ? policy::run_outcome::failed : policy::run_outcome::succeeded;
    if (policy::record_outcome(target.health_, outcome, now)) {
        record_health_change(target);
    }
}

void target_proxy::on_run_ended(target_proxy_attempt& attempt, attempt_result result) {
    const policy::ledger_key key = attempt.key();
    const std::string target_key = attempt.target_key();
    --targets_[target_key].in_flight_;
    record_run(targets_[target_key], attempt, result);
    switch (result) {
        case attempt_result::responded:
            ++counters_.responses_;
            policy::end_attempt(ledger_, key);
            break;
        case attempt_result::not_run:
            refuse(attempt, wire::refusal_reason::target_unreachable);
            dispatch_waiting(target_key);
            return;
        case attempt_result::invalid_response:
            fail(attempt, wire::failure_reason::target_closed);
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

wire::target_report target_proxy::make_report_for(const target_proxy_attempt& attempt) {
    return make_report(targets_[attempt.target_key()]);
}

wire::target_report target_proxy::make_report(const target_state& target) const {
    const base::instant now = loop_.clock().now();
    std::vector<base::duration> ages;
    for (const auto& [key, attempt] : attempts_) {
        if (attempt->running()) {
            ages.push_back(now - attempt->run_started_at());
        }
    }
    wire::target_report report;
    report.target = target.name_;
    report.running = target.in_flight_;
    report.waiting = static_cast<std::int32_t>(target.queue_.waiting_.size());
    report.slots = target.slots_;
    const base::duration current = policy::current_run_duration(target.run_estimates_, ages);
    report.run_ms = static_cast<std::int32_t>(base::whole_ms(current));
    for (const base::duration run : policy::current_run_durations(target.run_estimates_, current)) {
        report.run_ms_by_kind.push_back(static_cast<std::int32_t>(base::whole_ms(run)));
    }
    report.ejected = target.health_.state_ == policy::health_state::ejected;
    report.suspicion = static_cast<std::int32_t>(
        percent *
        policy::decayed_suspicion(target.health_.suspicion_, now - target.health_.updated_at_));
    report.on_trial = target.health_.state_ == policy::health_state::on_trial;
    report.leaving = is_departing(target);
    report.started_ms = target.started_ms_;
    if (target.rate_.limit_) {
        report.__set_rate_limit(*target.rate_.limit_);
    }
    return report;
}

// Records the new health state of a target and sends its report to every connected caller proxy.
void target_proxy::record_health_change(const target_state& target) {
    const wire::target_report report = make_report(target);
    events_.record(
        loop_.clock().wall_ms(),
        report.ejected    ? "target_ejected"
        : report.on_trial ? "target_on_trial"
                          : "target_readmitted",
        {{"target", target.name_}, {"suspicion_percent", std::to_string(report.suspicion)}});
    broadcast_report(target);
}

void target_proxy::broadcast_report(const target_state& target) {
    wire::frame frame;
    frame.__set_report_(make_report(target));
    for (auto& [socket, link] : connections_) {
        if (link.handshake_done_) {
            link.socket_->send(frame);
        }
    }
}

// Applies the limit on the rate of requests that a target names in a response, or ends it.
void target_proxy::record_rate_limit(target_state& target, const net::http_response& response) {
    const auto limit = reported_rate_limit(headers_, response);
    if (!limit) {
        if (!std::exchange(target.rate_limit_rejected_, true)) {
            events_.record(loop_.clock().wall_ms(), "target_rate_limit_rejected",
                           {{"target", target.name_}, {"error", limit.error().message_}});
        }
        return;
    }
    target.rate_limit_rejected_ = false;
    if (policy::apply_response(target.rate_, *limit, loop_.clock().now())) {
        on_rate_limit_changed(target, "response");
    }
}

// Records a new limit, or the end of one, and tells all caller proxies.
void target_proxy::on_rate_limit_changed(const target_state& target, const char* source) {
    events_.record(loop_.clock().wall_ms(), "target_rate_limit",
                   {{"target", target.name_},
                    {"source", source},
                    {"per_s", target.rate_.limit_ ? std::to_string(*target.rate_.limit_) : "none"},
                    {"waiting", std::to_string(target.queue_.waiting_.size())},
                    {"running", std::to_string(target.in_flight_)}});
    broadcast_report(target);
}

// Returns the state of the target that an attempt names, or null if there is none yet.
const target_proxy::target_state* target_proxy::find_state(const wire::attempt_begin& begin) const {
    const auto found = find_target(make_admission_view(), begin);
    if (!found) {
        return nullptr;
    }
    const auto state = targets_.find(base::to_string(found->address_));
    const bool known = state != targets_.end() && state->second.name_ == begin.target_name;
    return known ? &state->second : nullptr;
}

bool target_proxy::is_departing(const target_state& target) const {
    return policy::is_departing(departures_, target.name_, target.started_ms_);
}

void target_proxy::on_target_response(const target_proxy_attempt& attempt,
                                      const net::http_response& response) {
    target_state& target = targets_.at(attempt.target_key());
    const bool replaced = target.name_ != attempt.begin().target_name;
    if (replaced || !describes_target(headers_, response)) {
        return;
    }
    if (reports_leaving(headers_, response.headers_)) {
        record_departure(target);
    }
    record_rate_limit(target, response);
}

// Takes a target that reports that it is leaving out of choice, here and at all caller proxies. The
// attempts that run on it are completed.
void target_proxy::record_departure(const target_state& target) {
    if (!policy::record_departure(departures_, target.name_, target.started_ms_,
                                  loop_.clock().now())) {
        return;
    }
    events_.record(loop_.clock().wall_ms(), "target_leaving",
                   {{"target", target.name_},
                    {"started_ms", std::to_string(target.started_ms_)},
                    {"waiting", std::to_string(target.queue_.waiting_.size())},
                    {"running", std::to_string(target.in_flight_)}});
    broadcast_report(target);
    refuse_unrunnable_waiting();
}

// Asks a few randomly selected caller proxies to send an idempotent request to an idle target. A
// target without traffic may fail or recover unnoticed.
void target_proxy::request_probe_traffic(target_state& target) {
    const base::instant now = loop_.clock().now();
    const bool due =
        policy::needs_probe(target.idle_state_, target.slots_ - target.in_flight_, now);
    if (!due || draining_ || is_departing(target) ||
        target.health_.state_ == policy::health_state::ejected || connections_.empty()) {
        return;
    }
    target.idle_state_.requested_at_ = now;
    wire::frame frame;
    frame.__set_report_(make_report(target));
    frame.report_.idle = true;
    auto link = connections_.begin();
    std::advance(link,
                 static_cast<std::ptrdiff_t>(base::random_below(random_, connections_.size())));
    for (std::size_t visited = 0; visited < std::min(max_probe_requests, connections_.size());
         ++visited) {
        if (link->second.handshake_done_) {
            link->second.socket_->send(frame);
        }
        if (++link == connections_.end()) {
            link = connections_.begin();
        }
    }
}

// Updates the health of all targets, requests probe traffic for idle ones, and dispatches their
// queues. Runs periodically.
void target_proxy::check_targets() {
    const base::instant now = loop_.clock().now();
    std::vector<std::string> queued_target_keys;
    for (auto& [key, target] : targets_) {
        if (policy::update_health(target.health_, now)) {
            record_health_change(target);
        }
        if (!target.queue_.waiting_.empty()) {
            queued_target_keys.push_back(key);
        }
        request_probe_traffic(target);
    }
    for (const std::string& key : queued_target_keys) {
        dispatch_waiting(key);
    }
    check_timer_.start(check_interval, [this] { check_targets(); });
}

double target_proxy::repeat_share() const {
    double running = 0;
    double repeats = 0;
    for (const auto& [key, attempt] : attempts_) {
        running += attempt->running() ? 1 : 0;
        repeats += attempt->running() && attempt->begin().repeat ? 1 : 0;
    }
    return running > 0 ? repeats / running : 0;
}

std::optional<double> target_proxy::rate_limit() const {
    std::optional<double> total;
    for (const auto& [key, target] : targets_) {
        if (target.rate_.limit_) {
            total = total.value_or(0) + *target.rate_.limit_;
        }
    }
    return total;
}

std::uint64_t target_proxy::connections_opened() const {
    std::uint64_t opened = 0;
    for (const auto& [key, target] : targets_) {
        opened += target.pool_ == nullptr ? 0 : target.pool_->opened();
    }
    return opened;
}

}  // namespace dandelionridge::node
