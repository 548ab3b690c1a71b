// Keeps this process's configuration level with that of others, and its view of the zone recent.
//
// Hosts that read the platform pass new versions on by a tree over their zone. Besides, every host
// asks the others of its zone and a few elsewhere for their versions all the time, and pulls from
// whoever has a newer one, so that a lost message costs one interval.
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
};

class gossip {
public:
    gossip(const base::runtime_clock& clock, configuration& configuration, peer_sender& peers,
           gossip_options options);

    // A new host list is in force.
    void on_hosts_changed();

    // This process read a version from the platform: passes it on.
    void on_published(value_kind kind);

    // Messages of peers; each returns whether the frame was one of its kinds.
    wire::view_answer on_question(const std::string& peer, const wire::view_question& question);
    void on_answer(const std::string& peer, const wire::view_answer& answer);
    void on_pull(const std::string& peer, const wire::config_pull& pull);
    offer_outcome on_update(const std::string& peer, const wire::config_update& update);

    // A peer named its versions on some other message.
    void on_versions(const std::string& peer, const wire::config_versions& seen);

    // Asks whoever is due.
    void tick();

    // True if this host should watch the platform now.
    bool should_read() const;

    // The versions in force here.
    wire::config_versions versions() const;

    const policy::zone_view& view() const { return view_; }

    // True once this process may serve: it has both values, and has levelled them with more than
    // half of its zone and with a host elsewhere, or has waited in vain for them. A platform that
    // is stale can then take back nothing that others have in force.
    bool settled();

    // Age of what this process knows to be current: confirmed by the platform, or by more than half
    // of its zone.
    base::duration freshness_age() const;

private:
    struct open_question {
        std::string peer_;
        base::instant asked_at_{};
    };

    void ask(const std::string& peer);
    void pull_if_behind(const std::string& peer, value_kind kind, std::int64_t version);
    void spread(value_kind kind, const std::string& origin);
    void send_update(const std::string& peer, value_kind kind, std::int64_t have,
                     const std::string& origin);
    void pull(const std::string& peer, value_kind kind, std::int64_t have);

    const base::runtime_clock& clock_;
    configuration& configuration_;
    peer_sender& peers_;
    gossip_options options_;
    policy::zone_view view_;
    std::vector<std::string> elsewhere_;
    base::random_engine random_;
    std::unordered_map<std::int64_t, open_question> questions_;
    std::int64_t next_nonce_ = 1;
    base::instant next_round_{};
    // When both values were first at hand.
    std::optional<base::instant> ready_at_;
    std::int64_t newest_rules_seen_ = 0;
    bool heard_elsewhere_ = false;
    bool settled_ = false;
    base::instant pulled_at_[2] = {};
};

}  // namespace dandelionridge::control
