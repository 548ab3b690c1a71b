#include "node/entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "node/call.h"
#include "policy/target_health.h"

namespace dandelionridge::node {

namespace {

// A host that still drains after this time says so again when it refuses an attempt.
constexpr base::duration draining_belief = base::seconds(10);

// A target that asked for work has got some after this time.
constexpr base::duration idle_memory = base::milliseconds(500);

// Part of the fleet's retry budget that the entries use: each counts for itself, and the load is
// not the same everywhere.
constexpr double budget_part = 0.75;

std::string region_of(const config::rule_set& rules, const std::string& zone) {
    for (const config::zone_rule& rule : rules.zones_) {
        if (rule.name_ == zone) {
            return rule.region_;
        }
    }
    return zone;
}

policy::distance distance_between(const config::rule_set& rules, const std::string& from,
                                  const std::string& to) {
    if (from == to) {
        return policy::distance::same_zone;
    }
    return region_of(rules, from) == region_of(rules, to) ? policy::distance::same_region
                                                          : policy::distance::other_region;
}

// Time of a run of that kind; zero if the guard does not know.
base::duration run_of(const wire::target_report& report, policy::run_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    return index < report.run_ms_by_kind.size() ? base::milliseconds(report.run_ms_by_kind[index])
                                                : base::duration::zero();
}

}  // namespace

entry::entry(entry_parts parts) : parts_(std::move(parts)), random_(base::make_random_engine()) {}

// Calls that end with their connections still use what the entry keeps.
entry::~entry() {
    server_.reset();
}

base::result<std::unique_ptr<entry>> entry::create(entry_parts parts) {
    std::unique_ptr<entry> made(new entry(std::move(parts)));
    entry* self = made.get();
    net::http_server_options options;
    options.address_ = self->parts_.settings_.callers_;
    options.limits_ = [self] { return self->limits(); };
    auto server = net::http_server::create(
        self->parts_.loop_, std::move(options),
        [self](net::http_exchange& exchange, net::http_request request) {
            return std::make_unique<call>(*self, exchange, std::move(request));
        });
    if (!server) {
        return tl::unexpected(server.error());
    }
    made->server_ = std::move(*server);
    return made;
}

net::caller_limits entry::limits() const {
    const config::caller_limit_rule& rule = parts_.configuration_.rules()->limits_;
    return {rule.head_bytes_, rule.body_bytes_, rule.head_timeout_, rule.idle_timeout_};
}

void entry::drain() {
    server_->close_after_answers();
    draining_[parts_.settings_.host_] = base::instant::max();
}

void entry::refuse_new(bool calls_too) {
    refuses_new_ = true;
    refuses_calls_ = calls_too;
}

void entry::answer_all() {
    for (call* open : std::set<call*>(calls_)) {
        open->end_now();
    }
}

void entry::stop_listening() {
    listening_ = false;
    server_->stop_listening();
}

void entry::set_draining(const std::string& host, bool draining) {
    if (draining) {
        draining_[host] = parts_.loop_.clock().now() + draining_belief;
    } else if (host != parts_.settings_.host_) {
        draining_.erase(host);
    }
}

bool entry::is_draining(const std::string& host) const {
    const auto found = draining_.find(host);
    return found != draining_.end() && parts_.loop_.clock().now() < found->second;
}

void entry::note_report(const wire::target_report& report) {
    views_.note(report, parts_.loop_.clock().now());
}

void entry::forget_old_targets() {
    views_.forget_old(parts_.loop_.clock().now());
}

// The budget is the fleet's: each entry uses the part of the slack that falls to it.
policy::retry_limits entry::retry_limits() const {
    const config::settings& settings = parts_.settings_;
    const double hosts =
        std::max<double>(1, static_cast<double>(parts_.configuration_.hosts()->hosts_.size()));
    return {settings.retry_ratio_ * budget_part, settings.retry_slack_ * budget_part / hosts,
            settings.retry_window_};
}

bool entry::may_retry(const std::string& service, bool nested) {
    return policy::has_room(retries_[service], retry_limits(), policy::usable_part(nested),
                            parts_.loop_.clock().now());
}

policy::candidate entry::describe(const config::host_entry& host,
                                  const config::target_entry& target,
                                  const config::service_rule& service,
                                  policy::run_kind kind) const {
    const config::rule_set& rules = *parts_.configuration_.rules();
    const guard_link* link = parts_.links_.find(host);
    const target_view* view = views_.find(target.name_);
    policy::candidate candidate;
    candidate.suspicion_ = policy::usual_suspicion;
    candidate.untried_ = view == nullptr;
    candidate.distance_ = distance_between(rules, parts_.settings_.zone_, host.zone_);
    candidate.load_ = views_.load_of(target.name_, parts_.loop_.clock().now());
    candidate.slots_ =
        target.slots_ > 0 ? target.slots_ : config::slots_of(rules, service, target.name_);
    candidate.warming_ = target.warming_;
    candidate.avoided_ = link != nullptr && link->unsure();
    candidate.unreachable_ = link != nullptr && link->failing();
    candidate.excluded_ =
        host.leaving_ || is_draining(host.name_) || !config::target_in(rules, target.name_);
    if (view != nullptr) {
        candidate.run_ = run_of(view->report_, kind);
        candidate.untried_ = view->report_.run_ms == 0;
        candidate.run_age_ = parts_.loop_.clock().now() - view->reported_at_;
        constexpr double percent = 100;
        candidate.suspicion_ =
            policy::faded_suspicion(view->report_.suspicion / percent, candidate.run_age_);
        candidate.idle_ = view->report_.idle && candidate.run_age_ < idle_memory;
        candidate.ejected_ = view->report_.ejected;
        candidate.on_trial_ = view->report_.on_trial;
    }
    return candidate;
}

std::optional<chosen_target> entry::choose(const std::string& service,
                                           const policy::choice_wish& wish,
                                           const std::set<std::string>& tried) {
    const config::host_list& hosts = *parts_.configuration_.hosts();
    const config::rule_set& rules = *parts_.configuration_.rules();
    const auto places = hosts.by_service_.find(service);
    const auto rule = rules.services_.find(service);
    if (places == hosts.by_service_.end() || rule == rules.services_.end()) {
        return std::nullopt;
    }
    std::vector<policy::candidate> candidates;
    candidates.reserve(places->second.size());
    for (const config::target_place& place : places->second) {
        const config::host_entry& host = hosts.hosts_[place.host_];
        const config::target_entry& target = host.targets_[place.target_];
        policy::candidate candidate = describe(host, target, rule->second, wish.kind_);
        candidate.excluded_ = candidate.excluded_ || tried.contains(target.name_);
        candidates.push_back(candidate);
    }
    const auto chosen = policy::choose_target(candidates, wish, random_);
    if (!chosen) {
        return std::nullopt;
    }
    const config::target_place& place = places->second[chosen->index_];
    const config::host_entry& host = hosts.hosts_[place.host_];
    return chosen_target{&host, &host.targets_[place.target_], chosen->allow_ejected_,
                         candidates[chosen->index_].run_};
}

}  // namespace dandelionridge::node
