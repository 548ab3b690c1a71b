#include "node/link_pool.h"

#include <algorithm>
#include <set>

namespace dandelionridge::node {

namespace {

constexpr base::duration sweep_interval = base::seconds(10);

// In fleets with more hosts than this, links are opened only on demand.
constexpr std::size_t max_hosts_kept_open = 256;

std::string key_of(const config::host_entry& host) {
    return host.name_ + "@" + base::to_string(host.address_);
}

}  // namespace

link_pool::link_pool(net::event_loop& loop, const link_identity& identity,
                     observe::event_log& events, link_listener& listener)
    : loop_(loop), identity_(identity), events_(events), listener_(listener), sweep_timer_(loop) {
    sweep_timer_.start(sweep_interval, [this] { remove_idle_links(); });
}

peer_link& link_pool::link_to(const config::host_entry& host) {
    std::unique_ptr<peer_link>& link = links_[key_of(host)];
    if (link == nullptr) {
        link = std::make_unique<peer_link>(loop_, identity_, events_, host.name_, host.address_,
                                           listener_);
        current_links_[host.name_] = link.get();
    }
    return *link;
}

const peer_link* link_pool::find(const config::host_entry& host) const {
    const auto found = links_.find(key_of(host));
    return found == links_.end() ? nullptr : found->second.get();
}

void link_pool::update_hosts(const config::host_list& hosts) {
    const bool keep_all_open = hosts.hosts_.size() <= max_hosts_kept_open;
    std::set<std::string> listed;
    for (const config::host_entry& host : hosts.hosts_) {
        listed.insert(key_of(host));
        if (keep_all_open) {
            link_to(host).keep_open(true);
        }
    }
    current_links_.clear();
    for (auto& [key, link] : links_) {
        if (!keep_all_open || !listed.contains(key)) {
            link->keep_open(false);
        }
        current_links_[link->peer()] = link.get();
    }
    for (const config::host_entry& host : hosts.hosts_) {
        const auto found = links_.find(key_of(host));
        if (found != links_.end()) {
            current_links_[host.name_] = found->second.get();
        }
    }
}

void link_pool::on_peer_connected(const std::string& host) {
    const auto found = current_links_.find(host);
    if (found != current_links_.end()) {
        found->second->reconnect_now();
    }
}

bool link_pool::is_open(const std::string& host) const {
    const auto found = current_links_.find(host);
    return found != current_links_.end() && found->second->is_open();
}

std::size_t link_pool::open_count() const {
    return static_cast<std::size_t>(std::count_if(
        links_.begin(), links_.end(), [](const auto& entry) { return entry.second->is_open(); }));
}

void link_pool::remove_idle_links() {
    const base::instant now = loop_.clock().now();
    std::erase_if(links_, [&](const auto& entry) {
        const bool idle = entry.second->idle(now);
        if (idle) {
            std::erase_if(current_links_, [&](const auto& current) {
                return current.second == entry.second.get();
            });
        }
        return idle;
    });
    sweep_timer_.start(sweep_interval, [this] { remove_idle_links(); });
}

}  // namespace dandelionridge::node
