// What the target proxy knows of its host's targets, from their responses and the outcomes of their
// runs, and what it reports of them to the caller proxies.
#include <algorithm>
#include <utility>

#include "node/reported_state.h"
#include "node/target_proxy.h"
#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration check_interval = base::milliseconds(100);
// Expected duration of a run until a first one has ended.
constexpr base::duration default_run_duration = base::milliseconds(300);
// A run without a response counts as a failure of its target if it took more than this many times
// the expected duration: once its deadline has passed or its caller has given it up, and while it
// still runs. Some sound runs take long, so the latter needs more.
constexpr int overdue_end_factor = 3;
constexpr int overdue_run_factor = 5;
constexpr int min_server_error_status = 500;
constexpr int status_gateway_timeout = 504;
// A target may find slightly earlier than this process that a deadline has passed.
constexpr base::duration deadline_tolerance = base::milliseconds(20);
// A caller proxy counts as a user of this host's targets for this time after an attempt.
constexpr base::duration recent_use = base::seconds(15);
constexpr double percent = 100;
// Maximum number of caller proxies that are asked at a time for a request to an idle target.
constexpr std::size_t max_probe_requests = 10;

}  // namespace

target_proxy::target_state& target_proxy::find_or_add_target(const local_target& found,
                                                             const std::string& name,
                                                             const std::string& service) {
    target_state& target = targets_[base::to_string(found.address_)];
    if (target.pool_ == nullptr) {
        target.warmup_ = policy::make_warmup(started_at_);
        target.pool_ =
            std::make_unique<net::http_client_pool>(loop_, found.address_, net::pool_options{});
    }
    if (target.name_ != name) {
        // Another target uses this address now: what is known of the previous one does not apply.
        target.name_ = name;
        target.health_ = {};
        target.failures_.clear();
        target.run_estimates_ = {};
        target.rate_ = {};
        // What was sent to the previous target still counts: this is the safe side.
        target.warmup_.cold_until_ = {};
        target.idle_limit_ = {};
        target.pool_->clear();
    }
    if (target.started_ms_ != 0 && found.started_ms_ > target.started_ms_) {
        // The target was started again and has not named a limit yet.
        target.rate_ = {};
        target.health_.failed_trials_ = 0;
    }
    target.slots_ = found.slots_;
    target.started_ms_ = found.started_ms_;
    update_warmup(target, service, found);
    return target;
}

// Returns true if a run is overdue at `factor` times the expected duration, this process was not
// paused meanwhile, and no call that its target made has failed since it began: such a call may
// be the cause.
bool target_proxy::is_overdue(const target_state& target, const target_proxy_attempt& attempt,
                              int factor) const {
    const base::duration expected = policy::expected_run_duration(
        target.run_estimates_, kind_of(attempt.begin()), default_run_duration);
    return !attempt.spans_pause() &&
           loop_.clock().now() - attempt.run_started_at() >
               policy::overdue_run_time(expected, factor) &&
           last_failed_call_at_ < attempt.run_started_at();
}

// Counts each run that has become overdue as a failure of its target, so that a target that hangs
// is found before the deadlines of its runs.
void target_proxy::record_overdue_runs() {
    for (const auto& [key, attempt] : attempts_) {
        const auto target = targets_.find(attempt->target_key());
        if (attempt->running() && !attempt->overdue() && target != targets_.end() &&
            target->second.name_ == attempt->begin().target_name &&
            is_overdue(target->second, *attempt, overdue_run_factor)) {
            attempt->set_overdue();
            record_failure(target->second, *attempt, run_failure_cause::overdue);
        }
    }
}

// Returns true if the target ended the run because the request's deadline had passed.
bool target_proxy::ended_at_deadline(const target_proxy_attempt& attempt) const {
    return attempt.response().head_.status == status_gateway_timeout &&
           loop_.clock().now() >= attempt.deadline() - deadline_tolerance;
}

// Returns why the outcome of a run counts as a failure of its target, or nothing if it does not.
// Server errors, timeouts and cancelled runs do not count if a call that the target made failed
// since the run began, because that call may be the cause.
std::optional<run_failure_cause> target_proxy::failure_of(const target_proxy_attempt& attempt,
                                                          attempt_result result) const {
    if (attempt.overdue()) {
        // Counted already, when it became overdue.
        return std::nullopt;
    }
    const auto ended_overdue = [&] {
        return is_overdue(targets_.at(attempt.target_key()), attempt, overdue_end_factor)
                   ? std::optional(run_failure_cause::ended_overdue)
                   : std::nullopt;
    };
    switch (result) {
        case attempt_result::responded:
            if (ended_at_deadline(attempt)) {
                return ended_overdue();
            }
            return attempt.response().head_.status >= min_server_error_status &&
                           last_failed_call_at_ < attempt.run_started_at()
                       ? std::optional(run_failure_cause::server_error)
                       : std::nullopt;
        case attempt_result::invalid_response:
            return run_failure_cause::invalid_response;
        case attempt_result::timed_out:
        case attempt_result::cancelled:
            return ended_overdue();
        case attempt_result::not_run:
        case attempt_result::connection_lost:
            break;
    }
    return std::nullopt;
}

// Updates the run estimates and the health of a target from the outcome of a run. An outcome that
// is neither a success nor a failure of the target only ends a trial.
void target_proxy::record_run(target_state& target, const target_proxy_attempt& attempt,
                              attempt_result result) {
    const auto failure = failure_of(attempt, result);
    const bool succeeded = result == attempt_result::responded &&
                           attempt.response().head_.status < min_server_error_status;
    if (succeeded && !attempt.spans_pause() && !attempt.slot_released()) {
        policy::record_run(target.run_estimates_, kind_of(attempt.begin()),
                           loop_.clock().now() - attempt.run_started_at());
    }
    if (failure) {
        record_failure(target, attempt, *failure);
    } else if (succeeded) {
        record_outcome(target, policy::run_outcome::succeeded);
    } else {
        policy::end_trial(target.health_);
    }
}

void target_proxy::record_failure(target_state& target, const target_proxy_attempt& attempt,
                                  run_failure_cause cause) {
    const base::instant now = loop_.clock().now();
    const bool call_failed = last_failed_call_at_ != base::instant{};
    target.failures_.add({attempt.begin().request_id, cause, now - attempt.run_started_at(),
                          call_failed ? now - last_failed_call_at_ : base::duration::max()});
    activity_.record_failed(target.name_, target.health_.state_ == policy::health_state::on_trial);
    record_outcome(target, policy::run_outcome::failed);
}

void target_proxy::record_outcome(target_state& target, policy::run_outcome outcome) {
    if (policy::record_outcome(target.health_, outcome, loop_.clock().now())) {
        record_health_change(target);
    }
    if (target.health_.state_ == policy::health_state::healthy &&
        outcome == policy::run_outcome::succeeded) {
        target.failures_.clear();
    }
}

wire::target_report target_proxy::make_report_for(const target_proxy_attempt& attempt) {
    return make_report(targets_[attempt.target_key()]);
}

wire::target_report target_proxy::make_report(const target_state& target) const {
    const base::instant now = loop_.clock().now();
    std::vector<base::duration> ages;
    for (const auto& [key, attempt] : attempts_) {
        if (attempt->running() && !attempt->spans_pause()) {
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
    if (const auto limit = reported_limit(target)) {
        report.__set_rate_limit(*limit);
    }
    return report;
}

// Records the new health state of a target and sends its report to the caller proxies that use it.
// The others learn its state from the reply to their next attempt, so that a change costs no
// message to each host.
void target_proxy::record_health_change(const target_state& target) {
    const wire::target_report report = make_report(target);
    events_.record(loop_.clock().wall_ms(),
                   report.ejected    ? "target_ejected"
                   : report.on_trial ? "target_on_trial"
                                     : "target_readmitted",
                   {{"target", target.name_},
                    {"suspicion_percent", std::to_string(report.suspicion)},
                    {"failed_runs", target.failures_.to_text()}});
    send_report(target, loop_.clock().now() - recent_use);
}

// Sends a target's report to the caller proxies that began an attempt here after `used_after`.
void target_proxy::send_report(const target_state& target, base::instant used_after) {
    wire::frame frame;
    frame.__set_report_(make_report(target));
    for (auto& [socket, link] : connections_) {
        if (link.handshake_done_ && link.last_attempt_at_ > used_after) {
            link.socket_->send(frame);
        }
    }
}

// Sends a target's report to all connected caller proxies.
void target_proxy::broadcast_report(const target_state& target) {
    send_report(target, base::instant::min());
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

// Returns true if the zone of this host's targets is evacuated.
bool target_proxy::is_evacuated() const {
    const config::host_list& hosts = *configuration_.hosts();
    const config::host_entry* own_host = config::find_host(hosts, settings_.host_);
    return hosts.evacuated_zones_.contains(own_host == nullptr ? settings_.zone_ : own_host->zone_);
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
    if (!due || stop_ || is_evacuated() || is_departing(target) ||
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

// Records once a second what each target got.
void target_proxy::record_activity() {
    const base::instant now = loop_.clock().now();
    if (!activity_.is_interval_over(now)) {
        return;
    }
    for (const auto& [key, target] : targets_) {
        activity_.record_interval(target.name_, {target.in_flight_, target.queue_.waiting_.size(),
                                                 policy::to_text(target.health_.state_)});
    }
    activity_.begin_interval(now);
}

// Updates the health of all targets, requests probe traffic for idle ones, and dispatches their
// queues. Runs periodically.
void target_proxy::check_targets() {
    const base::instant now = loop_.clock().now();
    record_overdue_runs();
    record_activity();
    for (auto& [key, target] : targets_) {
        record_coldness(target);
    }
    if (stop_) {
        refuse_unrunnable_waiting();
    }
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
