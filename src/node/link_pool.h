// The links of one process to all others, opened on demand and dropped when idle.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/host_list.h"
#include "node/peer_link.h"

namespace dandelionridge::node {

class link_pool {
public:
    link_pool(net::event_loop& loop, const link_identity& identity, observe::event_log& events,
              link_listener& listener);

    // The link to a host at its present address.
    peer_link& link_to(const config::host_entry& host);

    // The link to a host if there is one.
    const peer_link* find(const config::host_entry& host) const;

    // Keeps a link open to each host of the list, as long as they are few enough; the links to all
    // other hosts are opened on demand.
    void update_hosts(const config::host_list& hosts);

    // A host has opened a link to this one.
    void on_peer_connected(const std::string& host);

    // True if a link to a host of that name is open.
    bool is_open(const std::string& host) const;

    std::size_t open_count() const;
    std::size_t size() const { return links_.size(); }

private:
    void sweep();

    net::event_loop& loop_;
    const link_identity& identity_;
    observe::event_log& events_;
    link_listener& listener_;
    // By name and address, since a host may come back elsewhere.
    std::map<std::string, std::unique_ptr<peer_link>> links_;
    // The link to the present address of each host.
    std::unordered_map<std::string, peer_link*> current_links_;
    net::timer sweep_timer_;
};

}  // namespace dandelionridge::node
