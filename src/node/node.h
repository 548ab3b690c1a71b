// One process of the fleet: caller proxy, target proxy and controllers on one event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "control/fleet_quota.h"
#include "control/gossip.h"
#include "control/peer_sender.h"
#include "control/retry_loans.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/caller_proxy.h"
#include "node/environment.h"
#include "node/link_pool.h"
#include "node/member_view.h"
#include "node/quota_log.h"
#include "node/target_proxy.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/drain.h"
#include "policy/response_memory.h"

namespace dandelionridge::node {

class node final : public link_listener, public control::peer_sender {
public:
    // Opens all listeners and starts to read the configuration. Returns an error if a component
    // cannot be opened.
    static base::result<std::unique_ptr<node>> create(const base::runtime_clock& clock,
                                                      config::settings settings,
                                                      environment environment);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node() override;

    // Runs the event loop until a planned stop has ended.
    void run();

    // Begins a planned stop. May be called from any thread.
    void stop();

    // Applies those settings that may change while the process runs. May be called from any thread.
    void reload(config::settings settings);

    void on_peer_versions(const std::string& peer, const wire::config_versions& versions,
                          const control::frame_sender& reply) override;
    void on_control_frame(const std::string& peer, wire::frame&& frame,
                          const control::frame_sender& reply) override;
    void on_peer_draining(const std::string& peer, bool draining) override;
    void on_peer_unanswered(const std::string& peer, base::instant sent_at,
                            bool link_silent) override;
    void on_peer_heard(const std::string& peer, std::int64_t boot, base::instant heard_at) override;
    bool is_reported_silent(const std::string& peer) const override;
    void on_target_report(const wire::target_report& report) override;

    void send(const std::string& host, const wire::frame& frame) override;
    bool reachable(const std::string& host) const override;
    bool absent(const std::string& host) const override;

private:
    node(const base::runtime_clock& clock, config::settings settings, environment environment);
    base::result<bool> open();
    base::result<bool> open_admin();
    void open_feed();
    void on_hold(const control::platform_hold& hold);
    void tick();
    void set_current_reads();
    void on_accepted(control::config_value_kind kind);
    void on_update(const std::string& peer, const wire::config_update& update,
                   const control::frame_sender& reply);
    void on_pull(const std::string& peer, const wire::config_pull& pull,
                 const control::frame_sender& reply);
    void on_published(control::config_value_kind kind, std::int64_t version,
                      const std::vector<std::string>& lines);
    void record_offer(control::config_value_kind kind, std::int64_t version,
                      control::offer_outcome outcome, const std::string& source);
    void record_outdated_targets();
    void record_target_changes(const std::string& source);
    void record_unknown_regions();
    void record_evacuations(const config::host_list& before, const std::string& source);
    bool serving() const { return identity_.ready_to_serve_() && !draining_; }
    std::string admin_response(const std::string& path, int& status, std::string& type) const;
    std::string status_json() const;
    std::string render_metrics() const;
    void begin_drain();
    void check_drained();
    void record(std::string_view kind, std::vector<observe::event_field> fields);

    const base::runtime_clock& clock_;
    config::settings settings_;
    environment environment_;
    link_identity identity_;
    observe::event_log events_;
    observe::metrics metrics_;
    control::configuration configuration_;
    // The host list whose changes were recorded last.
    config::hosts_ptr recorded_hosts_;
    std::set<std::string> recorded_unknown_regions_;
    control::gossip gossip_;
    control::fleet_quota quota_;
    quota_log quota_log_;
    control::retry_loans retry_loans_;
    // Memory for the bodies of the responses that this host's targets or its callers get.
    policy::response_memory response_memory_;
    // Bytes of the frames that this process has exchanged with its peers.
    net::frame_traffic traffic_;
    std::unique_ptr<net::event_loop> loop_;
    std::unique_ptr<link_pool> links_;
    std::unique_ptr<member_view> members_;
    std::unique_ptr<target_proxy> target_proxy_;
    std::unique_ptr<caller_proxy> caller_proxy_;
    std::unique_ptr<net::http_server> admin_;
    std::unique_ptr<control::config_feed> feed_;
    std::unique_ptr<net::timer> drain_timer_;
    std::unique_ptr<net::timer> tick_timer_;
    // The feed reads the platform currently.
    bool reads_currently_ = false;
    bool draining_ = false;
    // Valid once `draining_` is set.
    policy::planned_stop stop_;
    // Consecutive drain checks that found nothing in flight.
    int idle_checks_ = 0;
};

}  // namespace dandelionridge::node
