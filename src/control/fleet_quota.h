// The fleet's quota: as an entry, leases tokens from owners; as an owner, grants them.
//
// Each organisation's rate and burst are divided over the zones of the rules. In a zone the share
// has one owner among the zone's hosts. An entry asks the owner of its own zone first, then those
// of the other zones, so that a share that is idle elsewhere is not lost.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "control/quota.h"
#include "policy/quota_entry.h"
#include "policy/quota_owner.h"
#include "policy/quota_share.h"
#include "policy/zone_view.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

struct fleet_quota_options {
    std::string host_;
    std::string zone_;
    policy::quota_times times_;
};

class fleet_quota final : public quota_gate {
public:
    fleet_quota(const base::runtime_clock& clock, const configuration& configuration,
                const policy::zone_view& view, peer_sender& peers, fleet_quota_options options);

    void admit(const std::string& organisation, base::duration patience,
               quota_listener& listener) override;
    void withdraw(quota_listener& listener) override;

    // A new host list is in force.
    void on_hosts_changed();

    // Messages of peers. The grant is the answer to the request.
    wire::lease_grant on_request(const wire::lease_request& request);
    void on_grant(const std::string& peer, const wire::lease_grant& grant);
    void on_return(const wire::lease_return& returned);

    // Does what is due: questions again, refusals of those who waited too long, returns.
    void tick();

    // True if this host may grant its shares now.
    bool holds_tenure() const;

private:
    struct waiter {
        quota_listener* listener_ = nullptr;
        base::instant give_up_at_{};
    };

    // What an entry knows of one organisation.
    struct demand {
        policy::quota_entry tokens_;
        std::deque<waiter> waiting_;
        // The question that is out: to which of the owners, and since when; 0 if none.
        std::int64_t request_ = 0;
        std::size_t owner_ = 0;
        base::instant asked_at_{};
        // After a round of refusals: when to ask again, by the most hopeful owner.
        base::instant ask_again_at_{};
        base::duration shortest_wait_{};
        // Some owner could grant in the present round, though it had no token.
        bool some_owner_ = false;
    };

    std::vector<std::string> owners(const std::string& organisation) const;
    void ask(const std::string& organisation, demand& wanted);
    void ask_next(const std::string& organisation, demand& wanted);
    void begin_round(const std::string& organisation, demand& wanted);
    void serve(demand& wanted);
    void refuse_hopeless(demand& wanted);
    void give_back(const std::string& organisation, demand& wanted);
    policy::quota_owner* own(const std::string& organisation);
    void update_tenure();

    const base::runtime_clock& clock_;
    const configuration& configuration_;
    const policy::zone_view& view_;
    peer_sender& peers_;
    fleet_quota_options options_;
    std::unordered_map<std::string, demand> demands_;
    std::unordered_map<std::int64_t, std::string> requests_;
    std::unordered_map<std::string, policy::quota_owner> owned_;
    // Names of the hosts of each zone in the list in force.
    std::unordered_map<std::string, std::vector<std::string>> hosts_by_zone_;
    std::vector<policy::list_epoch> epochs_;
    policy::tenure tenure_;
    std::int64_t next_request_ = 1;
};

}  // namespace dandelionridge::control
