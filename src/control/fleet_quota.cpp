#include "control/fleet_quota.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::control {

namespace {

constexpr base::duration answer_bound = base::milliseconds(150);
constexpr base::duration shortest_pause = base::milliseconds(5);
constexpr base::duration demand_memory = base::seconds(5);

policy::quota_limit limit_of(const config::rule_set& rules, const std::string& organisation) {
    const auto rule = rules.organisations_.find(organisation);
    if (rule == rules.organisations_.end()) {
        return {};
    }
    return {rule->second.rate_, rule->second.burst_};
}

}  // namespace

fleet_quota::fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                         peer_sender& peers, std::string host)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
      host_(std::move(host)),
      started_at_(clock.now()) {}

void fleet_quota::admit(const std::string& organisation, base::duration max_wait,
                        quota_listener& listener) {
    const policy::quota_limit limit = limit_of(*configuration_.rules(), organisation);
    if (limit.rate_ <= 0) {
        listener.on_admitted();
        return;
    }
    const base::instant now = clock_.now();
    demand& wanted = demands_[organisation];
    policy::record_demand(wanted.tokens_, now);
    if (wanted.waiting_.empty() && policy::use_token(wanted.tokens_, now)) {
        listener.on_admitted();
        request_tokens(organisation, demands_[organisation]);
        return;
    }
    if (wanted.pending_request_id_ == 0 && now + max_wait < wanted.retry_at_) {
        // The owner said that there is nothing to be had in time.
        listener.on_over_rate(wanted.retry_at_ - now);
        return;
    }
    wanted.waiting_.push_back({&listener, now + max_wait});
    request_tokens(organisation, wanted);
}

void fleet_quota::cancel(quota_listener& listener) {
    for (auto& [organisation, wanted] : demands_) {
        std::erase_if(wanted.waiting_,
                      [&](const waiter& one) { return one.listener_ == &listener; });
    }
}

void fleet_quota::on_hosts_changed() {
    hosts_.clear();
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        if (!host.leaving_) {
            hosts_.push_back(host.name_);
        }
    }
    ranked_owners_.clear();
}

const std::vector<std::string>& fleet_quota::ranked_owners(const std::string& organisation) {
    const auto known = ranked_owners_.find(organisation);
    if (known != ranked_owners_.end()) {
        return known->second;
    }
    return ranked_owners_.emplace(organisation, policy::rank_owners(organisation, hosts_))
        .first->second;
}

policy::host_reachability fleet_quota::standing_for(const std::string& organisation) const {
    policy::host_reachability standing;
    standing.hosts_ = std::max<std::size_t>(1, hosts_.size());
    for (const std::string& host : hosts_) {
        standing.reachable_hosts_ += host != host_ && peers_.reachable(host) ? 1 : 0;
    }
    standing.reachable_hosts_ = std::min(standing.reachable_hosts_, standing.hosts_);
    const auto ranks = ranked_owners_.find(organisation);
    if (ranks == ranked_owners_.end()) {
        return standing;
    }
    for (const std::string& host : ranks->second) {
        if (host == host_) {
            return standing;
        }
        standing.higher_rank_reachable_ = standing.higher_rank_reachable_ || peers_.reachable(host);
    }
    return standing;
}

// Asks for what is missing unless a question is out or a pause is on.
void fleet_quota::request_tokens(const std::string& organisation, demand& wanted) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(wanted.waiting_.size());
    const bool needed = policy::tokens_to_request(wanted.tokens_, waiting, now) > 0;
    if (needed && wanted.pending_request_id_ == 0 && now >= wanted.retry_at_) {
        wanted.owner_rank_ = 0;
        request_tokens_from_rank(organisation, wanted);
    }
}

// Asks the first owner from the present rank on that can be reached.
void fleet_quota::request_tokens_from_rank(const std::string& organisation, demand& wanted) {
    const base::instant now = clock_.now();
    const std::vector<std::string>& owners = ranked_owners(organisation);
    requests_.erase(wanted.pending_request_id_);
    wanted.pending_request_id_ = 0;
    while (wanted.owner_rank_ < owners.size() && owners[wanted.owner_rank_] != host_ &&
           !peers_.reachable(owners[wanted.owner_rank_])) {
        ++wanted.owner_rank_;
    }
    if (wanted.owner_rank_ >= owners.size()) {
        grant_from_own_share(organisation, wanted);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(wanted.waiting_.size());
    wire::frame frame;
    frame.__isset.lease_request_ = true;
    frame.lease_request_.request = next_request_++;
    frame.lease_request_.organisation = organisation;
    frame.lease_request_.tokens =
        static_cast<std::int32_t>(policy::tokens_to_request(wanted.tokens_, waiting, now));
    wanted.pending_request_id_ = frame.lease_request_.request;
    wanted.requested_at_ = now;
    requests_[wanted.pending_request_id_] = organisation;
    const std::string owner = owners[wanted.owner_rank_];
    if (owner == host_) {
        on_grant(on_request(frame.lease_request_));
        return;
    }
    peers_.send(owner, frame);
}

// No owner grants: the host takes what is its own part of the rate.
void fleet_quota::grant_from_own_share(const std::string& organisation, demand& wanted) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(wanted.waiting_.size());
    const policy::quota_limit limit = limit_of(*configuration_.rules(), organisation);
    wanted.requested_at_ = now;
    on_tokens_granted(organisation, wanted,
                      policy::grant_own_share(
                          own_share_[organisation], limit, std::max<std::size_t>(1, hosts_.size()),
                          policy::tokens_to_request(wanted.tokens_, waiting, now), now));
}

void fleet_quota::on_stall() {
    for (auto& [organisation, owner] : owned_) {
        policy::stop_acting(owner);
    }
}

wire::lease_grant fleet_quota::on_request(const wire::lease_request& request) {
    wire::lease_grant answer;
    answer.request = request.request;
    answer.organisation = request.organisation;
    const policy::quota_limit limit = limit_of(*configuration_.rules(), request.organisation);
    if (limit.rate_ <= 0) {
        return answer;
    }
    ranked_owners(request.organisation);
    const auto known = owned_.find(request.organisation);
    policy::quota_owner& owner =
        known != owned_.end()
            ? known->second
            : owned_.emplace(request.organisation, policy::make_owner(limit, started_at_))
                  .first->second;
    const policy::quota_grant granted = policy::grant_tokens(
        owner, limit, standing_for(request.organisation), request.tokens, clock_.now());
    answer.tokens = static_cast<std::int32_t>(granted.tokens_);
    answer.granting = granted.acting_;
    answer.retry_after_ms = static_cast<std::int32_t>(base::whole_ms(granted.retry_after_));
    return answer;
}

void fleet_quota::on_grant(const wire::lease_grant& answer) {
    const auto request = requests_.find(answer.request);
    if (request == requests_.end()) {
        return;
    }
    const std::string organisation = request->second;
    requests_.erase(request);
    demand& wanted = demands_[organisation];
    wanted.pending_request_id_ = 0;
    if (!answer.granting) {
        ++wanted.owner_rank_;
        request_tokens_from_rank(organisation, wanted);
        return;
    }
    on_tokens_granted(organisation, wanted,
                      {answer.tokens, base::milliseconds(answer.retry_after_ms), true});
}

void fleet_quota::on_tokens_granted(const std::string& organisation, demand& wanted,
                                    const policy::quota_grant& grant) {
    const base::instant now = clock_.now();
    policy::add_tokens(wanted.tokens_, grant.tokens_, wanted.requested_at_);
    admit_waiting(wanted, now);
    if (wanted.waiting_.empty()) {
        return;
    }
    wanted.retry_at_ = now + std::max(grant.retry_after_, shortest_pause);
    refuse_infeasible(demands_[organisation]);
}

void fleet_quota::admit_waiting(demand& wanted, base::instant now) {
    while (!wanted.waiting_.empty() && policy::use_token(wanted.tokens_, now)) {
        quota_listener* admitted = wanted.waiting_.front().listener_;
        wanted.waiting_.pop_front();
        admitted->on_admitted();
    }
}

// Refuses those whose patience ends before another question can help.
void fleet_quota::refuse_infeasible(demand& wanted) {
    const base::instant now = clock_.now();
    const base::instant next = std::max(now, wanted.retry_at_);
    std::vector<quota_listener*> refused;
    std::erase_if(wanted.waiting_, [&](const waiter& one) {
        const bool hopeless = one.wait_deadline_ <= next;
        if (hopeless) {
            refused.push_back(one.listener_);
        }
        return hopeless;
    });
    for (quota_listener* listener : refused) {
        listener->on_over_rate(std::max(shortest_pause, next - now));
    }
}

void fleet_quota::tick() {
    const base::instant now = clock_.now();
    std::vector<std::string> organisations;
    for (auto& [organisation, wanted] : demands_) {
        if (!wanted.waiting_.empty() || wanted.pending_request_id_ != 0) {
            organisations.push_back(organisation);
        }
    }
    for (const std::string& organisation : organisations) {
        demand& wanted = demands_[organisation];
        if (wanted.pending_request_id_ != 0 && now - wanted.requested_at_ > answer_bound) {
            ++wanted.owner_rank_;
            request_tokens_from_rank(organisation, wanted);
        }
        request_tokens(organisation, wanted);
        if (!wanted.waiting_.empty() && wanted.waiting_.front().wait_deadline_ <= now) {
            refuse_infeasible(wanted);
        }
    }
    std::erase_if(demands_, [&](const auto& entry) {
        const demand& wanted = entry.second;
        return wanted.waiting_.empty() && wanted.pending_request_id_ == 0 &&
               now - wanted.tokens_.demand_at_ > demand_memory;
    });
}

}  // namespace dandelionridge::control
