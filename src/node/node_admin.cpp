// What a node serves on its admin address: readiness, status, events and metrics.
#include <nlohmann/json.hpp>
#include <utility>

#include "node/node.h"
#include "observe/json_output.h"

namespace dandelionridge::node {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

// Handler of one admin request. The response does not depend on a request body, which is ignored.
class admin_handler final : public net::http_handler {
public:
    void on_body(std::string_view /*bytes*/) override {}
    void on_body_end() override {}
    void on_sent(std::size_t /*bytes*/) override {}
};

// Returns the counter of the bytes that were exchanged with peers in one direction.
observe::labelled_counter make_byte_counter(std::string name, std::string help,
                                            const net::bytes_by_kind& bytes) {
    observe::labelled_counter counter{std::move(name), std::move(help), "kind", {}};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        counter.values_.emplace(net::to_text(static_cast<net::frame_kind>(i)), bytes.at(i));
    }
    return counter;
}

observe::labelled_counter make_loan_counter(const control::retry_loans& loans) {
    observe::labelled_counter counter{"dandelionridge_retry_loans_total",
                                      "Requests to other hosts to charge a retry, by reply.",
                                      "reply",
                                      {}};
    for (std::size_t i = 0; i < loans.replies().size(); ++i) {
        counter.values_.emplace(control::to_text(static_cast<control::loan_reply>(i)),
                                loans.replies().at(i));
    }
    return counter;
}

observe::labelled_counter make_token_counter(const control::quota_counters& counters) {
    observe::labelled_counter counter{"dandelionridge_quota_tokens_total",
                                      "Tokens requested from this host as owner, by result.",
                                      "cause",
                                      {}};
    for (std::size_t i = 0; i < counters.missing_tokens_.size(); ++i) {
        counter.values_.emplace(policy::to_text(static_cast<policy::grant_cause>(i)),
                                counters.missing_tokens_.at(i));
    }
    counter.values_[std::string(policy::to_text(policy::grant_cause::granted))] =
        counters.granted_tokens_;
    return counter;
}

observe::labelled_counter make_quota_refusal_counter(const control::quota_counters& counters) {
    observe::labelled_counter counter{"dandelionridge_quota_refusals_total",
                                      "Requests refused for want of a token, by cause.",
                                      "cause",
                                      {}};
    for (std::size_t i = 0; i < counters.refused_requests_.size(); ++i) {
        counter.values_.emplace(control::to_text(static_cast<control::quota_refusal_cause>(i)),
                                counters.refused_requests_.at(i));
    }
    return counter;
}

// Returns the hosts that may not answer, with the evidence for it.
nlohmann::json make_member_list(const policy::membership& known, base::instant now) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, host] : known.members_) {
        if (host.state_ == policy::member_state::alive) {
            continue;
        }
        nlohmann::json reporters = nlohmann::json::array();
        for (const policy::suspicion_report& report : host.reports_) {
            reporters.push_back(report.reporter_);
        }
        list.push_back({{"host", name},
                        {"boot_tag", host.boot_},
                        {"state", policy::to_text(host.state_)},
                        {"since_ms", base::whole_ms(now - host.changed_at_)},
                        {"unanswered", host.unanswered_since_.has_value()},
                        {"reporters", std::move(reporters)}});
    }
    return list;
}

}  // namespace

base::result<bool> node::open_admin() {
    net::http_server_options options;
    options.address_ = settings_.admin_listen_address_;
    auto admin = net::http_server::create(
        *loop_, std::move(options),
        [this](net::http_exchange& exchange, const net::http_request& request) {
            net::http_response response;
            std::string type;
            const std::string body = admin_response(request.path_, response.status_, type);
            response.headers_ = {{"content-type", type}};
            net::send_response(exchange, std::move(response), body);
            return std::make_unique<admin_handler>();
        });
    if (!admin) {
        return tl::unexpected(admin.error());
    }
    admin_ = std::move(*admin);
    return true;
}

std::string node::admin_response(const std::string& path, int& status, std::string& type) const {
    status = status_ok;
    type = "application/json";
    if (path == "/status") {
        return status_json();
    }
    if (path == "/events") {
        return events_.to_json();
    }
    type = "text/plain; version=0.0.4";
    if (path == "/metrics") {
        return render_metrics();
    }
    if (path == "/healthz" || path == environment_.ready_path_) {
        status = serving() ? status_ok : status_unavailable;
        return serving() ? "serving\n" : "not serving\n";
    }
    status = status_not_found;
    return "unknown path; try /status, /events, /metrics or /healthz\n";
}

std::string node::status_json() const {
    nlohmann::json values;
    for (const auto kind : {control::config_value_kind::rules, control::config_value_kind::hosts}) {
        const control::config_value_state& state = configuration_.state(kind);
        nlohmann::json value = {{"version", state.lines_.version_},
                                {"lines", state.lines_.lines_.size()},
                                {"ignored_old", state.ignored_stale_}};
        if (state.rejected_) {
            value["rejected_version"] = state.rejected_->version_;
            value["rejected_why"] = state.rejected_->message_;
        }
        values[to_text(kind)] = std::move(value);
    }
    const target_proxy_counters& counters = target_proxy_->counters();
    const nlohmann::json status = {
        {"host", settings_.host_},
        {"zone", settings_.zone_},
        {"boot", identity_.boot_},
        {"draining", draining_},
        {"configuration", values},
        {"confirmed_age_ms", base::whole_ms(configuration_.confirmed_age(clock_.now()))},
        {"freshness_age_ms", base::whole_ms(gossip_.freshness_age())},
        {"platform_answers", feed_->platform_available()},
        {"pauses", loop_->pause_count()},
        {"links", links_->size()},
        {"links_open", links_->open_count()},
        {"target_connections_opened", target_proxy_->connections_opened()},
        {"silent_host_count", members_->count_of(policy::member_state::silent)},
        {"suspected_hosts", make_member_list(members_->known(), clock_.now())},
        {"calls", caller_proxy_->open_calls()},
        {"platform_calls", feed_->request_count()},
        {"guard",
         {{"open", target_proxy_->open_attempts()},
          {"started", counters.started_},
          {"answered", counters.responses_},
          {"refused", counters.refused_},
          {"failed", counters.failed_},
          {"links_refused", counters.links_refused_}}},
    };
    return observe::json_text(status, 2) + "\n";
}

std::string node::render_metrics() const {
    const target_proxy_counters& counters = target_proxy_->counters();
    std::vector<observe::gauge> gauges = {
        {"dandelionridge_rules_version",
         static_cast<double>(configuration_.version(control::config_value_kind::rules))},
        {"dandelionridge_hosts_version",
         static_cast<double>(configuration_.version(control::config_value_kind::hosts))},
        {"dandelionridge_guard_attempts", static_cast<double>(target_proxy_->open_attempts())},
        {"dandelionridge_guard_started", static_cast<double>(counters.started_)},
        {"dandelionridge_links", static_cast<double>(links_->size())},
        {"dandelionridge_evacuated_zones",
         static_cast<double>(configuration_.hosts()->evacuated_zones_.size())},
        {"dandelionridge_hosts_silent",
         static_cast<double>(members_->count_of(policy::member_state::silent))},
        {"dandelionridge_links_open", static_cast<double>(links_->open_count())},
        {"dandelionridge_response_held_bytes", static_cast<double>(response_memory_.held_)},
        {"dandelionridge_response_limit_bytes", static_cast<double>(response_memory_.limit_)},
    };
    if (const auto limit = target_proxy_->rate_limit()) {
        gauges.push_back({"dandelionridge_target_rate_limit_per_second", *limit});
    }
    return metrics_.render(
        gauges,
        {target_proxy_->activity().refused(), target_proxy_->placements().counter(),
         caller_proxy_->placements().counter(), caller_proxy_->choices().passed_over(),
         caller_proxy_->choices().retries_denied(), caller_proxy_->pipelining().counter(),
         caller_proxy_->hedging().copies(), caller_proxy_->locality().chosen(),
         caller_proxy_->locality().spilled(), caller_proxy_->locality().bodies_waited(),
         target_proxy_->weights().started(),
         make_byte_counter("dandelionridge_peer_sent_bytes_total",
                           "Bytes queued for peers, by kind of frame.", traffic_.sent_),
         make_byte_counter("dandelionridge_peer_received_bytes_total",
                           "Bytes received from peers, by kind of frame.", traffic_.received_),
         members_->report_counter(), make_token_counter(quota_.counters()),
         make_quota_refusal_counter(quota_.counters()), make_loan_counter(retry_loans_)});
}

}  // namespace dandelionridge::node
