// How a call chooses targets, sends its attempts and takes the events of each.
#include <algorithm>
#include <utility>

#include "filter/forwarded_headers.h"
#include "net/http_writer.h"
#include "node/call.h"
#include "node/target_proxy_attempt.h"

namespace dandelionridge::node {

namespace {

// Number of targets found busy after which the request may queue for a slot.
constexpr std::size_t max_busy_targets = 3;
// The caller is refused after more refusals by target proxies than this.
constexpr int max_refusals = 10;

// Returns the reason given to the caller for a target proxy's refusal.
filter::reason to_reason(wire::refusal_reason reason) {
    switch (reason) {
        // The key is in force under the rules of this host, which alone may call it invalid.
        case wire::refusal_reason::key_withdrawn:
        case wire::refusal_reason::configuration_stale:
        case wire::refusal_reason::configuration_lag:
            return filter::reason::configuration_stale;
        case wire::refusal_reason::deadline:
            return filter::reason::deadline;
        case wire::refusal_reason::overload:
        case wire::refusal_reason::target_busy:
            return filter::reason::overload;
        default:
            return filter::reason::no_target;
    }
}

wire::header_field make_field(std::string name, std::string value) {
    wire::header_field field;
    field.name = std::move(name);
    field.value = std::move(value);
    return field;
}

}  // namespace

policy::run_kind call::run_kind() const {
    return policy::run_kind_of(nested_, context_.route_->download_, context_.idempotent_);
}

policy::choice_criteria call::criteria() const {
    const bool found_busy = !may_wait_ && !busy_targets_.empty();
    return {context_.idempotent_,
            retry_available(),
            context_.route_->download_,
            run_kind(),
            found_busy,
            owner_.dependencies_.settings_.min_share_,
            may_reserve_retry(),
            {},
            static_cast<double>(context_.request_.body_length_.value_or(0))};
}

config::region_limits call::region_limits() const {
    return config::region_limits_of(*context_.rules_, context_.route_, context_.organisation_);
}

// Returns true if the next attempt is the first, the request is idempotent, and the retry budget
// allows a retry if that attempt fails. On a route that allows a single attempt no request can be
// retried, so any idempotent one may be used to probe the health of a target.
bool call::retry_available() const {
    if (!context_.idempotent_ || attempts_ > 0) {
        return false;
    }
    return context_.route_->attempts_ == 1 || owner_.may_retry(context_.service_->name_, nested_);
}

// Returns true if the next attempt is the first, and a retry can be reserved for it.
bool call::may_reserve_retry() const {
    return context_.idempotent_ && attempts_ == 0 && context_.route_->attempts_ > 1 &&
           owner_.may_reserve_retry(context_.service_->name_);
}

std::optional<chosen_target> call::choose() {
    std::set<std::string> excluded = tried_targets_;
    excluded.insert(busy_targets_.begin(), busy_targets_.end());
    auto chosen = owner_.choose(context_.service_->name_, criteria(), excluded, region_limits());
    if (!chosen && !busy_targets_.empty()) {
        may_wait_ = true;
        busy_targets_.clear();
        chosen =
            owner_.choose(context_.service_->name_, criteria(), tried_targets_, region_limits());
    }
    return chosen;
}

void call::start_attempt() {
    const bool late = run_time_left() <= min_time_left();
    const auto chosen = late ? std::nullopt : choose();
    if (!chosen) {
        if (head_sent_) {
            abort_response();
        } else if (held_failure_) {
            forward_held_failure();
        } else if (may_have_run_) {
            refuse_unknown(filter::reason::target_failed);
        } else if (!late && has_newer_rules()) {
            resolve_again();
        } else {
            refuse_not_run(late ? end_reason() : filter::reason::no_target);
        }
        return;
    }
    send_attempt(*chosen);
}

void call::send_attempt(const chosen_target& chosen) {
    attempt_ = std::make_unique<current_attempt>();
    attempt_->link_ = &owner_.dependencies_.links_.link_to(*chosen.host_);
    attempt_->target_ = chosen.target_->name_;
    attempt_->run_duration_ = chosen.run_duration_;
    attempt_->target_started_ms_ = chosen.target_->started_ms_;
    attempt_->body_waits_ = body_waits(chosen);
    if (chosen.trial_ && context_.route_->attempts_ > 1) {
        attempt_->reserved_retry_ = owner_.reserve_retry(context_.service_->name_);
    }
    owner_.views_.begin_attempt(attempt_->target_);
    claim_response_window();
    peer_link& link = *attempt_->link_;
    link.start(make_attempt_begin(chosen), *this);
}

wire::attempt_begin call::make_attempt_begin(const chosen_target& chosen) const {
    wire::attempt_begin begin;
    begin.request_id = request_id_;
    begin.organisation = context_.organisation_;
    begin.key_id = context_.key_id_;
    begin.rules_version = context_.rules_->version_;
    begin.service_name = context_.service_->name_;
    begin.target_name = chosen.target_->name_;
    begin.method = context_.request_.method_;
    begin.path = context_.request_.path_;
    begin.deadline_ms =
        static_cast<std::int32_t>(std::max<std::int64_t>(1, base::whole_ms(run_time_left())));
    begin.idempotent = context_.idempotent_;
    begin.caller_service = owner_.dependencies_.settings_.target_service_;
    begin.priority = context_.priority_;
    begin.nested = nested_;
    begin.may_wait = may_wait_;
    begin.allow_ejected = chosen.allow_ejected_;
    begin.chunked_body = context_.request_.chunked_;
    begin.download = context_.route_->download_;
    begin.__set_response_window(static_cast<std::int32_t>(response_window_));
    begin.repeat = attempts_ > 0 || resent_;
    const target_view* view = owner_.views_.find(begin.target_name);
    if (view != nullptr && view->report_.__isset.rate_limit) {
        begin.__set_target_rate_limit(view->report_.rate_limit);
    }
    const base::duration objective = context_.route_->latency_objective_;
    if (objective > base::duration::zero()) {
        const auto remaining_ms =
            base::whole_ms(started_at_ + objective - owner_.dependencies_.loop_.clock().now());
        begin.objective_ms = static_cast<std::int32_t>(remaining_ms == 0 ? -1 : remaining_ms);
    }
    if (context_.request_.body_length_) {
        begin.__set_body_length(static_cast<std::int64_t>(*context_.request_.body_length_));
    }
    if (attempt_->body_waits_) {
        begin.__set_body_waits(true);
    }
    add_headers(begin);
    return begin;
}

void call::add_headers(wire::attempt_begin& begin) const {
    const std::vector<net::http_header>& received = context_.request_.headers_;
    const config::header_policy& headers = owner_.dependencies_.headers_;
    const auto copy_header = [&](const std::string& name) {
        if (const std::string* value = net::find_header(received, name)) {
            begin.headers.push_back(make_field(name, *value));
        }
    };
    if (headers.forward_all_) {
        for (const net::http_header& header : received) {
            const bool replaced =
                header.name_ == net::request_id_header || header.name_ == headers.deadline_;
            if (!replaced && !net::is_hop_by_hop_header(header.name_)) {
                begin.headers.push_back(make_field(header.name_, header.value_));
            }
        }
    } else {
        std::for_each(filter::request_headers().begin(), filter::request_headers().end(),
                      copy_header);
        std::for_each(context_.service_->headers_.begin(), context_.service_->headers_.end(),
                      copy_header);
    }
    if (resuming_) {
        begin.headers.push_back(
            make_field("range", "bytes=" + std::to_string(forwarded_bytes_) + "-"));
        begin.headers.push_back(make_field("if-range", resumable_etag_));
    }
    begin.headers.push_back(make_field("host", context_.request_.host_));
}

// Ends the attempt in progress, if any; its target proxy is sent a cancellation.
void call::abandon_attempt() {
    if (attempt_ == nullptr) {
        return;
    }
    const std::unique_ptr<current_attempt> abandoned = std::move(attempt_);
    // A part of a failure is of no use to the caller.
    incoming_failure_.reset();
    overdue_timer_.cancel();
    resolution_timer_.cancel();
    hedging_timer_.cancel();
    abandoned->link_->cancel(*this);
    owner_.views_.end_attempt(abandoned->target_);
}

// Abandons the attempt in progress, counts it, and excludes its target from further attempts.
void call::exclude_target() {
    ++attempts_;
    tried_targets_.insert(attempt_->target_);
    abandon_attempt();
}

void call::on_written(policy::attempt_id attempt) {
    attempt_->id_ = attempt;
    attempt_->written_ = true;
    attempt_->written_at_ = owner_.dependencies_.loop_.clock().now();
    attempt_->body_waits_ = attempt_->body_waits_ && attempt_->link_->grants_body();
    attempt_->credit_ = attempt_->body_waits_ ? 0 : request_window_bytes;
    start_overdue_timer();
    start_hedging_timer();
    send_pending_body();
}

void call::start_overdue_timer() {
    // A request that waits for a slot takes long because of the load, which another attempt raises.
    if (context_.idempotent_ && !may_wait_ && attempt_->run_duration_ > base::duration::zero()) {
        overdue_timer_.start(policy::overdue_after(attempt_->run_duration_),
                             [this] { on_overdue(); });
    }
}

// Gives up the attempt in progress for one at another target, if the retry budget allows it. During
// a planned stop the request stays where it runs: if no other target took it, no time would be
// left.
void call::on_overdue() {
    if (attempt_ == nullptr || head_sent_ || incoming_failure_ || copy_ != nullptr ||
        owner_.draining()) {
        return;
    }
    policy::retry_context retry = make_retry_context(policy::attempt_outcome::unknown);
    // The attempt in progress is not counted yet.
    ++retry.attempts_;
    // The next attempt is not the first, so it must not test a target.
    policy::choice_criteria criteria_without_test = criteria();
    criteria_without_test.can_retry_ = false;
    criteria_without_test.can_reserve_retry_ = false;
    const auto other = owner_.choose(context_.service_->name_, criteria_without_test,
                                     targets_used(), region_limits());
    retry.other_target_ = other && !other->allow_ejected_;
    retry.run_duration_ = other ? other->run_duration_ : base::duration::zero();
    if (owner_.decide_retry(context_.service_->name_, retry) != policy::retry_decision::retry) {
        return;
    }
    charge_reserved_retry();
    record_event("overdue", attempt_->target_, time_left());
    owner_.dependencies_.metrics_.count_retry();
    may_have_run_ = true;
    exclude_target();
    send_attempt(*other);
}

// Returns the targets that no other attempt may use, with that of the attempt in progress.
std::set<std::string> call::targets_used() const {
    std::set<std::string> used = tried_targets_;
    used.insert(attempt_->target_);
    return used;
}

void call::on_refused(const wire::attempt_refused& refusal) {
    if (refusal.__isset.report) {
        owner_.record_report(refusal.report);
    }
    if (attempt_->body_waits_) {
        owner_.locality_.record_body_withheld(context_.service_->name_, attempt_->target_);
    }
    const bool only_target_leaves = refusal.__isset.report && refusal.report.leaving;
    if (refusal.reason == wire::refusal_reason::draining && !only_target_leaves) {
        owner_.record_stop_refusal(attempt_->link_->peer(), context_.idempotent_);
    }
    if (refusal.reason == wire::refusal_reason::target_busy ||
        refusal.reason == wire::refusal_reason::overload) {
        owner_.hedging_.record_slot_refusal(context_.service_->name_);
    }
    if (copy_ != nullptr) {
        attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason), true);
        return;
    }
    if (refusal.reason == wire::refusal_reason::target_unreachable) {
        attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason));
        return;
    }
    retry_after_refusal(refusal);
}

// Returns true if no attempt can have run and no target is left that would end a run in time.
bool call::is_known_failure() const {
    return attempts_ == 0 && !may_have_run_ && !held_failure_ && !head_sent_ &&
           policy::is_known_failure(overload_refusals_, run_time_left());
}

// Tries another target, or refuses the request after too many refusals. The target proxy refused
// before a slot was taken, so trying another target costs no retry budget.
void call::retry_after_refusal(const wire::attempt_refused& refusal) {
    const std::string target = attempt_->target_;
    ++refusals_;
    if (refusal.reason == wire::refusal_reason::target_busy ||
        refusal.reason == wire::refusal_reason::overload) {
        const base::duration wait = base::milliseconds(refusal.retry_after_ms);
        if (wait > base::duration::zero()) {
            min_wait_ = std::min(min_wait_, wait);
        }
        policy::record_overload(overload_refusals_,
                                refusal.reason == wire::refusal_reason::overload, wait,
                                attempt_->run_duration_, run_time_left());
    }
    // At a host that stops no request waits for a slot, so it is not tried again.
    const bool stopping = owner_.stop_state_of(attempt_->link_->peer()) != policy::stop_state::none;
    if (refusal.reason == wire::refusal_reason::target_busy && !stopping) {
        busy_targets_.insert(target);
    } else {
        tried_targets_.insert(target);
    }
    if (busy_targets_.size() >= max_busy_targets) {
        may_wait_ = true;
        busy_targets_.clear();
    }
    if (is_known_failure()) {
        record_event("known_failure", target,
                     {"shortest_ms", std::to_string(base::whole_ms(overload_refusals_.shortest_))});
        owner_.dependencies_.metrics_.count_known_failure();
        abandon_attempt();
        refuse_not_run(filter::reason::overload);
        return;
    }
    const bool key_refused = refusal.reason == wire::refusal_reason::key_withdrawn;
    if (key_refused && refusals_ <= max_refusals && may_resolve_again()) {
        abandon_attempt();
        resolve_after_refusal(refusal.__isset.rules_version ? refusal.rules_version : 0);
        return;
    }
    if (key_refused || refusals_ > max_refusals) {
        abandon_attempt();
        end_without_retry(policy::retry_decision::refuse_not_run, to_reason(refusal.reason));
        return;
    }
    attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason), true);
}

void call::on_failed(const wire::attempt_failed& failure) {
    if (failure.__isset.report) {
        owner_.record_report(failure.report);
    }
    const bool response_lost = failure.reason == wire::failure_reason::answer_lost;
    const bool connection_lost = failure.reason == wire::failure_reason::connection_lost;
    const bool other_targets_left = attempts_ + 1 < context_.route_->attempts_;
    attempt_->in_doubt_ = false;
    attempt_->resendable_ = response_lost || (connection_lost && !other_targets_left);
    attempt_ended(policy::attempt_outcome::unknown,
                  response_lost ? filter::reason::response_lost : filter::reason::target_failed);
}

// Returns the target that lost an idempotent request's response, if the request may be sent to it
// once more and it still accepts requests.
std::optional<chosen_target> call::find_resend_target(const std::string& target) const {
    if (resent_ || !context_.idempotent_) {
        return std::nullopt;
    }
    return owner_.find_eligible(context_.service_->name_, target, run_kind(), region_limits());
}

// Sends the request to the target of its last attempt, which is not counted: attempts count
// targets.
void call::resend(const chosen_target& same) {
    resent_ = true;
    --attempts_;
    tried_targets_.erase(same.target_->name_);
    record_event("resent", same.target_->name_, time_left());
    owner_.dependencies_.metrics_.count_retry();
    send_attempt(same);
}

void call::on_not_run() {
    tried_targets_.insert(attempt_->target_);
    attempt_ended(policy::attempt_outcome::not_run, filter::reason::no_target, true);
}

void call::on_not_sent() {
    abandon_attempt();
    start_attempt();
}

void call::on_unknown() {
    attempt_->in_doubt_ = false;
    attempt_->resendable_ = true;
    attempt_ended(policy::attempt_outcome::unknown, filter::reason::response_lost);
}

void call::on_in_doubt(link_loss loss) {
    if (attempt_->was_in_doubt_ && !context_.idempotent_ && !head_sent_) {
        // It is awaited until its deadline since the first loss.
        return;
    }
    attempt_->was_in_doubt_ = true;
    attempt_->in_doubt_ = true;
    if (!head_sent_) {
        start_status_wait(loss);
        attempt_ended(policy::attempt_outcome::in_doubt, filter::reason::response_lost);
        return;
    }
    // The rest of a continuation cannot be told apart from its start if it is sent again.
    if (resuming_ || can_resume_elsewhere()) {
        exclude_target();
        resume_or_abort();
        return;
    }
    // The rest of the response is requested from the target proxy.
    start_rest_timer();
}

// The attempt counts as one in progress again, which may take until the request's deadline.
void call::on_response_expected() {
    attempt_->in_doubt_ = false;
    if (context_.idempotent_ && !head_sent_) {
        resolution_timer_.cancel();
        start_overdue_timer();
    }
}

// Limits the time for the rest of a response that broke off with its link, also once the rest
// arrives.
void call::start_rest_timer() {
    deadline_timer_.start(context_.service_->timeout_, [this] { on_deadline(); });
}

}  // namespace dandelionridge::node
