// The links of one process to all others. In a small fleet they are kept open; otherwise they are
// opened on demand. Links that are not kept open are removed when idle.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "config/host_list.h"
#include "node/peer_link.h"
#include "policy/peer_turns.h"

namespace dandelionridge::node {

class link_pool {
public:
    link_pool(net::event_loop& loop, const link_identity& identity, net::frame_traffic& traffic,
              observe::event_log& events, link_listener& listener);

    // Returns the link to a host at its current address, creating it if there is none.
    peer_link& link_to(const config::host_entry& host);

    // Pings that host at once if its link is open and none of its pings is outstanding.
    void check(const std::string& host);

    // Returns when the newest frame of that host arrived on its current link.
    base::instant last_heard(const std::string& host) const;

    // Returns an open link to the next host that is eligible, or null if there is none. All hosts
    // are taken once, in random order, before one is taken again.
    peer_link* next_open_link(const std::function<bool(const std::string& host)>& eligible);

    // Returns the link to a host at its current address, or null if there is none.
    const peer_link* find(const config::host_entry& host) const;

    // Keeps a link open to each host of the list if it has few enough hosts. All other links are
    // opened on demand.
    void update_hosts(const config::host_list& hosts);

    // Reconnects to a host at once, because it has opened a link to this host and so is reachable.
    void on_peer_connected(const std::string& host);

    // Pings the peers of links that are open and quiet. Called when a peer was found silent: others
    // often are for the same cause, and each would otherwise be found by a request that is lost.
    void check_links();

    // Returns true if the host of that name can be reached as far as is known: its current link is
    // open or, where links are opened on demand, none has failed.
    bool is_reachable(const std::string& host) const;

    // Returns true if no link to the host of that name is open and several attempts in a row to
    // open one have failed.
    bool is_absent(const std::string& host) const;

    std::size_t open_count() const;
    std::size_t size() const { return links_.size(); }

private:
    void remove_idle_links();
    peer_link* find_current(const config::host_entry& host) const;

    net::event_loop& loop_;
    const link_identity& identity_;
    net::frame_traffic& traffic_;
    observe::event_log& events_;
    link_listener& listener_;
    // Keyed by name and address, because a host may restart at another address.
    std::map<std::string, std::unique_ptr<peer_link>> links_;
    // The link to the current address of each host, keyed by host name.
    std::unordered_map<std::string, peer_link*> current_links_;
    net::timer sweep_timer_;
    bool keeps_all_open_ = true;
    base::instant last_check_{};
    base::random_engine random_;
    policy::peer_turns turns_;
};

}  // namespace dandelionridge::node
