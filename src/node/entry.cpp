#include "node/entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "filter/header_list.h"
#include "node/call.h"
#include "policy/balance.h"

namespace dandelionridge::node {

namespace {

// Headers of a request that the chain itself reads.
constexpr const char* chain_headers[] = {"authorization", "x-api-key", "cookie", "x-request-id",
                                         "idempotency-key"};

// A host that still drains after this time says so again when it refuses an attempt.
constexpr base::duration draining_belief = base::seconds(30);

std::vector<std::string> usual_headers() {
    std::vector<std::string> names = filter::request_headers();
    names.insert(names.end(), std::begin(chain_headers), std::end(chain_headers));
    return names;
}

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

}  // namespace

entry::entry(net::event_loop& loop, const config::settings& settings, const link_identity& identity,
             const control::configuration& configuration, control::quota_gate& quota,
             link_pool& links, observe::metrics& metrics)
    : loop_(loop),
      settings_(settings),
      identity_(identity),
      configuration_(configuration),
      quota_(quota),
      links_(links),
      metrics_(metrics),
      random_(base::make_random_engine()) {}

entry::~entry() = default;

base::result<std::unique_ptr<entry>> entry::create(net::event_loop& loop,
                                                   const config::settings& settings,
                                                   const link_identity& identity,
                                                   const control::configuration& configuration,
                                                   control::quota_gate& quota, link_pool& links,
                                                   observe::metrics& metrics) {
    std::unique_ptr<entry> made(
        new entry(loop, settings, identity, configuration, quota, links, metrics));
    entry* self = made.get();
    net::http_server_options options{
        settings.callers_,
        [self]() -> const std::vector<std::string>& { return self->wanted_headers(); }};
    auto server = net::http_server::create(
        loop, std::move(options), [self](net::http_exchange& exchange, net::http_request request) {
            return std::make_unique<call>(*self, exchange, std::move(request));
        });
    if (!server) {
        return tl::unexpected(server.error());
    }
    made->server_ = std::move(*server);
    return made;
}

// The usual headers and those that any service's rule adds.
const std::vector<std::string>& entry::wanted_headers() {
    const config::rules_ptr& rules = configuration_.rules();
    if (headers_for_ == rules) {
        return headers_;
    }
    std::set<std::string> added;
    for (const auto& [name, service] : rules->services_) {
        added.insert(service.headers_.begin(), service.headers_.end());
    }
    headers_ = usual_headers();
    headers_.insert(headers_.end(), added.begin(), added.end());
    headers_for_ = rules;
    return headers_;
}

void entry::drain() {
    server_->close_after_answers();
    draining_[settings_.host_] = base::instant::max();
}

void entry::stop_taking() {
    taking_ = false;
    server_->stop_listening();
}

void entry::set_draining(const std::string& host) {
    draining_[host] = loop_.clock().now() + draining_belief;
}

bool entry::is_draining(const std::string& host) const {
    const auto found = draining_.find(host);
    return found != draining_.end() && loop_.clock().now() < found->second;
}

std::optional<chosen_target> entry::choose(const std::string& service,
                                           const std::set<std::string>& tried) {
    const config::host_list& hosts = *configuration_.hosts();
    const config::rule_set& rules = *configuration_.rules();
    const auto places = hosts.by_service_.find(service);
    const auto rule = rules.services_.find(service);
    if (places == hosts.by_service_.end() || rule == rules.services_.end()) {
        return std::nullopt;
    }
    std::vector<policy::candidate> candidates;
    candidates.reserve(places->second.size());
    for (const config::target_place& place : places->second) {
        const config::host_entry& host = hosts.hosts_[place.host_];
        const std::string& target = host.targets_[place.target_].name_;
        const guard_link* link = links_.find(host);
        const auto running = in_flight_.find(target);
        policy::candidate candidate;
        candidate.distance_ = distance_between(rules, settings_.zone_, host.zone_);
        candidate.in_flight_ = running == in_flight_.end() ? 0 : running->second;
        candidate.slots_ = config::slots_of(rules, rule->second, target);
        candidate.avoided_ = link != nullptr && link->failing();
        candidate.excluded_ = host.leaving_ || is_draining(host.name_) ||
                              !config::target_in(rules, target) || tried.contains(target);
        candidates.push_back(candidate);
    }
    const auto chosen = policy::choose_target(candidates, random_);
    if (!chosen) {
        return std::nullopt;
    }
    const config::target_place& place = places->second[*chosen];
    const config::host_entry& host = hosts.hosts_[place.host_];
    return chosen_target{&host, &host.targets_[place.target_]};
}

}  // namespace dandelionridge::node
