// The owner's side of the quota: which organisations this host grants tokens of, and how it passes
// requests on to owners that rank before it.
#include <algorithm>
#include <utility>

#include "control/fleet_quota.h"

namespace dandelionridge::control {

namespace {

// A host that stood still for this time may have been replaced as owner.
constexpr base::duration stall_threshold = direct_reply_timeout + policy::quota_handover_delay;

// A silent owner that a requester reported is checked for this time.
constexpr base::duration takeover_check_expiry = 2 * relay_reply_timeout;

}  // namespace

policy::host_reachability fleet_quota::reachability_for(const std::string& organisation) const {
    policy::host_reachability reachability;
    reachability.hosts_ = std::max<std::size_t>(1, hosts_.size());
    for (const std::string& host : hosts_) {
        reachability.reachable_hosts_ += host != host_ && quota_peers_.responds(host) ? 1 : 0;
    }
    reachability.reachable_hosts_ = std::min(reachability.reachable_hosts_, reachability.hosts_);
    const auto ranks = ranked_owners_.find(organisation);
    if (ranks == ranked_owners_.end()) {
        return reachability;
    }
    for (const std::string& host : ranks->second) {
        if (host == host_) {
            return reachability;
        }
        reachability.higher_rank_reachable_ =
            reachability.higher_rank_reachable_ || quota_peers_.responds(host);
        reachability.higher_rank_silent_ =
            reachability.higher_rank_silent_ || quota_peers_.is_silent(host);
    }
    return reachability;
}

// Notices from the time since the last tick that the process stood still.
void fleet_quota::notice_stall() {
    const base::instant now = clock_.now();
    if (now - last_tick_at_ >= stall_threshold) {
        last_tick_at_ = now;
        on_stall();
    }
}

void fleet_quota::on_stall() {
    quota_peers_.forget_questions();
    for (auto& [organisation, owner] : owned_) {
        report_owner_change(organisation, owner.acting_, false, true);
        policy::stop_acting(owner);
    }
}

std::optional<wire::lease_grant> fleet_quota::on_request(const wire::lease_request& request,
                                                         const std::string& requester) {
    notice_stall();
    quota_peers_.record_response(requester, clock_.now());
    const wire::lease_grant reply = grant(request, requester);
    if (!reply.granting && request.owner_silent) {
        silent_to_requester_[request.organisation] = clock_.now();
        check_higher_ranks(request.organisation, requester);
    }
    if (!reply.granting && relay(request, requester)) {
        return std::nullopt;
    }
    return reply;
}

// Finds side by side which of the owners that rank before this host reply: it can act only once
// none of them does.
void fleet_quota::check_higher_ranks(const std::string& organisation,
                                     const std::string& requester) {
    for (const std::string& owner : ranked_owners(organisation)) {
        if (owner == host_) {
            return;
        }
        if (owner != requester && quota_peers_.responds(owner)) {
            quota_peers_.probe(owner, organisation);
        }
    }
}

// Passes a request on to the first owner that ranks before this host and that it reaches: the
// requester may not reach that one. Returns whether there is one.
bool fleet_quota::relay(const wire::lease_request& request, const std::string& requester) {
    if (request.relayed) {
        return false;
    }
    for (const std::string& owner : ranked_owners(request.organisation)) {
        if (owner == host_) {
            return false;
        }
        if (owner == requester || !quota_peers_.responds(owner)) {
            continue;
        }
        wire::lease_request passed_on = request;
        passed_on.request = quota_peers_.next_request_id();
        passed_on.__set_relayed(true);
        relayed_requests_[passed_on.request] = {requester, owner, request, clock_.now()};
        quota_peers_.ask(owner, passed_on, direct_reply_timeout);
        check_higher_ranks(request.organisation, requester);
        return true;
    }
    return false;
}

// Begins to act, without waiting for a request for tokens, where no owner that ranks before this
// host replies to it or to a requester.
void fleet_quota::begin_takeovers() {
    const base::instant now = clock_.now();
    std::erase_if(silent_to_requester_, [&](const auto& entry) {
        if (now - entry.second > takeover_check_expiry) {
            return true;
        }
        wire::lease_request request;
        request.organisation = entry.first;
        const wire::lease_grant reply = grant(request, host_);
        return reply.granting || reply.taking_over;
    });
}

// Sends a grant to the host for which this one asked. Returns whether there is such a host.
bool fleet_quota::relay_grant(const wire::lease_grant& grant) {
    const auto found = relayed_requests_.find(grant.request);
    if (found == relayed_requests_.end()) {
        return false;
    }
    wire::frame frame;
    frame.__set_lease_grant_(grant);
    frame.lease_grant_.request = found->second.request_.request;
    peers_.send(found->second.requester_, frame);
    relayed_requests_.erase(found);
    return true;
}

// Returns this host's state as an owner of the organisation's tokens. Only the first in rank acts
// before it is asked; another host takes over.
policy::quota_owner& fleet_quota::find_or_add_owner(const std::string& organisation,
                                                    const policy::quota_limit& limit) {
    const auto found = owned_.find(organisation);
    if (found != owned_.end()) {
        return found->second;
    }
    const std::vector<std::string>& owners = ranked_owners(organisation);
    const bool first = !owners.empty() && owners.front() == host_;
    return owned_
        .emplace(organisation,
                 first ? policy::make_owner(limit, hosts_changed_at_) : policy::quota_owner{})
        .first->second;
}

wire::lease_grant fleet_quota::grant(const wire::lease_request& request,
                                     const std::string& requester) {
    wire::lease_grant reply;
    reply.request = request.request;
    reply.organisation = request.organisation;
    const policy::quota_limit limit = limit_of(request.organisation);
    if (limit.rate_ <= 0) {
        return reply;
    }
    policy::quota_owner& owner = find_or_add_owner(request.organisation, limit);
    const bool was_acting = owner.acting_;
    const policy::quota_grant granted =
        policy::grant_tokens(owner, limit, reachability_for(request.organisation), request.tokens,
                             clock_.now(), requester);
    report_owner_change(request.organisation, was_acting, owner.acting_, false);
    counters_.granted_tokens_ += static_cast<std::uint64_t>(granted.tokens_);
    counters_.missing_tokens_.at(static_cast<std::size_t>(granted.cause_)) +=
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, request.tokens - granted.tokens_));
    reply.tokens = static_cast<std::int32_t>(granted.tokens_);
    reply.granting = granted.granting_;
    reply.retry_after_ms = static_cast<std::int32_t>(base::whole_ms(granted.retry_after_));
    if (granted.cause_ == policy::grant_cause::handover) {
        reply.__set_taking_over(true);
    }
    return reply;
}

// Returns the owners whose place this host has taken: once one of them replies, it must stop.
std::set<std::string> fleet_quota::replaced_owners() {
    std::set<std::string> replaced;
    for (const auto& [organisation, owner] : owned_) {
        if (!owner.acting_) {
            continue;
        }
        const std::vector<std::string>& ranks = ranked_owners(organisation);
        replaced.insert(ranks.begin(), std::find(ranks.begin(), ranks.end(), host_));
    }
    return replaced;
}

// Replies to the requests that were passed on to a host that does not respond.
void fleet_quota::answer_overdue_relays() {
    std::vector<relayed_request> overdue;
    std::erase_if(relayed_requests_, [&](const auto& entry) {
        const bool late = clock_.now() - entry.second.relayed_at_ > direct_reply_timeout ||
                          !quota_peers_.responds(entry.second.owner_);
        if (late) {
            overdue.push_back(entry.second);
        }
        return late;
    });
    for (const relayed_request& relayed : overdue) {
        wire::frame frame;
        frame.__set_lease_grant_(grant(relayed.request_, relayed.requester_));
        peers_.send(relayed.requester_, frame);
    }
}

void fleet_quota::report_owner_change(const std::string& organisation, bool was_acting, bool acting,
                                      bool stalled) {
    if (observer_ == nullptr || was_acting == acting) {
        return;
    }
    observer_->on_owner_change({organisation, acting, stalled, reachability_for(organisation)});
}

}  // namespace dandelionridge::control
