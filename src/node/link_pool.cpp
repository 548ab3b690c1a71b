#include "node/link_pool.h"

#include <algorithm>

namespace dandelionridge::node {

namespace {

constexpr base::duration sweep_interval = base::seconds(10);

// In fleets with more hosts than this, links are opened only on demand: two sockets to each host
// would take most of a process's descriptors.
constexpr std::size_t max_hosts_kept_open = 1024;

// Bounds on the pings that are sent because a peer was found silent.
constexpr base::duration min_check_interval = base::seconds(1);
constexpr std::size_t max_checked_links = 64;

std::string key_of(const config::host_entry& host) {
    return host.name_ + "@" + base::to_string(host.address_);
}

}  // namespace

link_pool::link_pool(net::event_loop& loop, const link_identity& identity,
                     net::frame_traffic& traffic, observe::event_log& events,
                     link_listener& listener)
    : loop_(loop),
      identity_(identity),
      traffic_(traffic),
      events_(events),
      listener_(listener),
      sweep_timer_(loop),
      random_(base::make_random_engine()) {
    sweep_timer_.start(sweep_interval, [this] { remove_idle_links(); });
}

peer_link* link_pool::find_current(const config::host_entry& host) const {
    const auto found = current_links_.find(host.name_);
    const bool current = found != current_links_.end() && found->second->address() == host.address_;
    return current ? found->second : nullptr;
}

peer_link& link_pool::link_to(const config::host_entry& host) {
    if (peer_link* current = find_current(host)) {
        return *current;
    }
    std::unique_ptr<peer_link>& link = links_[key_of(host)];
    if (link == nullptr) {
        link = std::make_unique<peer_link>(loop_, identity_, traffic_, events_, host.name_,
                                           host.address_, listener_);
    }
    current_links_[host.name_] = link.get();
    return *link;
}

const peer_link* link_pool::find(const config::host_entry& host) const {
    if (const peer_link* current = find_current(host)) {
        return current;
    }
    const auto found = links_.find(key_of(host));
    return found == links_.end() ? nullptr : found->second.get();
}

void link_pool::update_hosts(const config::host_list& hosts) {
    keeps_all_open_ = hosts.hosts_.size() <= max_hosts_kept_open;
    for (const config::host_entry& host : hosts.hosts_) {
        if (keeps_all_open_) {
            link_to(host).keep_open(true);
        } else if (const auto found = links_.find(key_of(host)); found != links_.end()) {
            current_links_[host.name_] = found->second.get();
        }
    }
    for (auto& [key, link] : links_) {
        const config::host_entry* listed = config::find_host(hosts, link->peer());
        const bool is_listed = listed != nullptr && listed->address_ == link->address();
        if (!keeps_all_open_ || !is_listed) {
            link->keep_open(false);
        }
    }
}

void link_pool::on_peer_connected(const std::string& host) {
    const auto found = current_links_.find(host);
    if (found != current_links_.end()) {
        found->second->on_peer_connected();
    }
}

void link_pool::check_links() {
    const base::instant now = loop_.clock().now();
    if (links_.empty() || now - last_check_ < min_check_interval) {
        return;
    }
    last_check_ = now;
    auto next = links_.begin();
    std::advance(next, static_cast<std::ptrdiff_t>(base::random_below(random_, links_.size())));
    for (std::size_t i = 0; i < std::min(max_checked_links, links_.size()); ++i) {
        next->second->check();
        if (++next == links_.end()) {
            next = links_.begin();
        }
    }
}

void link_pool::check(const std::string& host) {
    const auto found = current_links_.find(host);
    if (found != current_links_.end()) {
        found->second->check();
    }
}

base::instant link_pool::last_heard(const std::string& host) const {
    const auto found = current_links_.find(host);
    return found == current_links_.end() ? base::instant{} : found->second->last_heard();
}

peer_link* link_pool::next_open_link(const std::function<bool(const std::string& host)>& eligible) {
    const auto list_peers = [this] {
        std::vector<std::string> peers;
        for (const auto& [host, link] : current_links_) {
            peers.push_back(host);
        }
        return peers;
    };
    const auto takes_turn = [&](const std::string& host) {
        const auto found = current_links_.find(host);
        return found != current_links_.end() && found->second->is_open() && eligible(host);
    };
    const auto peer = policy::next_peer(turns_, list_peers, takes_turn, random_);
    return peer ? current_links_.at(*peer) : nullptr;
}

bool link_pool::is_reachable(const std::string& host) const {
    const auto found = current_links_.find(host);
    if (found == current_links_.end()) {
        return !keeps_all_open_;
    }
    return found->second->is_open() || (!keeps_all_open_ && !found->second->reconnecting());
}

bool link_pool::is_absent(const std::string& host) const {
    const auto found = current_links_.find(host);
    return found != current_links_.end() && found->second->is_peer_absent();
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
