// How the target proxy keeps its host's targets to the rate that they take while they are cold.
#include <algorithm>

#include "node/target_proxy.h"

namespace dandelionridge::node {

// Applies the rules and the host list in force to what is known of a target's warm-up.
void target_proxy::update_warmup(target_state& target, const std::string& service,
                                 const local_target& found) {
    target.service_ = service;
    const config::rule_set& rules = *configuration_.rules();
    const auto rule = rules.services_.find(service);
    policy::warmup_limits limits;
    limits.overage_ = settings_.warmup_overage_;
    limits.slack_ = settings_.warmup_slack_;
    if (rule != rules.services_.end()) {
        limits.rate_ = rule->second.warmup_rate_;
        limits.time_ = rule->second.warmup_time_;
    }
    policy::apply_entry(
        target.warmup_, limits,
        {found.listed_, found.started_ms_, found.sequence_, found.warmup_left_, found.evacuated_},
        loop_.clock().now());
    record_coldness(target);
}

// Called when a new host list or new rules are in force. A target without requests may become cold
// too, and caller proxies must know.
void target_proxy::update_warmups() {
    for (auto& [key, target] : targets_) {
        wire::attempt_begin begin;
        begin.target_name = target.name_;
        begin.service_name = target.service_;
        if (const auto found = find_target(make_admission_view(), begin)) {
            update_warmup(target, target.service_, *found);
        }
    }
}

// Records that a target has become cold or warm, and tells all caller proxies of its lower or
// higher capacity. The attempts that wait for a target that became cold go elsewhere.
void target_proxy::record_coldness(target_state& target) {
    const bool cold = policy::is_cold(target.warmup_, loop_.clock().now());
    if (cold == target.cold_) {
        return;
    }
    target.cold_ = cold;
    events_.record(loop_.clock().wall_ms(), cold ? "target_cold" : "target_warm",
                   {{"target", target.name_},
                    {"per_s", std::to_string(target.warmup_.limits_.rate_)},
                    {"waiting", std::to_string(target.queue_.waiting_.size())},
                    {"running", std::to_string(target.in_flight_)}});
    broadcast_report(target);
    if (cold) {
        refuse_waiting_at(target);
    }
}

void target_proxy::refuse_waiting_at(const target_state& target) {
    std::vector<target_proxy_attempt*> waiting;
    for (const auto& [id, key] : waiting_) {
        target_proxy_attempt* attempt = attempts_.at(key).get();
        if (&targets_.at(attempt->target_key()) == &target) {
            waiting.push_back(attempt);
        }
    }
    for (target_proxy_attempt* attempt : waiting) {
        placement_log_.record(placement_cause::cold, target.name_);
        remove_from_queue(*attempt);
        refuse(*attempt, wire::refusal_reason::target_busy);
    }
}

// Returns true if a limit that a caller proxy was told is the warm-up rate, which this process
// knows better: it is no limit that the target named.
bool target_proxy::is_warmup_rate(const target_state& target, double limit) {
    const double rate = target.warmup_.limits_.rate_;
    return rate > 0 && limit >= rate && limit <= rate;
}

// Returns the requests per second that caller proxies may count on, or nothing without a limit.
std::optional<double> target_proxy::reported_limit(const target_state& target) const {
    std::optional<double> limit = target.rate_.limit_;
    if (policy::is_cold(target.warmup_, loop_.clock().now())) {
        const double cold_rate = target.warmup_.limits_.rate_;
        limit = std::min(limit.value_or(cold_rate), cold_rate);
    }
    return limit;
}

// Returns the time until the limits on the target's rate allow a request that `ahead` others
// precede.
base::duration target_proxy::limit_wait(target_state& target, std::size_t ahead) const {
    const base::instant now = loop_.clock().now();
    return std::max(policy::rate_wait(target.rate_, ahead, now),
                    policy::warmup_wait(target.warmup_, ahead, now));
}

bool target_proxy::may_send_to(target_state& target) const {
    const base::instant now = loop_.clock().now();
    return policy::may_send(target.rate_, now) && policy::may_send(target.warmup_, now);
}

}  // namespace dandelionridge::node
