#include "control/fleet_quota.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::control {

namespace {

constexpr base::duration reply_timeout = base::milliseconds(150);
// Timeout of a question that the asked host must answer itself. Below reply_timeout, so that the
// host that passes a request on can tell its requester in time that there was no reply.
constexpr base::duration direct_reply_timeout = base::milliseconds(80);
// A host that stood still for this time may have been replaced as owner.
constexpr base::duration stall_threshold = direct_reply_timeout + policy::quota_handover_delay;
// Interval at which a host that left a question unanswered is asked whether it replies again.
constexpr base::duration probe_interval = base::milliseconds(100);
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

// A question is forgotten after this time. Until then, a late reply shows that its host responds.
constexpr base::duration question_expiry = base::seconds(1);

}  // namespace

std::string_view to_text(quota_refusal_cause cause) {
    switch (cause) {
        case quota_refusal_cause::owner_limit:
            return "owner_limit";
        case quota_refusal_cause::own_share:
            return "own_share";
        case quota_refusal_cause::no_reply:
            return "no_reply";
    }
    return "";
}

fleet_quota::fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                         peer_sender& peers, std::string host, policy::quota_tolerance tolerance)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
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

void fleet_quota::admit(const std::string& organisation, base::duration max_wait,
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
    if (state.pending_request_id_ == 0 && now + max_wait < state.retry_at_) {
        // According to the owner, no token becomes available before the request must be refused.
        const base::duration retry_after = state.retry_at_ - now;
        report_refusal(organisation, state, state.missing_cause_, {&listener, now + max_wait, now},
                       state.waiting_.size() + 1, retry_after);
        listener.on_over_rate(retry_after);
        return;
    }
    state.waiting_.push_back({&listener, now + max_wait, now});
    request_tokens(organisation, state);
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

policy::host_reachability fleet_quota::reachability_for(const std::string& organisation) const {
    policy::host_reachability reachability;
    reachability.hosts_ = std::max<std::size_t>(1, hosts_.size());
    for (const std::string& host : hosts_) {
        reachability.reachable_hosts_ += host != host_ && responds(host) ? 1 : 0;
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
        reachability.higher_rank_reachable_ = reachability.higher_rank_reachable_ || responds(host);
        reachability.higher_rank_silent_ =
            reachability.higher_rank_silent_ || unresponsive_.contains(host);
    }
    return reachability;
}

// Returns whether a host can be reached and has left no question unanswered. An open link alone
// does not show that the process behind it runs.
bool fleet_quota::responds(const std::string& host) const {
    return peers_.reachable(host) && !unresponsive_.contains(host);
}

// Sends a request for tokens and awaits the reply of that host.
void fleet_quota::ask(const std::string& host, const wire::lease_request& request) {
    const base::duration timeout = request.relayed ? direct_reply_timeout : reply_timeout;
    const base::instant now = clock_.now();
    questions_[request.request] = {host, request.organisation, now, now + timeout};
    wire::frame frame;
    frame.__set_lease_request_(request);
    peers_.send(host, frame);
}

// Records that a host responds. What it was asked until then has its reply, or will get none.
void fleet_quota::record_response(const std::string& host, base::instant asked_until) {
    unresponsive_.erase(host);
    std::erase_if(questions_, [&](const auto& entry) {
        return entry.second.host_ == host && entry.second.asked_at_ <= asked_until;
    });
}

// Asks a host whether it replies, without requesting tokens.
void fleet_quota::probe(const std::string& host, const std::string& organisation) {
    wire::lease_request request;
    request.request = next_request_id_++;
    request.organisation = organisation;
    request.__set_relayed(true);
    ask(host, request);
}

// Records which hosts leave questions unanswered, and probes these until they reply or their link
// is lost.
void fleet_quota::check_questions() {
    const base::instant now = clock_.now();
    for (const auto& [id, asked] : questions_) {
        if (now > asked.reply_due_at_) {
            unresponsive_.try_emplace(asked.host_, unresponsive_host{asked.organisation_, now});
        }
    }
    std::erase_if(questions_, [&](const auto& entry) {
        return now - entry.second.asked_at_ > question_expiry;
    });
    std::erase_if(unresponsive_, [&](const auto& entry) { return !peers_.reachable(entry.first); });
    // Sending may find a stall, which clears the unresponsive hosts.
    std::vector<std::pair<std::string, std::string>> probes;
    for (auto& [host, state] : unresponsive_) {
        if (now - state.probed_at_ >= probe_interval) {
            state.probed_at_ = now;
            probes.emplace_back(host, state.organisation_);
        }
    }
    for (const auto& [host, organisation] : probes) {
        probe(host, organisation);
    }
}

// Replies to the requests that were passed on to a host that does not respond.
void fleet_quota::answer_overdue_relays() {
    std::vector<relayed_request> overdue;
    std::erase_if(relayed_requests_, [&](const auto& entry) {
        const bool late = clock_.now() - entry.second.relayed_at_ > direct_reply_timeout;
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

// Requests the missing tokens unless a request is pending or the retry delay has not passed.
void fleet_quota::request_tokens(const std::string& organisation, organisation_state& state) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    const bool needed = policy::tokens_to_request(state.tokens_, waiting, now) > 0;
    if (needed && state.pending_request_id_ == 0 && now >= state.retry_at_) {
        state.owner_rank_ = 0;
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
           !responds(owners[state.owner_rank_])) {
        ++state.owner_rank_;
    }
    if (state.owner_rank_ >= owners.size()) {
        grant_from_own_share(organisation, state);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    wire::lease_request request;
    request.request = next_request_id_++;
    request.organisation = organisation;
    request.tokens =
        static_cast<std::int32_t>(policy::tokens_to_request(state.tokens_, waiting, now));
    state.pending_request_id_ = request.request;
    state.requested_at_ = now;
    pending_organisations_[state.pending_request_id_] = organisation;
    const std::string owner = owners[state.owner_rank_];
    if (owner == host_) {
        on_grant(grant(request, host_));
        return;
    }
    ask(owner, request);
}

// Fallback when no owner grants tokens: takes them from the host's own share of the rate.
void fleet_quota::grant_from_own_share(const std::string& organisation, organisation_state& state) {
    const base::instant now = clock_.now();
    const auto waiting = static_cast<std::int64_t>(state.waiting_.size());
    const policy::quota_limit limit = limit_of(organisation);
    state.requested_at_ = now;
    state.missing_cause_ = quota_refusal_cause::own_share;
    policy::quota_grant grant = policy::grant_own_share(
        own_share_[organisation], limit, std::max<std::size_t>(1, hosts_.size()),
        policy::tokens_to_request(state.tokens_, waiting, now), now);
    if (now - state.own_share_used_at_ > takeover_bound) {
        state.without_owner_since_ = now;
    }
    state.own_share_used_at_ = now;
    if (now - state.without_owner_since_ < takeover_bound) {
        // An owner may have tokens long before the own share has one.
        grant.retry_after_ = std::min(grant.retry_after_, owner_retry_delay);
    }
    on_tokens_granted(organisation, state, grant);
    state.retry_at_ = std::min(state.retry_at_, now + owner_retry_delay);
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
    // The replies to what was asked before may still be unread.
    questions_.clear();
    unresponsive_.clear();
    for (auto& [organisation, owner] : owned_) {
        report_owner_change(organisation, owner.acting_, false, true);
        policy::stop_acting(owner);
    }
}

std::optional<wire::lease_grant> fleet_quota::on_request(const wire::lease_request& request,
                                                         const std::string& requester) {
    notice_stall();
    record_response(requester, clock_.now());
    const wire::lease_grant reply = grant(request, requester);
    if (!reply.granting && relay(request, requester)) {
        return std::nullopt;
    }
    return reply;
}

// Passes a request on to the first owner that ranks before this host and that it reaches: the
// requester may not reach that one. Returns whether there is one.
bool fleet_quota::relay(const wire::lease_request& request, const std::string& requester) {
    if (request.relayed) {
        return false;
    }
    bool relayed = false;
    for (const std::string& owner : ranked_owners(request.organisation)) {
        if (owner == host_) {
            break;
        }
        if (owner == requester || !responds(owner)) {
            continue;
        }
        if (relayed) {
            // This host can act only once none of these responds.
            probe(owner, request.organisation);
            continue;
        }
        wire::lease_request passed_on = request;
        passed_on.request = next_request_id_++;
        passed_on.__set_relayed(true);
        relayed_requests_[passed_on.request] = {requester, request, clock_.now()};
        ask(owner, passed_on);
        relayed = true;
    }
    return relayed;
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
    return reply;
}

void fleet_quota::on_grant(const wire::lease_grant& grant) {
    notice_stall();
    if (const auto found = questions_.find(grant.request); found != questions_.end()) {
        const question answered = found->second;
        record_response(answered.host_, answered.asked_at_);
    }
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
        ++state.owner_rank_;
        request_tokens_from_rank(organisation, state);
        return;
    }
    state.missing_cause_ = quota_refusal_cause::owner_limit;
    state.own_share_used_at_ = {};
    on_tokens_granted(organisation, state,
                      {grant.tokens, base::milliseconds(grant.retry_after_ms), true});
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
    refuse_infeasible(organisation, states_[organisation]);
}

void fleet_quota::admit_waiting(organisation_state& state, base::instant now) {
    while (!state.waiting_.empty() && policy::use_token(state.tokens_, now)) {
        quota_listener* admitted = state.waiting_.front().listener_;
        state.waiting_.pop_front();
        admitted->on_admitted();
    }
}

// Refuses the waiting requests whose deadline passes before another token request may be sent.
void fleet_quota::refuse_infeasible(const std::string& organisation, organisation_state& state) {
    const base::instant now = clock_.now();
    const base::instant next = std::max(now, state.retry_at_);
    const quota_refusal_cause cause =
        state.pending_request_id_ != 0 ? quota_refusal_cause::no_reply : state.missing_cause_;
    const base::duration min_delay =
        cause == quota_refusal_cause::owner_limit ? min_retry_delay : takeover_delay;
    const base::duration retry_after = std::max(min_delay, next - now);
    const std::size_t waiting = state.waiting_.size();
    std::vector<waiter> refused;
    std::erase_if(state.waiting_, [&](const waiter& queued) {
        const bool infeasible = queued.wait_deadline_ <= next;
        if (infeasible) {
            refused.push_back(queued);
        }
        return infeasible;
    });
    for (const waiter& queued : refused) {
        report_refusal(organisation, state, cause, queued, waiting, retry_after);
    }
    for (const waiter& queued : refused) {
        queued.listener_->on_over_rate(retry_after);
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
    refusal.retry_after_ = retry_after;
    refusal.waited_ = clock_.now() - refused.queued_at_;
    observer_->on_refusal(refusal);
}

void fleet_quota::report_owner_change(const std::string& organisation, bool was_acting, bool acting,
                                      bool stalled) {
    if (observer_ == nullptr || was_acting == acting) {
        return;
    }
    observer_->on_owner_change({organisation, acting, stalled, reachability_for(organisation)});
}

void fleet_quota::tick() {
    const base::instant now = clock_.now();
    notice_stall();
    last_tick_at_ = now;
    check_questions();
    answer_overdue_relays();
    std::vector<std::string> organisations;
    for (auto& [organisation, state] : states_) {
        if (!state.waiting_.empty() || state.pending_request_id_ != 0) {
            organisations.push_back(organisation);
        }
    }
    for (const std::string& organisation : organisations) {
        organisation_state& state = states_[organisation];
        if (state.pending_request_id_ != 0 && now - state.requested_at_ > reply_timeout) {
            ++state.owner_rank_;
            request_tokens_from_rank(organisation, state);
        }
        request_tokens(organisation, state);
        if (!state.waiting_.empty() && state.waiting_.front().wait_deadline_ <= now) {
            refuse_infeasible(organisation, state);
        }
    }
    std::erase_if(states_, [&](const auto& entry) {
        const organisation_state& state = entry.second;
        return state.waiting_.empty() && state.pending_request_id_ == 0 &&
               now - state.tokens_.demand_at_ > idle_state_expiry;
    });
}

}  // namespace dandelionridge::control
