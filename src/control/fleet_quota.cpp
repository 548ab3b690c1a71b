#include "control/fleet_quota.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace dandelionridge::control {

namespace {

constexpr base::duration answer_bound = base::milliseconds(300);
constexpr base::duration shortest_pause = base::milliseconds(5);
constexpr base::duration longest_wait = base::seconds(1);

std::vector<std::string> zone_names(const config::rule_set& rules) {
    std::vector<std::string> names;
    names.reserve(rules.zones_.size());
    for (const config::zone_rule& zone : rules.zones_) {
        names.push_back(zone.name_);
    }
    return names;
}

}  // namespace

fleet_quota::fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                         const policy::zone_view& view, peer_sender& peers,
                         fleet_quota_options options)
    : clock_(clock),
      configuration_(configuration),
      view_(view),
      peers_(peers),
      options_(std::move(options)) {}

void fleet_quota::admit(const std::string& organisation, base::duration patience,
                        quota_listener& listener) {
    if (!configuration_.rules()->organisations_.contains(organisation)) {
        listener.on_over_rate(base::duration::zero());
        return;
    }
    const base::instant now = clock_.now();
    demand& wanted = demands_[organisation];
    policy::note_demand(wanted.tokens_, now);
    if (wanted.waiting_.empty() && policy::use_token(wanted.tokens_, now)) {
        ask(organisation, wanted);
        listener.on_admitted();
        return;
    }
    wanted.waiting_.push_back({&listener, now + patience});
    ask(organisation, wanted);
}

void fleet_quota::withdraw(quota_listener& listener) {
    for (auto& [organisation, wanted] : demands_) {
        std::erase_if(wanted.waiting_,
                      [&](const waiter& one) { return one.listener_ == &listener; });
    }
}

// The owners to ask: that of the own zone first, then those of the others.
std::vector<std::string> fleet_quota::owners(const std::string& organisation) const {
    std::vector<std::string> zones = zone_names(*configuration_.rules());
    const auto own_zone = std::find(zones.begin(), zones.end(), options_.zone_);
    if (own_zone != zones.end()) {
        std::rotate(zones.begin(), own_zone, own_zone + 1);
    }
    std::vector<std::string> found;
    for (const std::string& zone : zones) {
        const auto hosts = hosts_by_zone_.find(zone);
        if (hosts == hosts_by_zone_.end()) {
            continue;
        }
        std::string owner = policy::owner_of_share(organisation, hosts->second);
        if (!owner.empty()) {
            found.push_back(std::move(owner));
        }
    }
    return found;
}

// Asks for what is missing unless a question is out or a pause is on.
void fleet_quota::ask(const std::string& organisation, demand& wanted) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(wanted.waiting_.size());
    const bool needed = policy::tokens_to_ask(wanted.tokens_, waiting, now) > 0;
    if (needed && wanted.request_ == 0 && now >= wanted.ask_again_at_) {
        begin_round(organisation, wanted);
    }
}

void fleet_quota::begin_round(const std::string& organisation, demand& wanted) {
    wanted.owner_ = 0;
    wanted.shortest_wait_ = longest_wait;
    wanted.some_owner_ = false;
    ask_next(organisation, wanted);
}

void fleet_quota::ask_next(const std::string& organisation, demand& wanted) {
    const base::instant now = clock_.now();
    const std::vector<std::string> all = owners(organisation);
    requests_.erase(wanted.request_);
    wanted.request_ = 0;
    if (wanted.owner_ >= all.size()) {
        wanted.ask_again_at_ = now + std::max(shortest_pause, wanted.shortest_wait_);
        refuse_hopeless(wanted);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(wanted.waiting_.size());
    wire::frame frame;
    frame.__isset.lease_request_ = true;
    frame.lease_request_.request = next_request_++;
    frame.lease_request_.organisation = organisation;
    frame.lease_request_.tokens =
        static_cast<std::int32_t>(policy::tokens_to_ask(wanted.tokens_, waiting, now));
    const std::string& owner = all[wanted.owner_];
    frame.lease_request_.finished = policy::take_finished(wanted.tokens_, owner);
    wanted.request_ = frame.lease_request_.request;
    wanted.asked_at_ = now;
    requests_[wanted.request_] = organisation;
    if (owner == options_.host_) {
        on_grant(owner, on_request(frame.lease_request_));
        return;
    }
    peers_.send(owner, frame);
}

void fleet_quota::on_grant(const std::string& peer, const wire::lease_grant& grant) {
    const auto request = requests_.find(grant.request);
    if (request == requests_.end()) {
        return;
    }
    const std::string organisation = request->second;
    requests_.erase(request);
    demand& wanted = demands_[organisation];
    wanted.request_ = 0;
    wanted.some_owner_ = wanted.some_owner_ || grant.granting;
    if (grant.tokens <= 0) {
        wanted.shortest_wait_ = std::min<base::duration>(wanted.shortest_wait_,
                                                         base::milliseconds(grant.retry_after_ms));
        ++wanted.owner_;
        ask_next(organisation, wanted);
        return;
    }
    const base::instant ends_at = wanted.asked_at_ + base::milliseconds(grant.valid_ms);
    policy::add_lease(wanted.tokens_, peer, grant.lease, grant.tokens, ends_at, clock_.now());
    serve(wanted);
    ask(organisation, wanted);
}

void fleet_quota::serve(demand& wanted) {
    const base::instant now = clock_.now();
    while (!wanted.waiting_.empty() && policy::use_token(wanted.tokens_, now)) {
        quota_listener* admitted = wanted.waiting_.front().listener_;
        wanted.waiting_.pop_front();
        admitted->on_admitted();
    }
}

// Refuses those whose patience ends before another question can help.
void fleet_quota::refuse_hopeless(demand& wanted) {
    const base::instant now = clock_.now();
    std::vector<quota_listener*> refused;
    std::erase_if(wanted.waiting_, [&](const waiter& one) {
        const bool hopeless = one.give_up_at_ <= std::max(now, wanted.ask_again_at_);
        if (hopeless) {
            refused.push_back(one.listener_);
        }
        return hopeless;
    });
    const bool some_owner = wanted.some_owner_;
    const base::duration wait = std::max(shortest_pause, wanted.ask_again_at_ - now);
    for (quota_listener* listener : refused) {
        if (some_owner) {
            listener->on_over_rate(wait);
        } else {
            listener->on_no_owner();
        }
    }
}

void fleet_quota::give_back(const std::string& organisation, demand& wanted) {
    for (const policy::held_lease& idle : policy::take_idle(wanted.tokens_, clock_.now())) {
        wire::frame frame;
        frame.__isset.lease_return_ = true;
        frame.lease_return_.organisation = organisation;
        frame.lease_return_.lease = idle.id_;
        frame.lease_return_.tokens = static_cast<std::int32_t>(idle.tokens_);
        if (idle.owner_ == options_.host_) {
            on_return(frame.lease_return_);
        } else {
            peers_.send(idle.owner_, frame);
        }
    }
}

void fleet_quota::tick() {
    update_tenure();
    const base::instant now = clock_.now();
    for (auto& [organisation, wanted] : demands_) {
        if (wanted.request_ != 0 && now - wanted.asked_at_ > answer_bound) {
            ++wanted.owner_;
            ask_next(organisation, wanted);
        }
        ask(organisation, wanted);
        if (!wanted.waiting_.empty() && wanted.waiting_.front().give_up_at_ <= now) {
            refuse_hopeless(wanted);
        }
        give_back(organisation, wanted);
    }
    std::erase_if(demands_, [&](const auto& entry) {
        const demand& wanted = entry.second;
        return wanted.waiting_.empty() && wanted.request_ == 0 && wanted.tokens_.leases_.empty() &&
               now - wanted.tokens_.demand_at_ > longest_wait;
    });
}

void fleet_quota::update_tenure() {
    const base::instant now = clock_.now();
    policy::update_tenure(tenure_, options_.times_, policy::majority_agreed(view_, now), now);
}

bool fleet_quota::holds_tenure() const {
    const base::instant now = clock_.now();
    return tenure_.since_ && now - tenure_.agreed_at_ <= options_.times_.view_bound_ &&
           now - *tenure_.since_ >= policy::takeover_wait(options_.times_);
}

void fleet_quota::on_hosts_changed() {
    const base::instant now = clock_.now();
    hosts_by_zone_.clear();
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        hosts_by_zone_[host.zone_].push_back(host.name_);
    }
    epochs_.push_back({now, hosts_by_zone_[options_.zone_]});
    // Epochs that ended before the takeover wait have no bearing any more.
    const base::duration wait = policy::takeover_wait(options_.times_);
    while (epochs_.size() > 1 && now - epochs_[1].since_ > wait) {
        epochs_.erase(epochs_.begin());
    }
    std::erase_if(owned_, [&](const auto& entry) {
        return policy::owner_of_share(entry.first, epochs_.back().hosts_) != options_.host_;
    });
}

// The record of a share that this host owns, with the share that the rules give it now.
policy::quota_owner* fleet_quota::own(const std::string& organisation) {
    const auto rule = configuration_.rules()->organisations_.find(organisation);
    const auto since = policy::owned_since(organisation, options_.host_, epochs_);
    if (rule == configuration_.rules()->organisations_.end() || !since) {
        return nullptr;
    }
    const policy::quota_share share =
        policy::share_of_zone(organisation, rule->second.rate_, rule->second.burst_,
                              zone_names(*configuration_.rules()), options_.zone_);
    const auto [found, fresh] =
        owned_.try_emplace(organisation, policy::make_owner(options_.times_, {}, share, *since));
    if (!fresh) {
        policy::change_share(found->second, share, clock_.now());
    }
    return &found->second;
}

wire::lease_grant fleet_quota::on_request(const wire::lease_request& request) {
    update_tenure();
    wire::lease_grant grant;
    grant.request = request.request;
    grant.organisation = request.organisation;
    grant.retry_after_ms = static_cast<std::int32_t>(base::whole_ms(longest_wait));
    policy::quota_owner* owner = own(request.organisation);
    if (owner == nullptr) {
        return grant;
    }
    for (const std::int64_t finished : request.finished) {
        policy::return_lease(*owner, finished, 0, clock_.now());
    }
    const policy::lease_offer offer =
        policy::grant_lease(*owner, tenure_, {}, request.tokens, clock_.now());
    grant.granting = policy::may_grant(*owner, tenure_, {}, clock_.now());
    grant.lease = offer.id_;
    grant.tokens = static_cast<std::int32_t>(offer.tokens_);
    grant.valid_ms = static_cast<std::int32_t>(base::whole_ms(options_.times_.lease_));
    grant.retry_after_ms =
        static_cast<std::int32_t>(base::whole_ms(offer.retry_after_ + base::milliseconds(1)));
    return grant;
}

void fleet_quota::on_return(const wire::lease_return& returned) {
    const auto found = owned_.find(returned.organisation);
    if (found != owned_.end()) {
        policy::return_lease(found->second, returned.lease, returned.tokens, clock_.now());
    }
}

}  // namespace dandelionridge::control
