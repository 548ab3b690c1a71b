// The fleet's quota: as an entry, gets tokens from owners; as an owner, grants them.
//
// An entry asks the best-ranked owner that it can reach, then the next ones, and helps itself to
// its own share of the rate if none of them grants.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "control/quota.h"
#include "policy/quota.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

class fleet_quota final : public quota_gate {
public:
    fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                peer_sender& peers, std::string host);

    void admit(const std::string& organisation, base::duration max_wait,
               quota_listener& listener) override;
    void cancel(quota_listener& listener) override;

    // A new host list is in force.
    void on_hosts_changed();

    // Messages of peers. The grant is the answer to the request.
    wire::lease_grant on_request(const wire::lease_request& request);
    void on_grant(const wire::lease_grant& grant);

    // The process stood still for a while: another host may have acted in its place.
    void on_stall();

    // Does what is due: questions again, refusals of those who waited too long.
    void tick();

private:
    struct waiter {
        quota_listener* listener_ = nullptr;
        base::instant wait_deadline_{};
    };

    // What an entry knows of one organisation.
    struct demand {
        policy::held_tokens tokens_;
        std::deque<waiter> waiting_;
        // The question that is out, the rank it went to, and since when; 0 if none.
        std::int64_t pending_request_id_ = 0;
        std::size_t owner_rank_ = 0;
        base::instant requested_at_{};
        base::instant retry_at_{};
    };

    void request_tokens(const std::string& organisation, demand& wanted);
    void request_tokens_from_rank(const std::string& organisation, demand& wanted);
    void grant_from_own_share(const std::string& organisation, demand& wanted);
    void on_tokens_granted(const std::string& organisation, demand& wanted,
                           const policy::quota_grant& grant);
    static void admit_waiting(demand& wanted, base::instant now);
    void refuse_infeasible(demand& wanted);
    policy::host_reachability standing_for(const std::string& organisation) const;
    const std::vector<std::string>& ranked_owners(const std::string& organisation);

    const base::runtime_clock& clock_;
    const configuration& configuration_;
    peer_sender& peers_;
    std::string host_;
    base::instant started_at_;
    std::unordered_map<std::string, demand> demands_;
    std::unordered_map<std::int64_t, std::string> requests_;
    // Organisations that this host grants tokens of to the fleet.
    std::unordered_map<std::string, policy::quota_owner> owned_;
    // Its own share of each organisation's rate, for when it can reach no owner.
    std::unordered_map<std::string, policy::quota_owner> own_share_;
    std::vector<std::string> hosts_;
    mutable std::unordered_map<std::string, std::vector<std::string>> ranked_owners_;
    std::int64_t next_request_ = 1;
};

}  // namespace dandelionridge::control
