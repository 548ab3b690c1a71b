// Keeps this process's configuration level with that of others where the platform does not.
//
// Every message on a link names the versions of its sender, so that one that lags finds out with
// the first message, and pulls from whoever is ahead. A process that has lost the platform, or that
// must know how recent its view is, asks others for their versions by itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "policy/zone_view.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

struct gossip_options {
    std::string host_;
    std::string zone_;
    // Between two questions to the same host.
    base::duration interval_{};
    // Keyed routes hang on a recent view: all hosts of the zone are asked all the time.
    bool strict_ = true;
};

class gossip {
public:
    gossip(const base::runtime_clock& clock, configuration& configuration, peer_sender& peers,
           gossip_options options);

    // A new host list is in force.
    void on_hosts_changed();

    // Messages of peers.
    wire::view_answer on_view_request(const wire::view_question& question, const peer_reply& reply);
    void on_view_reply(const std::string& peer, const wire::view_answer& answer,
                       const peer_reply& reply);
    void on_pull(const wire::config_pull& pull, const peer_reply& reply);
    offer_outcome on_update(const wire::config_update& update, const peer_reply& reply);

    // A peer named its versions on some other message.
    void on_versions(const wire::config_versions& seen, const peer_reply& reply);

    // Asks whoever is due. `platform_available` is false while the platform does not answer.
    void tick(bool platform_available);

    // The versions in force here.
    wire::config_versions versions() const;

    // True once this process may serve. A strict one has levelled both values with more than half
    // of its zone and with a host elsewhere, or has waited in vain for them.
    bool synchronized();

    // Age of what this process knows to be current: confirmed by the platform, or by more than half
    // of its zone.
    base::duration freshness_age() const;

private:
    struct pending_request {
        std::string peer_;
        base::instant requested_at_{};
    };

    void request_view(const std::string& peer);
    void request_some_views(const std::vector<std::string>& hosts);
    void pull_if_behind(config_value_kind kind, std::int64_t version, const peer_reply& reply);

    const base::runtime_clock& clock_;
    configuration& configuration_;
    peer_sender& peers_;
    gossip_options options_;
    policy::zone_view view_;
    std::vector<std::string> other_zone_hosts_;
    base::random_engine random_;
    std::unordered_map<std::int64_t, pending_request> pending_requests_;
    std::int64_t next_nonce_ = 1;
    base::instant next_round_{};
    // When both values were first at hand.
    std::optional<base::instant> ready_at_;
    std::int64_t newest_rules_seen_ = 0;
    bool other_zone_replied_ = false;
    bool synchronized_ = false;
    base::instant pulled_at_[2] = {};
};

}  // namespace dandelionridge::control
