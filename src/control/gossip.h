// Synchronises this process's configuration with that of its peers where the platform does not
// provide it.
//
// Every message on a link carries the versions of its sender, so a process that lags behind learns
// of it with the first message and pulls the newer version from the sender. A process that has lost
// the platform, or that must know how recent its view is, requests the versions of its peers.
// Few hosts watch the platform; all others request the versions of these, and these request each
// other's. Each reply says how old the evidence is that what it passes on is current.
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
#include "policy/config_pull.h"
#include "policy/copy_budget.h"
#include "policy/store_watchers.h"
#include "policy/view_evidence.h"
#include "policy/zone_view.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

struct gossip_options {
    std::string host_;
    std::string zone_;
    // Time between two version requests to the same host.
    base::duration interval_{};
    // True: keyed routes depend on a recent view, so all hosts of the zone are polled all the time.
    // False: a few hosts are polled, and only while the platform is unavailable.
    bool strict_ = true;
    // Time within which the platform usually delivers a version that a peer has already to a host
    // that watches it. Only then does such a host pull it from the peer.
    base::duration platform_lead_{};
    // Age of the platform's confirmation above which a host that watches it is not relied on alone.
    // A watch confirms what was in force when it began, so the age grows to two waits.
    base::duration max_view_age_ = base::seconds(5);
    // What this host's link carries. A part of it bounds what is sent to peers.
    double link_bytes_per_second_ = 0;
};

// A configuration value that was sent to a peer.
struct sent_value {
    config_value_kind kind_ = config_value_kind::rules;
    // The version that the change starts from; 0 if all lines were sent.
    std::int64_t base_ = 0;
    std::int64_t version_ = 0;
    // Number of lines sent, and of the bytes in them as they were sent.
    std::size_t lines_ = 0;
    std::size_t bytes_ = 0;
};

class gossip {
public:
    gossip(const base::runtime_clock& clock, configuration& configuration, peer_sender& peers,
           gossip_options options, base::random_engine random = base::make_random_engine());

    // Must be called whenever a new host list is in force.
    void on_hosts_changed();

    // Must be called after each accepted version.
    void on_accepted(config_value_kind kind);

    // Handlers for messages of peers. on_view_request returns the reply to the request, on_pull
    // what was sent, if anything, and on_update what became of the offered version.
    wire::view_answer on_view_request(const std::string& peer, const wire::view_question& request,
                                      const frame_sender& send_reply);
    void on_view_reply(const std::string& peer, const wire::view_answer& reply,
                       const frame_sender& send_reply);
    std::optional<sent_value> on_pull(const std::string& peer, const wire::config_pull& pull,
                                      const frame_sender& send_reply);
    void on_busy(const std::string& peer, const wire::config_busy& busy);
    offer_outcome on_update(const std::string& peer, wire::config_update update,
                            const frame_sender& send_reply);

    // Records the versions that a peer sent with any message, and pulls those that are newer than
    // the versions in force. A host that has the platform waits a moment, because it is about to
    // read them itself; one that has not waits for a peer of its zone first.
    void on_versions(const std::string& peer, const wire::config_versions& seen,
                     const frame_sender& send_reply);

    // Records whether the last request to the platform failed.
    void set_platform_failing(bool failing) { platform_failing_ = failing; }

    // Records the time as of which this host's own reads of the platform are current.
    void record_own_reads(base::instant current_as_of);

    // Sends the version requests that are due, and pulls newer versions that neither the platform
    // nor a further message of the peer has brought. `platform_available` is false while the
    // platform does not reply.
    void tick(bool platform_available);

    // Returns the versions that peers may pull from this process.
    wire::config_versions versions() const;

    // Returns true if this host is one of those that watch the platform with current reads for
    // others.
    bool watches_platform() const { return watchers_.watches_; }

    // Returns true if this host is to watch the platform: for others, because it has no recent
    // evidence from others, or because it trusts nobody else.
    bool reads_currently() const {
        return options_.strict_ || watches_platform() || evidence_.reads_currently_;
    }

    // Returns the age of the oldest evidence for a value.
    base::duration evidence_age() const { return clock_.now() - policy::oldest(evidence()); }

    // Returns the times as of which the values are known to be current here.
    policy::evidence_times evidence() const { return policy::newest(evidence_); }

    // Returns true once this process may serve. In strict mode it must first have compared both
    // values with more than half of its zone and, if there are other zones, with a host of one of
    // them, and have caught up with the newest versions seen, or have waited for this until the
    // time limit.
    bool synchronized();

    // Returns the age of the newest evidence that the configuration is current: a confirmation by
    // the platform, or replies of more than half of the zone.
    base::duration freshness_age() const;

private:
    struct pending_request {
        std::string peer_;
        base::instant requested_at_{};
    };

    // The update for a pull, and its size.
    struct prepared_update {
        wire::config_pull pull_;
        wire::frame frame_;
        std::size_t lines_ = 0;
        std::size_t bytes_ = 0;
    };

    // What is pulled and sent of one value.
    struct value_exchange {
        policy::config_pull pull_;
        policy::copy_receivers receivers_;
        prepared_update prepared_;
    };

    void request_view(const std::string& peer);
    void request_views(bool platform_available);
    void request_watchers_view();
    void exchange_between_watchers(base::instant now);
    void record_watcher_reply(const std::string& peer, bool recent);
    void request_views_of(const std::vector<std::string>& hosts);
    policy::evidence_times evidence_in(const wire::view_answer& reply,
                                       base::instant requested_at) const;
    void record_peer_evidence(const wire::config_versions& versions,
                              const policy::evidence_times& shown);
    void apply_pending_evidence();
    void note_passed_on_evidence();
    void check_evidence(bool platform_available);
    bool waits_for_pull() const;
    policy::reachable_check reachable_check() const;
    policy::absent_check absent_check() const;
    bool pulls_from_peer() const;
    void request_some_views(const std::vector<std::string>& hosts);
    void pull_if_behind(config_value_kind kind, std::int64_t version, const std::string& peer,
                        const frame_sender& send_reply);
    void pull_from_known_source(config_value_kind kind);
    std::vector<std::string> eligible_sources(const policy::config_pull& pull) const;
    const prepared_update& prepare_update(config_value_kind kind, const wire::config_pull& pull);
    known_lines lines_in_force(config_value_kind kind) const;
    value_exchange& exchange_of(config_value_kind kind) {
        return kind == config_value_kind::rules ? rules_exchange_ : hosts_exchange_;
    }
    bool is_in_zone(const std::string& host) const;
    base::duration pull_delay(const std::string& peer) const;

    const base::runtime_clock& clock_;
    configuration& configuration_;
    peer_sender& peers_;
    gossip_options options_;
    policy::zone_view view_;
    std::vector<std::string> other_zone_hosts_;
    // Hosts that watch the platform with current reads.
    policy::watcher_view watchers_;
    policy::view_evidence evidence_;
    // The evidence for what peers may pull from here.
    policy::evidence_times passed_on_evidence_;
    // The next request for evidence at other hosts than those that watch.
    base::instant next_search_{};
    base::random_engine random_;
    base::instant started_at_{};
    // Version requests that await a reply, by nonce.
    std::unordered_map<std::int64_t, pending_request> pending_requests_;
    std::int64_t next_nonce_ = 1;
    base::instant next_round_{};
    // The next round between the hosts that watch the platform.
    base::instant next_watcher_round_{};
    // Time at which both values were first found to have a version.
    std::optional<base::instant> ready_at_;
    std::int64_t newest_rules_seen_ = 0;
    bool other_zone_replied_ = false;
    bool synchronized_ = false;
    bool platform_failing_ = false;
    value_exchange rules_exchange_;
    value_exchange hosts_exchange_;
    policy::token_bucket copy_budget_;
};

}  // namespace dandelionridge::control
