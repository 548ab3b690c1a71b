#include "node/caller_proxy.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>
#include <vector>

#include "filter/chain.h"
#include "node/call.h"
#include "node/departure_expiry.h"
#include "policy/pipelining.h"

namespace dandelionridge::node {

namespace {

// Share of the fleet's retry budget that the caller proxies use, without that for trials. The rest
// is for what none of them can refuse: a repeated run repeats its calls, and the load differs
// between hosts.
constexpr double budget_share = 0.5;

// Bytes of a response that may wait for its turn. The response to a pipelined read, of some tens of
// kilobytes, fits in, so that its target's slot is free while it waits.
constexpr std::size_t waiting_response_bytes = 64 * 1024;

// Owner of the memory for pipelined requests and responses. No target has an empty name.
constexpr const char* pipelining_owner = "";

}  // namespace

caller_proxy::caller_proxy(caller_proxy_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      started_at_(dependencies_.loop_.clock().now()),
      random_(base::make_random_engine()),
      retry_rounding_(
          std::generate_canonical<double, std::numeric_limits<double>::digits>(random_)),
      pipelining_claim_(dependencies_.response_memory_),
      choices_(dependencies_.loop_, dependencies_.events_),
      pipelining_(dependencies_.loop_, dependencies_.events_),
      hedging_(dependencies_.loop_, dependencies_.settings_, dependencies_.events_),
      placement_log_(dependencies_.loop_, dependencies_.events_, "no_target_allowed",
                     "dandelionridge_no_target_allowed_total",
                     "Choices that found no target while some were left out, by cause."),
      locality_(dependencies_.loop_, dependencies_.events_) {}

// Destroys the server first, because the calls that end with its connections use other members.
caller_proxy::~caller_proxy() {
    server_.reset();
}

base::result<std::unique_ptr<caller_proxy>> caller_proxy::create(
    caller_proxy_dependencies dependencies) {
    std::unique_ptr<caller_proxy> created(new caller_proxy(std::move(dependencies)));
    caller_proxy* self = created.get();
    net::http_server_options options;
    options.address_ = self->dependencies_.settings_.caller_listen_address_;
    options.limits_ = [self] { return self->make_caller_limits(); };
    options.on_framing_error_ = [self](std::string_view error) {
        caller_proxy_dependencies& used = self->dependencies_;
        used.metrics_.count_broken_response();
        used.events_.record(used.loop_.clock().wall_ms(), "response_broken_off",
                            {{"cause", std::string(error)}});
    };
    self->set_pipelining(options);
    auto server = net::http_server::create(
        self->dependencies_.loop_, std::move(options),
        [self](net::http_exchange& exchange, net::http_request request) {
            return std::make_unique<call>(*self, exchange, std::move(request));
        });
    if (!server) {
        return tl::unexpected(server.error());
    }
    created->server_ = std::move(*server);
    return created;
}

void caller_proxy::set_pipelining(net::http_server_options& options) {
    const std::size_t requests = dependencies_.settings_.pipelined_requests_;
    options.pipeline_limits_ = {requests, requests * waiting_response_bytes};
    options.may_run_ahead_ = [this](const net::http_request& request) {
        return may_run_ahead(request);
    };
    options.has_room_ = [this] {
        return policy::available_to(dependencies_.response_memory_, pipelining_owner) >=
               waiting_response_bytes;
    };
    options.on_held_bytes_ = [this](std::size_t bytes) {
        pipelining_claim_.set(pipelining_owner, bytes);
    };
    options.on_pipelining_ = [this](net::pipelining_event event, std::size_t count) {
        pipelining_.record(event, count);
    };
}

bool caller_proxy::may_run_ahead(const net::http_request& request) const {
    if (drain_ || !dependencies_.identity_.ready_to_serve_()) {
        return false;
    }
    filter::request_context context;
    context.rules_ = dependencies_.configuration_.rules();
    context.request_ = request;
    context.headers_ = &dependencies_.headers_;
    context.confirmed_age_ = dependencies_.settings_.strict_freshness_
                                 ? dependencies_.identity_.freshness_age_()
                                 : base::duration::zero();
    context.freshness_bound_ = dependencies_.settings_.freshness_bound_;
    policy::pipelined_request facts;
    facts.known_route_ = !filter::run_chain(context);
    facts.idempotent_ = context.idempotent_;
    facts.has_body_ = request.chunked_ || request.body_length_.value_or(0) > 0;
    facts.expects_continue_ = net::find_header(request.headers_, "expect") != nullptr;
    return policy::may_run_ahead(facts);
}

net::caller_limits caller_proxy::make_caller_limits() const {
    const config::caller_limit_rule& rule = dependencies_.configuration_.rules()->limits_;
    return {rule.head_bytes_, rule.body_bytes_, rule.head_timeout_, rule.idle_timeout_};
}

void caller_proxy::drain(const policy::planned_stop& stop) {
    drain_ = stop;
    server_->close_after_responses();
}

bool caller_proxy::accepts(const std::string& service, policy::run_kind kind, bool nested) const {
    if (!drain_) {
        return true;
    }
    const base::duration elapsed = dependencies_.loop_.clock().now() - drain_->started_at_;
    return policy::accepts_while_draining(drain_->times_, elapsed,
                                          usual_run_duration(service, kind), nested);
}

base::instant caller_proxy::stop_deadline() const {
    return drain_ ? drain_->started_at_ + drain_->times_.respond_by_ : base::instant::max();
}

base::instant caller_proxy::run_deadline() const {
    return drain_ ? policy::run_deadline(*drain_) : base::instant::max();
}

void caller_proxy::finish_all_calls() {
    for (call* open_call : std::set<call*>(calls_)) {
        open_call->end_now();
    }
}

void caller_proxy::stop_listening() {
    listening_ = false;
    server_->stop_listening();
}

// Returns the time until which what a host says of its stop is valid.
base::instant caller_proxy::stop_valid_until(const std::string& host) const {
    using policy::stopping_host;
    const stopping_host own = drain_ ? stopping_host::own_stopping : stopping_host::own_running;
    return policy::stop_report_end(
        host == dependencies_.settings_.host_ ? own : stopping_host::other,
        dependencies_.loop_.clock().now());
}

void caller_proxy::set_draining(const std::string& host, bool draining) {
    if (draining) {
        policy::record_stop_notice(host_stops_[host], dependencies_.loop_.clock().now(),
                                   stop_valid_until(host));
    } else if (host != dependencies_.settings_.host_ || !drain_) {
        host_stops_.erase(host);
    }
}

void caller_proxy::record_stop_refusal(const std::string& host, bool idempotent) {
    policy::record_stop_refusal(host_stops_[host], idempotent, dependencies_.loop_.clock().now(),
                                stop_valid_until(host));
}

policy::stop_state caller_proxy::stop_state_of(const std::string& host) const {
    const auto found = host_stops_.find(host);
    return found == host_stops_.end()
               ? policy::stop_state::none
               : policy::state_of(found->second, dependencies_.loop_.clock().now());
}

void caller_proxy::record_report(const wire::target_report& report) {
    views_.record(report, dependencies_.loop_.clock().now());
    if (report.leaving) {
        record_departure(report.target, report.started_ms);
    }
}

void caller_proxy::record_departure(const std::string& target, std::int64_t started_ms) {
    if (policy::record_departure(departures_, target, started_ms,
                                 dependencies_.loop_.clock().now())) {
        dependencies_.events_.record(
            dependencies_.loop_.clock().wall_ms(), "leaving_target_excluded",
            {{"target", target}, {"started_ms", std::to_string(started_ms)}});
    }
}

void caller_proxy::expire_stale_targets() {
    const base::instant now = dependencies_.loop_.clock().now();
    views_.expire_stale(now);
    expire_departures(departures_, *dependencies_.configuration_.hosts(), now);
}

// Returns this caller proxy's limits. The retry budget is that of the whole fleet, so each caller
// proxy uses an equal share of the slack, and less of it just after its start.
policy::retry_limits caller_proxy::retry_limits() const {
    const config::settings& settings = dependencies_.settings_;
    const double host_count = std::max<double>(
        1, static_cast<double>(dependencies_.configuration_.hosts()->hosts_.size()));
    const double slack_share = policy::usable_slack_share(
        dependencies_.loop_.clock().now() - started_at_, settings.retry_window_);
    return {settings.retry_ratio_ * budget_share,
            settings.retry_slack_ * budget_share * slack_share / host_count, settings.retry_window_,
            settings.retry_slack_ > 0 ? retry_rounding_ : 0};
}

bool caller_proxy::may_retry(const std::string& service, bool nested) {
    return policy::has_budget(retry_budgets_[service], retry_limits(),
                              policy::usable_budget_share(nested),
                              dependencies_.loop_.clock().now());
}

bool caller_proxy::may_reserve_retry(const std::string& service) {
    return policy::has_budget(retry_budgets_[service], retry_limits(), policy::trial_budget_share,
                              dependencies_.loop_.clock().now());
}

std::unique_ptr<policy::retry_reservation> caller_proxy::reserve_retry(const std::string& service) {
    return std::make_unique<policy::retry_reservation>(retry_budgets_[service], retry_limits(),
                                                       policy::trial_budget_share,
                                                       dependencies_.loop_.clock().now());
}

// Lends what is left beside the part that is reserved for nested requests.
bool caller_proxy::lend_retry(const std::string& service) {
    return find_service(service) && policy::claim_retry(retry_budgets_[service], retry_limits(),
                                                        policy::usable_budget_share(false),
                                                        dependencies_.loop_.clock().now());
}

policy::retry_decision caller_proxy::decide_retry(const std::string& service,
                                                  const policy::retry_context& context) {
    const policy::retry_decision decision = policy::decide_retry(
        retry_budgets_[service], retry_limits(), context, dependencies_.loop_.clock().now());
    const bool status_awaited = context.status_due_in_ > base::duration::zero();
    if (decision != policy::retry_decision::retry && !status_awaited &&
        policy::may_retry_within_budget(context)) {
        choices_.record_retry_denied(service);
    }
    return decision;
}

}  // namespace dandelionridge::node
