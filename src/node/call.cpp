#include "node/call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "filter/chain.h"
#include "filter/forwarded_headers.h"
#include "net/http_writer.h"
#include "node/target_proxy_attempt.h"
#include "policy/quota.h"
#include "policy/retry_after.h"

namespace dandelionridge::node {

namespace {

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// Time for which a guard whose link was lost is waited for.
constexpr base::duration longest_doubt = base::seconds(2);

// Guards that are asked for a free slot before the request waits for one.
constexpr std::size_t most_searches = 3;
// Refusals by guards after which the caller is refused.
constexpr int most_refusals = 10;

std::string request_id_of(const net::http_request& request, base::random_engine& random) {
    constexpr std::size_t longest = 128;
    const std::string* given = net::find_header(request.headers_, request_id_header);
    return given != nullptr && given->size() <= longest ? *given : base::random_token(random);
}

// Time that the caller still waits, if it says so.
std::optional<base::duration> caller_patience(const net::http_request& request,
                                              const std::string& header) {
    const std::string* text = net::find_header(request.headers_, header);
    std::int64_t ms = 0;
    if (text == nullptr) {
        return std::nullopt;
    }
    const auto [end, code] = std::from_chars(text->data(), text->data() + text->size(), ms);
    constexpr std::int64_t most_ms = 86'400'000;
    if (code != std::errc() || ms < 0) {
        return std::nullopt;
    }
    return base::milliseconds(std::min(ms, most_ms));
}

double draw(base::random_engine& random) {
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(base::random_below(random, steps)) / steps;
}

filter::reason to_reason(wire::refusal_reason reason) {
    switch (reason) {
        case wire::refusal_reason::key_withdrawn:
            return filter::reason::key_invalid;
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

call::call(caller_proxy& owner, net::http_exchange& exchange, net::http_request request)
    : owner_(owner),
      exchange_(exchange),
      request_id_(request_id_of(request, owner.random_)),
      began_(owner.dependencies_.loop_.clock().now()),
      deadline_timer_(owner.dependencies_.loop_) {
    context_.rules_ = owner.dependencies_.configuration_.rules();
    context_.request_ = std::move(request);
    context_.headers_ = &owner.dependencies_.headers_;
    context_.draw_ = draw(owner.random_);
    context_.confirmed_age_ = owner.dependencies_.settings_.strict_freshness_
                                  ? owner.dependencies_.identity_.freshness_age_()
                                  : base::duration::zero();
    context_.freshness_bound_ = owner.dependencies_.settings_.freshness_bound_;
    owner_.dependencies_.metrics_.count_request();
    owner_.calls_.insert(this);
    begin();
}

call::~call() {
    owner_.calls_.erase(this);
    if (nested_ && !finished_) {
        // Its caller gave it up.
        owner_.dependencies_.on_failed_call_();
    }
    owner_.dependencies_.quota_.cancel(*this);
    abandon_attempt();
}

void call::begin() {
    if (!owner_.dependencies_.identity_.ready_to_serve_()) {
        refuse({status_unavailable, filter::outcome::not_run, filter::reason::starting,
                short_retry_delay});
        return;
    }
    if (const filter::filter_result refused = filter::run_chain(context_)) {
        refuse(*refused);
        return;
    }
    const config::header_policy& headers = owner_.dependencies_.headers_;
    nested_ = context_.route_->open_ && !headers.caller_service_.empty();
    if (nested_ ? owner_.refuses_nested_ : owner_.refuses_new_requests_) {
        refuse({status_unavailable, filter::outcome::not_run, filter::reason::stopping,
                short_retry_delay});
        return;
    }
    base::duration max_wait = context_.route_->timeout_ > base::duration::zero()
                                  ? context_.route_->timeout_
                                  : context_.service_->timeout_;
    if (const auto given = caller_patience(context_.request_, headers.deadline_)) {
        max_wait = std::min(max_wait, *given);
    }
    deadline_ = began_ + max_wait;
    deadline_timer_.start(max_wait, [this] { on_deadline(); });
    policy::record_request(owner_.retry_budgets_[context_.service_->name_], owner_.retry_limits(),
                           nested_ ? owner_.dependencies_.repeat_share_() : 0, began_);
    body_ended_ = !has_body();
    if (body_buffered()) {
        admit();
    }
}

void call::admit() {
    if (admitted_) {
        return;
    }
    admitted_ = true;
    if (context_.organisation_.empty()) {
        on_admitted();
        return;
    }
    owner_.dependencies_.quota_.admit(
        context_.organisation_,
        policy::quota_max_wait(context_.route_->latency_objective_, time_left()), *this);
}

void call::on_admitted() {
    start_attempt();
}

void call::on_over_rate(base::duration retry_after) {
    refuse({status_too_many, filter::outcome::not_run, filter::reason::over_rate,
            policy::retry_after_delay(retry_after, time_left(), owner_.random_)});
}

base::duration call::time_left() const {
    return deadline_ - owner_.dependencies_.loop_.clock().now();
}

policy::choice_criteria call::criteria() const {
    const bool download = context_.route_->download_;
    return {context_.idempotent_, retry_available(), download,
            policy::run_kind_of(nested_, download, context_.idempotent_),
            owner_.dependencies_.settings_.min_share_};
}

// True if the request may be sent once more if its next attempt fails. Where a route allows a
// single attempt, its requests are as good as any to find out how a target is.
bool call::retry_available() const {
    if (!context_.idempotent_ || attempts_ > 0) {
        return false;
    }
    return context_.route_->attempts_ == 1 || owner_.may_retry(context_.service_->name_, nested_);
}

std::optional<chosen_target> call::choose() {
    std::set<std::string> passed_over = tried_targets_;
    passed_over.insert(busy_targets_.begin(), busy_targets_.end());
    auto chosen = owner_.choose(context_.service_->name_, criteria(), passed_over);
    if (!chosen && !busy_targets_.empty()) {
        may_wait_ = true;
        busy_targets_.clear();
        chosen = owner_.choose(context_.service_->name_, criteria(), tried_targets_);
    }
    return chosen;
}

void call::start_attempt() {
    const auto chosen = choose();
    if (!chosen) {
        if (head_sent_) {
            abort_response();
        } else if (failure_) {
            forward_held_failure();
        } else if (may_have_run_) {
            refuse_unknown(filter::reason::target_failed);
        } else {
            refuse_not_run(filter::reason::no_target);
        }
        return;
    }
    attempt_ = std::make_unique<current_attempt>();
    attempt_->link_ = &owner_.dependencies_.links_.link_to(*chosen->host_);
    attempt_->target_ = chosen->target_->name_;
    owner_.views_.begin_attempt(attempt_->target_);
    peer_link& link = *attempt_->link_;
    link.start(describe(*chosen), *this);
}

wire::attempt_begin call::describe(const chosen_target& chosen) const {
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
        static_cast<std::int32_t>(std::max<std::int64_t>(1, base::whole_ms(time_left())));
    begin.idempotent = context_.idempotent_;
    begin.caller_service = owner_.dependencies_.settings_.target_service_;
    begin.priority = context_.priority_;
    begin.nested = nested_;
    begin.may_wait = may_wait_;
    begin.allow_ejected = chosen.allow_ejected_;
    begin.chunked_body = context_.request_.chunked_;
    begin.download = context_.route_->download_;
    begin.repeat = attempts_ > 0;
    const base::duration objective = context_.route_->latency_objective_;
    if (objective > base::duration::zero()) {
        const auto left =
            base::whole_ms(began_ + objective - owner_.dependencies_.loop_.clock().now());
        begin.objective_ms = static_cast<std::int32_t>(left == 0 ? -1 : left);
    }
    if (context_.request_.body_length_) {
        begin.__set_body_length(static_cast<std::int64_t>(*context_.request_.body_length_));
    }
    add_headers(begin);
    return begin;
}

void call::add_headers(wire::attempt_begin& begin) const {
    const std::vector<net::http_header>& given = context_.request_.headers_;
    const config::header_policy& headers = owner_.dependencies_.headers_;
    const auto pass = [&](const std::string& name) {
        if (const std::string* value = net::find_header(given, name)) {
            begin.headers.push_back(make_field(name, *value));
        }
    };
    if (headers.forward_all_) {
        for (const net::http_header& header : given) {
            const bool set_anew =
                header.name_ == request_id_header || header.name_ == headers.deadline_;
            if (!set_anew && !net::is_hop_by_hop_header(header.name_)) {
                begin.headers.push_back(make_field(header.name_, header.value_));
            }
        }
    } else {
        std::for_each(filter::request_headers().begin(), filter::request_headers().end(), pass);
        std::for_each(context_.service_->headers_.begin(), context_.service_->headers_.end(), pass);
    }
    if (resuming_) {
        begin.headers.push_back(
            make_field("range", "bytes=" + std::to_string(forwarded_bytes_) + "-"));
        begin.headers.push_back(make_field("if-range", resumable_etag_));
    }
    begin.headers.push_back(make_field("host", context_.request_.host_));
}

// Forgets the attempt under way; its guard is told to cancel it.
void call::abandon_attempt() {
    if (attempt_ == nullptr) {
        return;
    }
    const std::unique_ptr<current_attempt> left = std::move(attempt_);
    left->link_->withdraw(*this);
    owner_.views_.end_attempt(left->target_);
}

// The target had the request and is not asked again.
void call::exclude_target() {
    ++attempts_;
    tried_targets_.insert(attempt_->target_);
    abandon_attempt();
}

void call::on_written(policy::attempt_id attempt) {
    attempt_->id_ = attempt;
    attempt_->written_ = true;
    attempt_->credit_ = request_window;
    send_pending_body();
}

void call::on_refused(const wire::attempt_refused& refusal) {
    if (refusal.__isset.report) {
        owner_.record_report(refusal.report);
    }
    if (refusal.reason == wire::refusal_reason::draining) {
        owner_.set_draining(attempt_->link_->peer(), true);
    }
    if (refusal.reason == wire::refusal_reason::target_unreachable) {
        attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason));
        return;
    }
    retry_after_refusal(refusal);
}

// The guard refused before a slot was taken: another target may be tried at no cost.
void call::retry_after_refusal(const wire::attempt_refused& refusal) {
    const std::string target = attempt_->target_;
    ++refusals_;
    if (refusal.reason == wire::refusal_reason::target_busy ||
        refusal.reason == wire::refusal_reason::overload) {
        min_wait_ = std::min<base::duration>(min_wait_, base::milliseconds(refusal.retry_after_ms));
    }
    if (refusal.reason == wire::refusal_reason::target_busy) {
        busy_targets_.insert(target);
    } else {
        tried_targets_.insert(target);
    }
    if (busy_targets_.size() >= most_searches) {
        may_wait_ = true;
        busy_targets_.clear();
    }
    const bool final =
        refusal.reason == wire::refusal_reason::key_withdrawn || refusals_ > most_refusals;
    if (final) {
        abandon_attempt();
        refuse_not_run(to_reason(refusal.reason));
        return;
    }
    attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason), true);
}

void call::on_failed(const wire::attempt_failed& failure) {
    if (failure.__isset.report) {
        owner_.record_report(failure.report);
    }
    const bool lost = failure.reason == wire::failure_reason::answer_lost;
    attempt_ended(policy::attempt_outcome::unknown,
                  lost ? filter::reason::response_lost : filter::reason::target_failed);
}

void call::on_not_run() {
    tried_targets_.insert(attempt_->target_);
    attempt_ended(policy::attempt_outcome::not_run, filter::reason::no_target, true);
}

void call::on_unknown() {
    attempt_ended(policy::attempt_outcome::unknown, filter::reason::response_lost);
}

void call::on_in_doubt() {
    if (head_sent_ && context_.idempotent_) {
        exclude_target();
        resume_or_abort();
        return;
    }
    if (!head_sent_) {
        attempt_ended(policy::attempt_outcome::in_doubt, filter::reason::response_lost);
        return;
    }
    // The guard is asked for the rest, but not for ever.
    deadline_timer_.start(context_.service_->timeout_, [this] { on_deadline(); });
}

// `free`: the attempt reached no target.
void call::attempt_ended(policy::attempt_outcome outcome, filter::reason why, bool free) {
    if (head_sent_) {
        exclude_target();
        resume_or_abort();
        return;
    }
    holding_failure_ = false;
    if (!free) {
        ++attempts_;
        tried_targets_.insert(attempt_->target_);
    }
    policy::retry_context question;
    question.outcome_ = outcome;
    question.idempotent_ = context_.idempotent_;
    question.replayable_ = replayable();
    question.attempts_ = attempts_;
    question.max_attempts_ = context_.route_->attempts_;
    question.maybe_ran_before_ = may_have_run_;
    question.budget_exempt_ = free;
    question.nested_ = nested_;
    question.time_left_ = time_left();
    const auto other = choose();
    question.other_target_ = other.has_value();
    question.run_duration_ = other && !free ? other->run_ : base::duration::zero();
    const base::instant now = owner_.dependencies_.loop_.clock().now();
    const policy::retry_decision decision = policy::decide_retry(
        owner_.retry_budgets_[context_.service_->name_], owner_.retry_limits(), question, now);
    if (decision == policy::retry_decision::wait) {
        --attempts_;
        tried_targets_.erase(attempt_->target_);
        // The guard is asked as long as it may answer soon, not for ever.
        deadline_timer_.start(std::min(time_left(), longest_doubt), [this] { on_deadline(); });
        return;
    }
    const std::string target = attempt_->target_;
    abandon_attempt();
    may_have_run_ = may_have_run_ || outcome != policy::attempt_outcome::not_run;
    if (decision != policy::retry_decision::retry) {
        end_without_retry(decision, why);
        return;
    }
    if (!free) {
        record("retried", target, time_left());
        owner_.dependencies_.metrics_.count_retry();
    }
    start_attempt();
}

void call::end_without_retry(policy::retry_decision decision, filter::reason why) {
    if (failure_) {
        forward_held_failure();
    } else if (decision == policy::retry_decision::refuse_not_run && !may_have_run_) {
        refuse_not_run(why);
    } else {
        refuse_unknown(why);
    }
}

void call::end_now() {
    if (!finished_ && !head_sent_) {
        on_deadline();
    }
}

void call::on_deadline() {
    const bool written = attempt_ != nullptr && attempt_->written_;
    abandon_attempt();
    owner_.dependencies_.quota_.cancel(*this);
    if (head_sent_) {
        abort_response();
    } else if (failure_ && !holding_failure_) {
        forward_held_failure();
    } else if (written || may_have_run_) {
        refuse_unknown(filter::reason::deadline);
    } else {
        refuse_not_run(filter::reason::deadline);
    }
}

}  // namespace dandelionridge::node
