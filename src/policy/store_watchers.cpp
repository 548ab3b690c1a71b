#include "policy/store_watchers.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace dandelionridge::policy {

namespace {

bool contains(std::span<const std::string> hosts, const std::string& host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

// Returns the next reachable host of a list and moves `turn` behind it.
std::optional<std::string> take_turn(std::span<const std::string> hosts, std::size_t& turn,
                                     const reachable_check& reachable) {
    for (std::size_t tried = 0; tried < hosts.size(); ++tried) {
        const std::string& host = hosts[turn++ % hosts.size()];
        if (reachable(host)) {
            return host;
        }
    }
    return std::nullopt;
}

// Returns the first hosts of a ranking that are present.
std::vector<std::string> first_present(std::span<const std::string> ranked, std::size_t count,
                                       const reachable_check& present) {
    std::vector<std::string> chosen;
    for (const std::string& host : ranked) {
        if (chosen.size() == count) {
            break;
        }
        if (present(host)) {
            chosen.push_back(host);
        }
    }
    return chosen;
}

// Adds the next hosts of other zones to the hosts asked.
void append_others(std::vector<std::string>& asked, watcher_view& view,
                   const reachable_check& reachable) {
    const std::size_t count = std::min(other_watchers_asked, view.others_.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (auto other = take_turn(view.others_, view.next_other_, reachable)) {
            asked.push_back(std::move(*other));
        }
    }
}

}  // namespace

std::size_t watchers_per_zone(std::size_t zones) {
    const std::size_t known_zones = std::max<std::size_t>(1, zones);
    return (min_fleet_watchers + known_zones - 1) / known_zones;
}

std::vector<std::string> rank_watchers(std::span<const std::string> zone_hosts) {
    std::vector<std::string> ranked;
    ranked.reserve(zone_hosts.size());
    for (const std::size_t index :
         base::rendezvous_top("store-watch", zone_hosts, zone_hosts.size())) {
        ranked.push_back(zone_hosts[index]);
    }
    return ranked;
}

void set_hosts(watcher_view& view, const std::map<std::string, std::vector<std::string>>& hosts,
               const std::string& zone, const std::string& self, const absent_check& absent) {
    view.self_ = self;
    view.own_zone_ = zone;
    view.ranked_.clear();
    for (const auto& [name, zone_hosts] : hosts) {
        view.ranked_[name] = rank_watchers(zone_hosts);
    }
    choose_watchers(view, absent);
}

void choose_watchers(watcher_view& view, const absent_check& absent) {
    const auto present = [&](const std::string& host) {
        return host == view.self_ || !absent(host);
    };
    const auto zones =
        std::count_if(view.ranked_.begin(), view.ranked_.end(), [&](const auto& entry) {
            return std::any_of(entry.second.begin(), entry.second.end(), present);
        });
    const std::vector<std::string> known_zone = std::exchange(view.zone_, {});
    view.others_.clear();
    view.watches_ = false;
    for (const auto& [name, ranked] : view.ranked_) {
        for (const std::string& watcher :
             first_present(ranked, watchers_per_zone(static_cast<std::size_t>(zones)), present)) {
            if (watcher == view.self_) {
                view.watches_ = true;
            } else {
                (name == view.own_zone_ ? view.zone_ : view.others_).push_back(watcher);
            }
        }
    }
    view.zone_replied_ = view.zone_replied_ && view.zone_ == known_zone;
}

std::vector<std::string> watchers_to_ask(watcher_view& view, const reachable_check& reachable,
                                         base::instant now) {
    std::vector<std::string> asked;
    view.asked_at_ = now;
    if (auto of_zone = take_turn(view.zone_, view.next_zone_, reachable)) {
        asked.push_back(std::move(*of_zone));
    }
    const bool zone_replied = std::exchange(view.zone_replied_, false);
    view.asked_others_ = !zone_replied || asked.empty();
    if (view.asked_others_) {
        append_others(asked, view, reachable);
    }
    return asked;
}

std::vector<std::string> watchers_after_silence(watcher_view& view,
                                                const reachable_check& reachable,
                                                base::instant now) {
    std::vector<std::string> asked;
    const bool in_time = now - view.asked_at_ < watcher_reply_time;
    if (!in_time && !view.zone_replied_ && !std::exchange(view.asked_others_, true)) {
        append_others(asked, view, reachable);
    }
    return asked;
}

std::optional<std::string> next_watcher(watcher_view& view, const reachable_check& reachable) {
    std::vector<std::string> watchers = view.zone_;
    watchers.insert(watchers.end(), view.others_.begin(), view.others_.end());
    return take_turn(watchers, view.next_other_, reachable);
}

std::vector<std::string> record_reply(watcher_view& view, const std::string& host, bool recent,
                                      const reachable_check& reachable) {
    std::vector<std::string> asked;
    if (!contains(view.zone_, host)) {
        return asked;
    }
    view.zone_replied_ = view.zone_replied_ || recent;
    if (!recent && !std::exchange(view.asked_others_, true)) {
        append_others(asked, view, reachable);
    }
    return asked;
}

bool is_watcher(const watcher_view& view, const std::string& host) {
    return contains(view.zone_, host) || contains(view.others_, host);
}

}  // namespace dandelionridge::policy
