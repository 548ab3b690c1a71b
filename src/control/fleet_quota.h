// Enforces each organisation's rate and burst over the whole fleet. A caller proxy requests tokens
// from owners; a host that is an owner grants them.
//
// A caller proxy asks the highest-ranked owner that it can reach, then the next ones, and falls
// back to its own share of the rate if none of them grants tokens.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "control/quota.h"
#include "control/quota_events.h"
#include "control/quota_peers.h"
#include "policy/quota.h"
#include "policy/token_queue.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

class fleet_quota final : public quota_gate {
public:
    fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                peer_sender& peers, std::string host, policy::quota_tolerance tolerance = {});

    void admit(const std::string& organisation, int priority, base::duration max_wait,
               quota_listener& listener) override;
    void cancel(quota_listener& listener) override;

    // Decisions are reported to `observer`, which must outlive this object.
    void set_observer(quota_observer& observer) { observer_ = &observer; }

    const quota_counters& counters() const { return counters_; }

    // Must be called whenever a new host list is in force. The owners are then ranked anew.
    void on_hosts_changed();

    // Handles a request for tokens of the peer `requester`. Returns the reply, or nothing if the
    // request was passed on to the owner: the reply is then sent when the owner's arrives.
    std::optional<wire::lease_grant> on_request(const wire::lease_request& request,
                                                const std::string& requester);
    void on_grant(const wire::lease_grant& grant);

    // Must be called after the process was stalled: another host may have acted as owner meanwhile,
    // so this one stops acting.
    void on_stall();

    // Asks the next owner where a reply is overdue, requests tokens that are still missing, and
    // refuses requests that have waited too long. Drops the state of idle organisations.
    void tick();

private:
    struct waiter : policy::token_waiter {
        quota_listener* listener_ = nullptr;
    };

    // State of one organisation in this host's caller proxy.
    struct organisation_state {
        policy::held_tokens tokens_;
        policy::token_supply supply_;
        // In the order in which they get tokens: by priority, then by arrival.
        std::deque<waiter> waiting_;
        // Id of the token request that awaits a reply; 0 if none. owner_rank_ is the rank of the
        // owner it was sent to, requested_at_ the time at which it was sent.
        std::int64_t pending_request_id_ = 0;
        std::size_t owner_rank_ = 0;
        base::instant requested_at_{};
        // Number of tokens requested there.
        std::int64_t requested_tokens_ = 0;
        // The other owners were checked since then.
        bool others_checked_ = false;
        // Owners in a row that replied that they do not grant.
        std::size_t declined_ = 0;
        // No further token request is sent before this time, except for a request that is more
        // urgent than those for which tokens were missing.
        base::instant retry_at_{};
        int retry_priority_ = 0;
        // Last time at which no owner granted tokens, and the beginning of the time without an
        // owner in which it lies. An owner that grants ends that time.
        base::instant without_owner_at_{};
        base::instant without_owner_since_{};
        // What kept the last request for tokens from getting all of them.
        quota_refusal_cause missing_cause_ = quota_refusal_cause::owner_limit;
    };

    // A request for tokens that this host passed on for a host that did not reach the owner.
    struct relayed_request {
        std::string requester_;
        std::string owner_;
        wire::lease_request request_;
        base::instant relayed_at_{};
    };

    wire::lease_grant grant(const wire::lease_request& request, const std::string& requester);
    policy::quota_owner& find_or_add_owner(const std::string& organisation,
                                           const policy::quota_limit& limit);
    bool relay(const wire::lease_request& request, const std::string& requester);
    bool relay_grant(const wire::lease_grant& grant);
    void answer_overdue_relays();
    void check_higher_ranks(const std::string& organisation, const std::string& requester);
    std::set<std::string> replaced_owners();
    void begin_takeovers();
    void notice_stall();
    policy::quota_limit limit_of(const std::string& organisation) const;
    void request_tokens(const std::string& organisation, organisation_state& state);
    void request_tokens_from_rank(const std::string& organisation, organisation_state& state);
    void request_tokens_again(const std::string& organisation, organisation_state& state);
    void check_other_owners(const std::string& organisation, organisation_state& state);
    void on_declined(const std::string& organisation, organisation_state& state,
                     const wire::lease_grant& grant);
    static bool record_no_owner(organisation_state& state, base::instant now);
    void grant_from_own_share(const std::string& organisation, organisation_state& state);
    void on_tokens_granted(const std::string& organisation, organisation_state& state,
                           const policy::quota_grant& grant);
    void report_refusal(const std::string& organisation, const organisation_state& state,
                        quota_refusal_cause cause, const waiter& refused, std::size_t waiting,
                        base::duration retry_after);
    void report_owner_change(const std::string& organisation, bool was_acting, bool acting,
                             bool stalled);
    bool must_wait_for_retry(const organisation_state& state, int priority) const;
    static void admit_waiting(organisation_state& state, base::instant now);
    void refuse_infeasible(const std::string& organisation, organisation_state& state);
    policy::host_reachability reachability_for(const std::string& organisation) const;
    const std::vector<std::string>& ranked_owners(const std::string& organisation);

    const base::runtime_clock& clock_;
    const configuration& configuration_;
    peer_sender& peers_;
    quota_peers quota_peers_;
    std::string host_;
    policy::quota_tolerance tolerance_;
    // Time of construction. An owner whose tokens are requested for the first time counts as acting
    // since then.
    base::instant started_at_;
    // Start of this process, or the last change of the hosts: since then it may be the first in
    // rank.
    base::instant hosts_changed_at_;
    base::instant last_tick_at_;
    std::unordered_map<std::string, organisation_state> states_;
    // Organisation of each pending token request, by request id.
    std::unordered_map<std::int64_t, std::string> pending_organisations_;
    // By the number that this host gave the request.
    std::unordered_map<std::int64_t, relayed_request> relayed_requests_;
    // Organisations of which an owner that ranks before this host is silent to a requester, with
    // the time at which that was found last.
    std::unordered_map<std::string, base::instant> silent_to_requester_;
    // Organisations whose tokens this host grants to the fleet.
    std::unordered_map<std::string, policy::quota_owner> owned_;
    // This host's own share of each organisation's rate, used while no owner can be reached or none
    // grants tokens.
    std::unordered_map<std::string, policy::quota_owner> own_share_;
    // Names of all hosts that are not leaving.
    std::vector<std::string> hosts_;
    mutable std::unordered_map<std::string, std::vector<std::string>> ranked_owners_;
    quota_counters counters_;
    quota_observer* observer_ = nullptr;
};

}  // namespace dandelionridge::control
