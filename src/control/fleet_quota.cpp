#include "control/fleet_quota.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::control {

namespace {

// The other owners are checked if the asked one has not replied for this time. Without effect on
// who acts as owner, so that a reply may well come later.
constexpr base::duration slow_reply = base::milliseconds(40);
// Number of owners in a row that may reply that they do not grant before a host uses its own share.
constexpr std::size_t max_declined = 3;
constexpr base::duration min_retry_delay = base::milliseconds(5);
// While no owner grants tokens, the owners are asked again after this time.
constexpr base::duration owner_retry_delay = base::milliseconds(50);
// Delay after which a caller may retry if no owner granted tokens: another host has usually begun
// to act by then.
constexpr base::duration takeover_delay = base::milliseconds(500);
// Requests wait for an owner if some owner granted tokens within this time; otherwise the host is
// taken to be cut off, and only its own share counts.
constexpr base::duration takeover_bound = base::seconds(1);
// The state of an organisation without requests is dropped after this time.
constexpr base::duration idle_state_expiry = base::seconds(5);

}  // namespace

std::string_view to_text(quota_refusal_cause cause) {
    switch (cause) {
        case quota_refusal_cause::owner_limit:
            return "owner_limit";
        case quota_refusal_cause::own_share:
            return "own_share";
        case quota_refusal_cause::handover:
            return "handover";
        case quota_refusal_cause::no_reply:
            return "no_reply";
        case quota_refusal_cause::others_ahead:
            return "others_ahead";
    }
    return "";
}

fleet_quota::fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                         peer_sender& peers, std::string host, policy::quota_tolerance tolerance)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
      quota_peers_(clock, peers),
      host_(std::move(host)),
      tolerance_(tolerance),
      started_at_(clock.now()),
      hosts_changed_at_(started_at_),
      last_tick_at_(started_at_) {}

policy::quota_limit fleet_quota::limit_of(const std::string& organisation) const {
    const config::rule_set& rules = *configuration_.rules();
    const auto rule = rules.organisations_.find(organisation);
    if (rule == rules.organisations_.end()) {
        return {};
    }
    return {rule->second.rate_, rule->second.burst_, tolerance_};
}

// Returns true if no tokens may be requested for a request of that priority yet.
bool fleet_quota::must_wait_for_retry(const organisation_state& state, int priority) const {
    return clock_.now() < state.retry_at_ && priority >= state.retry_priority_;
}

void fleet_quota::admit(const std::string& organisation, int priority, base::duration max_wait,
                        quota_listener& listener) {
    const policy::quota_limit limit = limit_of(organisation);
    if (limit.rate_ <= 0) {
        listener.on_admitted();
        return;
    }
    notice_stall();
    const base::instant now = clock_.now();
    organisation_state& state = states_[organisation];
    policy::record_demand(state.tokens_, now);
    if (state.waiting_.empty() && policy::use_token(state.tokens_, now)) {
        listener.on_admitted();
        request_tokens(organisation, states_[organisation]);
        return;
    }
    const waiter arriving = {{priority, now, now + max_wait}, &listener};
    if (state.pending_request_id_ == 0 && now + max_wait < state.retry_at_ &&
        must_wait_for_retry(state, priority)) {
        // According to the owner, no token becomes available before the request must be refused.
        const base::duration retry_after = state.retry_at_ - now;
        report_refusal(organisation, state, state.missing_cause_, arriving,
                       state.waiting_.size() + 1, retry_after);
        listener.on_over_rate(retry_after);
        return;
    }
    const auto behind = std::find_if(
        state.waiting_.begin(), state.waiting_.end(),
        [&](const waiter& queued) { return !policy::precedes_arrival(queued, priority); });
    state.waiting_.insert(behind, arriving);
    request_tokens(organisation, state);
    if (policy::is_short(state.supply_, now)) {
        // The request may be out of reach, or those behind it.
        refuse_infeasible(organisation, state);
    }
}

void fleet_quota::cancel(quota_listener& listener) {
    for (auto& [organisation, state] : states_) {
        std::erase_if(state.waiting_,
                      [&](const waiter& queued) { return queued.listener_ == &listener; });
    }
}

void fleet_quota::on_hosts_changed() {
    std::vector<std::string> hosts;
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        if (!host.leaving_) {
            hosts.push_back(host.name_);
        }
    }
    if (hosts == hosts_) {
        return;
    }
    if (!hosts_.empty()) {
        hosts_changed_at_ = clock_.now();
    }
    hosts_ = std::move(hosts);
    ranked_owners_.clear();
}

const std::vector<std::string>& fleet_quota::ranked_owners(const std::string& organisation) {
    const auto found = ranked_owners_.find(organisation);
    if (found != ranked_owners_.end()) {
        return found->second;
    }
    return ranked_owners_.emplace(organisation, policy::rank_owners(organisation, hosts_))
        .first->second;
}

// Requests the missing tokens unless a request is pending or the retry delay has not passed.
void fleet_quota::request_tokens(const std::string& organisation, organisation_state& state) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    const bool needed = policy::tokens_to_request(state.tokens_, waiting, now) > 0;
    const int most_urgent =
        state.waiting_.empty() ? state.retry_priority_ : state.waiting_.front().priority_;
    if (needed && state.pending_request_id_ == 0 && !must_wait_for_retry(state, most_urgent)) {
        state.owner_rank_ = 0;
        state.declined_ = 0;
        request_tokens_from_rank(organisation, state);
    }
}

// Sends a token request to the first reachable owner from the current rank on. Falls back to the
// host's own share if there is none.
void fleet_quota::request_tokens_from_rank(const std::string& organisation,
                                           organisation_state& state) {
    const base::instant now = clock_.now();
    const std::vector<std::string>& owners = ranked_owners(organisation);
    pending_organisations_.erase(state.pending_request_id_);
    state.pending_request_id_ = 0;
    while (state.owner_rank_ < owners.size() && owners[state.owner_rank_] != host_ &&
           !quota_peers_.responds(owners[state.owner_rank_])) {
        ++state.owner_rank_;
    }
    if (state.owner_rank_ >= owners.size()) {
        grant_from_own_share(organisation, state);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    wire::lease_request request;
    request.request = quota_peers_.next_request_id();
    request.organisation = organisation;
    request.tokens =
        static_cast<std::int32_t>(policy::tokens_to_request(state.tokens_, waiting, now));
    state.pending_request_id_ = request.request;
    state.requested_tokens_ = request.tokens;
    state.requested_at_ = now;
    state.others_checked_ = false;
    pending_organisations_[state.pending_request_id_] = organisation;
    const std::string owner = owners[state.owner_rank_];
    if (owner == host_) {
        on_grant(grant(request, host_));
        return;
    }
    // The first in rank has no host to relay the request to.
    const bool first = state.owner_rank_ == 0;
    quota_peers_.ask(owner, request, first ? direct_reply_timeout : relay_reply_timeout);
}

// Asks the next owner once the one that was asked is known not to reply, or its reply was lost.
void fleet_quota::request_tokens_again(const std::string& organisation, organisation_state& state) {
    const std::vector<std::string>& owners = ranked_owners(organisation);
    const bool responds =
        state.owner_rank_ < owners.size() && quota_peers_.responds(owners[state.owner_rank_]);
    if (!responds) {
        request_tokens_from_rank(organisation, state);
        return;
    }
    if (clock_.now() - state.requested_at_ > relay_reply_timeout) {
        ++state.owner_rank_;
        request_tokens_from_rank(organisation, state);
        return;
    }
    check_other_owners(organisation, state);
}

// Finds side by side which other owners reply, while the one that was asked is slow to. Those that
// rank after it may have to take over and do the same.
void fleet_quota::check_other_owners(const std::string& organisation, organisation_state& state) {
    if (state.others_checked_ || clock_.now() - state.requested_at_ < slow_reply) {
        return;
    }
    state.others_checked_ = true;
    const std::vector<std::string>& owners = ranked_owners(organisation);
    for (std::size_t rank = 0; rank < owners.size(); ++rank) {
        const std::string& owner = owners[rank];
        if (rank != state.owner_rank_ && owner != host_ && quota_peers_.responds(owner)) {
            quota_peers_.probe(owner, organisation, rank > state.owner_rank_);
        }
    }
}

// Records that no owner grants tokens at present. Returns whether an owner that takes over may
// still be expected.
bool fleet_quota::record_no_owner(organisation_state& state, base::instant now) {
    if (now - state.without_owner_at_ > takeover_bound) {
        state.without_owner_since_ = now;
    }
    state.without_owner_at_ = now;
    return now - state.without_owner_since_ < takeover_bound;
}

// Fallback when no owner grants tokens: takes them from the host's own share of the rate.
void fleet_quota::grant_from_own_share(const std::string& organisation, organisation_state& state) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    const policy::quota_limit limit = limit_of(organisation);
    state.requested_at_ = now;
    state.missing_cause_ = quota_refusal_cause::own_share;
    policy::reset_shortage(state.supply_);
    policy::quota_grant grant = policy::grant_own_share(
        own_share_[organisation], limit, std::max<std::size_t>(1, hosts_.size()),
        policy::tokens_to_request(state.tokens_, waiting, now), now);
    if (record_no_owner(state, now)) {
        // An owner may have tokens long before the own share has one.
        grant.retry_after_ = std::min(grant.retry_after_, owner_retry_delay);
    }
    on_tokens_granted(organisation, state, grant);
    state.retry_at_ = std::min(state.retry_at_, now + owner_retry_delay);
}

void fleet_quota::on_grant(const wire::lease_grant& grant) {
    notice_stall();
    quota_peers_.record_reply(grant.request);
    if (relay_grant(grant)) {
        return;
    }
    const auto pending = pending_organisations_.find(grant.request);
    if (pending == pending_organisations_.end()) {
        return;
    }
    const std::string organisation = pending->second;
    pending_organisations_.erase(pending);
    organisation_state& state = states_[organisation];
    state.pending_request_id_ = 0;
    if (!grant.granting) {
        on_declined(organisation, state, grant);
        return;
    }
    state.missing_cause_ = quota_refusal_cause::owner_limit;
    state.without_owner_at_ = {};
    if (state.owner_rank_ == 0) {
        policy::record_grant(state.supply_, state.requested_tokens_, grant.tokens, clock_.now());
    } else {
        // While an owner stands in for another, which of them will grant is not known.
        policy::reset_shortage(state.supply_);
    }
    on_tokens_granted(organisation, state,
                      {grant.tokens, base::milliseconds(grant.retry_after_ms), true});
}

// Waits for an owner that takes over, or asks the next one.
void fleet_quota::on_declined(const std::string& organisation, organisation_state& state,
                              const wire::lease_grant& grant) {
    policy::reset_shortage(state.supply_);
    if (grant.taking_over && record_no_owner(state, clock_.now())) {
        state.missing_cause_ = quota_refusal_cause::handover;
        on_tokens_granted(organisation, state, {0, base::milliseconds(grant.retry_after_ms)});
        return;
    }
    ++state.declined_;
    if (state.declined_ >= max_declined) {
        grant_from_own_share(organisation, state);
        return;
    }
    ++state.owner_rank_;
    request_tokens_from_rank(organisation, state);
}

void fleet_quota::on_tokens_granted(const std::string& organisation, organisation_state& state,
                                    const policy::quota_grant& grant) {
    const base::instant now = clock_.now();
    policy::add_tokens(state.tokens_, grant.tokens_, state.requested_at_);
    admit_waiting(state, now);
    if (state.waiting_.empty()) {
        return;
    }
    state.retry_at_ = now + std::max(grant.retry_after_, min_retry_delay);
    state.retry_priority_ = state.waiting_.front().priority_;
    refuse_infeasible(organisation, states_[organisation]);
}

void fleet_quota::admit_waiting(organisation_state& state, base::instant now) {
    while (!state.waiting_.empty() && policy::use_token(state.tokens_, now)) {
        quota_listener* admitted = state.waiting_.front().listener_;
        state.waiting_.pop_front();
        admitted->on_admitted();
    }
}

// Refuses the waiting requests whose deadline passes before another token request may be sent, and
// those that no token reaches in time because of the ones ahead of them, more urgent ones among
// these.
void fleet_quota::refuse_infeasible(const std::string& organisation, organisation_state& state) {
    struct refusal {
        waiter request_;
        quota_refusal_cause cause_ = quota_refusal_cause::owner_limit;
        base::duration retry_after_{};
    };
    const base::instant now = clock_.now();
    const policy::quota_limit limit = limit_of(organisation);
    const quota_refusal_cause expired_cause =
        state.pending_request_id_ != 0 ? quota_refusal_cause::no_reply : state.missing_cause_;
    const base::duration min_delay =
        expired_cause == quota_refusal_cause::owner_limit ? min_retry_delay : takeover_delay;
    const std::size_t waiting = state.waiting_.size();
    std::size_t ahead = 0;
    // Priority of the first request that goes on waiting.
    std::optional<int> most_urgent;
    std::vector<refusal> refused;
    std::erase_if(state.waiting_, [&](const waiter& queued) {
        // A pending token request may bring a token before the next one may be sent.
        const bool next_is_later =
            state.pending_request_id_ == 0 && must_wait_for_retry(state, queued.priority_);
        const base::instant next = next_is_later ? state.retry_at_ : now;
        if (queued.wait_deadline_ <= next) {
            refused.push_back({queued, expired_cause, std::max(min_delay, next - now)});
            return true;
        }
        const bool outranked = most_urgent && *most_urgent < queued.priority_;
        if (outranked && policy::is_out_of_reach(queued, ahead, state.supply_, limit, now)) {
            refused.push_back({queued, quota_refusal_cause::others_ahead,
                               std::max(next - now, policy::token_wait(ahead, limit))});
            return true;
        }
        most_urgent = most_urgent.value_or(queued.priority_);
        ++ahead;
        return false;
    });
    for (const refusal& entry : refused) {
        report_refusal(organisation, state, entry.cause_, entry.request_, waiting,
                       entry.retry_after_);
    }
    for (const refusal& entry : refused) {
        entry.request_.listener_->on_over_rate(entry.retry_after_);
    }
}

void fleet_quota::report_refusal(const std::string& organisation, const organisation_state& state,
                                 quota_refusal_cause cause, const waiter& refused,
                                 std::size_t waiting, base::duration retry_after) {
    ++counters_.refused_requests_.at(static_cast<std::size_t>(cause));
    if (observer_ == nullptr) {
        return;
    }
    const std::vector<std::string>& owners = ranked_owners(organisation);
    quota_refusal refusal;
    refusal.organisation_ = organisation;
    if (state.owner_rank_ < owners.size()) {
        refusal.owner_ = owners[state.owner_rank_];
    }
    refusal.owner_rank_ = state.owner_rank_;
    refusal.cause_ = cause;
    if (cause != quota_refusal_cause::owner_limit && observer_->takes_events()) {
        refusal.reachability_ = reachability_for(organisation);
    }
    refusal.waiting_ = waiting;
    refusal.priority_ = refused.priority_;
    refusal.retry_after_ = retry_after;
    refusal.waited_ = clock_.now() - refused.queued_at_;
    observer_->on_refusal(refusal);
}

void fleet_quota::tick() {
    const base::instant now = clock_.now();
    notice_stall();
    last_tick_at_ = now;
    quota_peers_.tick(quota_peers_.has_silent_hosts() ? replaced_owners()
                                                      : std::set<std::string>());
    begin_takeovers();
    answer_overdue_relays();
    std::vector<std::string> organisations;
    for (auto& [organisation, state] : states_) {
        if (!state.waiting_.empty() || state.pending_request_id_ != 0) {
            organisations.push_back(organisation);
        }
    }
    for (const std::string& organisation : organisations) {
        organisation_state& state = states_[organisation];
        if (state.pending_request_id_ != 0) {
            request_tokens_again(organisation, state);
        }
        request_tokens(organisation, state);
        refuse_infeasible(organisation, state);
    }
    std::erase_if(states_, [&](const auto& entry) {
        const organisation_state& state = entry.second;
        return state.waiting_.empty() && state.pending_request_id_ == 0 &&
               now - state.tokens_.demand_at_ > idle_state_expiry;
    });
}

}  // namespace dandelionridge::control
