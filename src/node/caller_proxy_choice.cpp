// How a caller proxy chooses the target of an attempt: the candidates of a service as it knows
// them, and which of them a request may use.
#include <algorithm>
#include <utility>
#include <vector>

#include "config/regions.h"
#include "node/caller_proxy.h"
#include "node/departure_expiry.h"
#include "policy/target_health.h"
#include "policy/target_rate.h"

namespace dandelionridge::node {

namespace {

// Maximum age of the report of an idle target at which a probe request is sent to it. A target with
// an older report is assumed to have received one since.
constexpr base::duration max_idle_report_age = base::milliseconds(500);

// Maximum age of a report by which a target counts as ejected or on trial. A target proxy reports a
// change only to the caller proxies that used the target in a somewhat longer time.
constexpr base::duration max_health_report_age = base::seconds(10);

policy::distance distance_between(const config::rule_set& rules, const std::string& from,
                                  const std::string& to) {
    if (from == to) {
        return policy::distance::same_zone;
    }
    return region_of(rules, from) == region_of(rules, to) ? policy::distance::same_region
                                                          : policy::distance::other_region;
}

// Returns the duration of a run of that kind; zero if the target proxy does not know it.
base::duration run_duration_of(const wire::target_report& report, policy::run_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    return index < report.run_ms_by_kind.size() ? base::milliseconds(report.run_ms_by_kind[index])
                                                : base::duration::zero();
}

}  // namespace

base::duration caller_proxy::usual_run_duration(const std::string& service,
                                                policy::run_kind kind) const {
    const auto listed = find_service(service);
    if (!listed) {
        return base::duration::zero();
    }
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    std::vector<base::duration> durations;
    for (const config::target_index& index : listed->targets_) {
        const std::string& target = hosts.hosts_[index.host_].targets_[index.target_].name_;
        if (const target_view* view = views_.find(target)) {
            durations.push_back(run_duration_of(view->report_, kind));
        }
    }
    return policy::median_duration(std::move(durations)).value_or(base::duration::zero());
}

policy::candidate caller_proxy::make_candidate(const config::host_entry& host,
                                               const config::target_entry& target,
                                               const config::service_rule& service,
                                               policy::run_kind kind) const {
    const config::rule_set& rules = *dependencies_.configuration_.rules();
    const peer_link* link = dependencies_.links_.find(host);
    const target_view* view = views_.find(target.name_);
    policy::candidate candidate;
    candidate.suspicion_ = policy::prior_suspicion;
    candidate.untried_ = view == nullptr;
    candidate.distance_ = distance_between(rules, dependencies_.settings_.zone_, host.zone_);
    candidate.load_ = views_.load_of(target.name_, dependencies_.loop_.clock().now());
    candidate.slots_ =
        target.slots_ > 0 ? target.slots_ : config::slots_of(rules, service, target.name_);
    candidate.warming_ = target.warming_;
    if (target.warming_) {
        candidate.rate_limit_ = service.warmup_rate_;
    }
    candidate.disconnected_ =
        (link != nullptr && (link->reconnecting() || link->suspected())) ||
        policy::state_of(dependencies_.members_, host.name_) != policy::member_state::alive;
    candidate.unreachable_ = link != nullptr && link->failing();
    const policy::stop_state stop = stop_state_of(host.name_);
    candidate.stopping_ = stop != policy::stop_state::none;
    candidate.excluded_ = host.leaving_ || is_evacuated(host) ||
                          policy::is_closed_to(stop, kind != policy::run_kind::non_idempotent) ||
                          policy::is_departing(departures_, target.name_, target.started_ms_) ||
                          !config::is_target_enabled(rules, target.name_);
    if (view != nullptr) {
        candidate.reported_load_ = views_.reported_load_of(target.name_);
        candidate.run_duration_ = run_duration_of(view->report_, kind);
        candidate.untried_ = view->report_.run_ms == 0;
        candidate.report_age_ = dependencies_.loop_.clock().now() - view->reported_at_;
        constexpr double percent = 100;
        candidate.suspicion_ =
            policy::decayed_suspicion(view->report_.suspicion / percent, candidate.report_age_);
        candidate.needs_probe_ = view->report_.idle && candidate.report_age_ < max_idle_report_age;
        const bool recent = candidate.report_age_ < max_health_report_age;
        candidate.ejected_ = view->report_.ejected && recent;
        if (view->report_.__isset.rate_limit) {
            candidate.rate_limit_ = candidate.rate_limit_ > 0
                                        ? std::min(candidate.rate_limit_, view->report_.rate_limit)
                                        : view->report_.rate_limit;
        }
        if (candidate.rate_limit_ > 0) {
            candidate.slots_ = policy::usable_slots(candidate.rate_limit_, candidate.slots_,
                                                    candidate.run_duration_);
        }
        candidate.on_trial_ = view->report_.on_trial && recent;
    }
    return candidate;
}

bool caller_proxy::is_evacuated(const config::host_entry& host) const {
    return dependencies_.configuration_.hosts()->evacuated_zones_.contains(host.zone_);
}

bool caller_proxy::is_allowed(const config::region_limits& regions,
                              const config::host_entry& host) const {
    const bool restricted = regions.route_ != nullptr || regions.organisation_ != nullptr;
    return !restricted ||
           config::allows(regions,
                          config::region_of(*dependencies_.configuration_.rules(), host.zone_));
}

std::optional<caller_proxy::listed_service> caller_proxy::find_service(
    const std::string& service) const {
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    const config::rule_set& rules = *dependencies_.configuration_.rules();
    const auto targets = hosts.by_service_.find(service);
    const auto rule = rules.services_.find(service);
    if (targets == hosts.by_service_.end() || rule == rules.services_.end()) {
        return std::nullopt;
    }
    return listed_service{rule->second, targets->second};
}

std::optional<chosen_target> caller_proxy::find_eligible(
    const std::string& service, const std::string& target, policy::run_kind kind,
    const config::region_limits& regions) const {
    const auto listed = find_service(service);
    if (!listed) {
        return std::nullopt;
    }
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    for (const config::target_index& index : listed->targets_) {
        const config::host_entry& host = hosts.hosts_[index.host_];
        const config::target_entry& entry = host.targets_[index.target_];
        if (entry.name_ != target) {
            continue;
        }
        const policy::candidate candidate = make_candidate(host, entry, listed->rule_, kind);
        const bool usable = !candidate.excluded_ && is_allowed(regions, host) &&
                            !candidate.stopping_ && !candidate.unreachable_ && !candidate.ejected_;
        if (!usable) {
            return std::nullopt;
        }
        return chosen_target{&host,
                             &entry,
                             false,
                             false,
                             policy::has_free_slot(candidate),
                             candidate.run_duration_,
                             candidate.distance_};
    }
    return std::nullopt;
}

// Counts a choice without a target if targets were left out because of where they are.
void caller_proxy::record_excluded(const listed_service& service,
                                   const config::region_limits& regions) {
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    for (const config::target_index& index : service.targets_) {
        const config::host_entry& host = hosts.hosts_[index.host_];
        if (is_evacuated(host) || !is_allowed(regions, host)) {
            placement_log_.record(
                is_evacuated(host) ? placement_cause::evacuated : placement_cause::region,
                host.targets_[index.target_].name_);
            return;
        }
    }
}

std::vector<policy::candidate> caller_proxy::make_candidates(
    const listed_service& listed, policy::run_kind kind, const std::set<std::string>& excluded,
    const config::region_limits& regions) const {
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    std::vector<policy::candidate> candidates;
    candidates.reserve(listed.targets_.size());
    for (const config::target_index& index : listed.targets_) {
        const config::host_entry& host = hosts.hosts_[index.host_];
        const config::target_entry& target = host.targets_[index.target_];
        policy::candidate candidate = make_candidate(host, target, listed.rule_, kind);
        candidate.disallowed_ = !is_allowed(regions, host);
        candidate.tried_ = excluded.contains(target.name_);
        candidates.push_back(candidate);
    }
    return candidates;
}

std::optional<chosen_target> caller_proxy::choose(const std::string& service,
                                                  const policy::choice_criteria& criteria,
                                                  const std::set<std::string>& excluded,
                                                  const config::region_limits& regions) {
    const auto listed = find_service(service);
    if (!listed) {
        return std::nullopt;
    }
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    const std::vector<policy::candidate> candidates =
        make_candidates(*listed, criteria.kind_, excluded, regions);
    const config::settings& settings = dependencies_.settings_;
    const bool by_locality =
        settings.locality_ || has_several_regions(*dependencies_.configuration_.rules());
    const auto chosen =
        by_locality
            ? locality_.choose(service, candidates, criteria,
                               settings.locality_.value_or(policy::locality_limits{}), random_)
            : policy::choose_target(candidates, criteria, random_);
    choices_.record_choice(service, policy::count_availability(candidates), chosen.has_value(),
                           criteria.min_share_);
    if (!chosen) {
        record_excluded(*listed, regions);
        return std::nullopt;
    }
    const config::target_index& target_index = listed->targets_[chosen->index_];
    const config::host_entry& host = hosts.hosts_[target_index.host_];
    return chosen_target{&host,
                         &host.targets_[target_index.target_],
                         chosen->allow_ejected_,
                         chosen->trial_,
                         policy::has_free_slot(candidates[chosen->index_]),
                         candidates[chosen->index_].run_duration_,
                         candidates[chosen->index_].distance_};
}

}  // namespace dandelionridge::node
