#include "node/call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "filter/chain.h"
#include "policy/quota.h"
#include "policy/refusal_margin.h"
#include "policy/retry_after.h"

namespace dandelionridge::node {

namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

// Returns the request ID that the caller sent, or a new random one if it sent none or a too long
// one.
std::string request_id_of(const net::http_request& request, base::random_engine& random) {
    constexpr std::size_t max_id_bytes = 128;
    const std::string* received = net::find_header(request.headers_, net::request_id_header);
    return received != nullptr && received->size() <= max_id_bytes ? *received
                                                                   : base::random_token(random);
}

// Returns the time that the caller is willing to wait, at most a day, from the request's header of
// that name, which holds milliseconds. Returns nothing if the header is absent or invalid.
std::optional<base::duration> caller_max_wait(const net::http_request& request,
                                              const std::string& header) {
    const std::string* text = net::find_header(request.headers_, header);
    std::int64_t ms = 0;
    if (text == nullptr) {
        return std::nullopt;
    }
    const auto [end, code] = std::from_chars(text->data(), text->data() + text->size(), ms);
    constexpr std::int64_t max_ms = 86'400'000;
    if (code != std::errc() || ms < 0) {
        return std::nullopt;
    }
    return base::milliseconds(std::min(ms, max_ms));
}

// Returns a random number in [0, 1).
double random_fraction(base::random_engine& random) {
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(base::random_below(random, steps)) / steps;
}

}  // namespace

call::call(caller_proxy& owner, net::http_exchange& exchange, net::http_request request)
    : owner_(owner),
      exchange_(exchange),
      request_id_(request_id_of(request, owner.random_)),
      started_at_(request.received_at_),
      deadline_timer_(owner.dependencies_.loop_),
      overdue_timer_(owner.dependencies_.loop_),
      resolution_timer_(owner.dependencies_.loop_),
      hedging_timer_(owner.dependencies_.loop_),
      copy_claim_(owner.dependencies_.response_memory_),
      response_claim_(owner.dependencies_.response_memory_) {
    context_.rules_ = owner.dependencies_.configuration_.rules();
    context_.request_ = std::move(request);
    context_.headers_ = &owner.dependencies_.headers_;
    context_.service_draw_ = random_fraction(owner.random_);
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
        // The caller closed the connection before the response was complete.
        owner_.dependencies_.on_nested_call_failed_();
    }
    owner_.dependencies_.quota_.cancel(*this);
    owner_.dependencies_.retry_loans_.cancel(*this);
    stop_awaiting_budget();
    cancel_copy(copy_outcome::abandoned);
    abandon_attempt();
}

void call::begin() {
    const config::header_policy& headers = owner_.dependencies_.headers_;
    const auto requested_wait = caller_max_wait(context_.request_, headers.deadline_);
    const auto refuse_all = [&](filter::reason reason, base::duration max_wait) {
        refuse({status_unavailable, filter::outcome::not_run, reason,
                policy::retry_after_delay(default_retry_after, max_wait, owner_.random_)});
    };
    if (!owner_.dependencies_.identity_.ready_to_serve_()) {
        refuse_all(filter::reason::starting, requested_wait.value_or(base::duration::zero()));
        return;
    }
    if (const filter::filter_result refused = filter::run_chain(context_)) {
        refuse(*refused);
        return;
    }
    nested_ = context_.route_->open_ && !headers.caller_service_.empty();
    base::duration max_wait = context_.route_->timeout_ > base::duration::zero()
                                  ? context_.route_->timeout_
                                  : context_.service_->timeout_;
    if (requested_wait) {
        max_wait = std::min(max_wait, *requested_wait);
    }
    if (!owner_.accepts(context_.service_->name_, run_kind(), nested_)) {
        refuse_all(filter::reason::stopping, max_wait);
        return;
    }
    deadline_ = started_at_ + max_wait;
    const base::instant now = owner_.dependencies_.loop_.clock().now();
    deadline_timer_.start(std::max(base::duration::zero(), deadline_ - now),
                          [this] { on_deadline(); });
    policy::record_request(owner_.retry_budgets_[context_.service_->name_], owner_.retry_limits(),
                           nested_ ? owner_.dependencies_.repeat_share_() : 0, now);
    owner_.hedging_.record_request(context_.service_->name_);
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
        context_.organisation_, context_.priority_,
        policy::quota_max_wait(context_.route_->latency_objective_, time_left()), *this);
}

void call::on_admitted() {
    start_attempt();
}

void call::on_over_rate(base::duration retry_after) {
    if (has_newer_rules()) {
        // The quota's state must not change within its callback.
        admitted_ = false;
        resolution_timer_.start(base::duration::zero(), [this] { resolve_again(); });
        return;
    }
    refuse({status_too_many_requests, filter::outcome::not_run, filter::reason::over_rate,
            policy::retry_after_delay(retry_after, time_left(), owner_.random_)});
}

base::duration call::time_left() const {
    return std::min(deadline_, owner_.stop_deadline()) - owner_.dependencies_.loop_.clock().now();
}

// Returns the time that a run which begins now may take.
base::duration call::run_time_left() const {
    return std::min(deadline_, owner_.run_deadline()) - owner_.dependencies_.loop_.clock().now();
}

// Returns the time that must be left for another attempt: with less, its refusal could not arrive
// before the deadline, and the caller would not learn that the request did not run.
base::duration call::min_time_left() const {
    return policy::refusal_margin(deadline_ - started_at_);
}

// Returns what ends the time of this request: its deadline, or a planned stop before it.
filter::reason call::end_reason() const {
    return owner_.stop_deadline() < deadline_ ? filter::reason::stopping : filter::reason::deadline;
}

void call::end_now() {
    if (!finished_ && !head_sent_) {
        on_deadline();
    }
}

void call::on_deadline() {
    const bool time_over = time_left() <= base::duration::zero();
    const filter::reason reason = time_over ? end_reason() : filter::reason::deadline;
    const bool written = attempt_ != nullptr && attempt_->written_;
    cancel_copy(copy_outcome::abandoned);
    abandon_attempt();
    owner_.dependencies_.quota_.cancel(*this);
    owner_.dependencies_.retry_loans_.cancel(*this);
    if (head_sent_) {
        abort_response();
    } else if (held_failure_) {
        forward_held_failure();
    } else if (written || may_have_run_) {
        refuse_unknown(reason);
    } else {
        refuse_not_run(reason);
    }
}

}  // namespace dandelionridge::node
