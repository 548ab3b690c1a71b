#include "control/known_targets.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelionridge::control {

namespace {

// Bounds the memory that removed targets take. A copy is seconds old, so the latest are enough.
constexpr std::size_t max_removed_targets = 10'000;

using stamps_by_target = std::unordered_map<std::string_view, entry_stamp>;

entry_stamp stamp_of(const config::target_entry& target) {
    return {target.started_ms_, target.sequence_};
}

stamps_by_target stamps_of(const config::host_list& hosts) {
    stamps_by_target stamps;
    for (const config::host_entry& host : hosts.hosts_) {
        for (const config::target_entry& target : host.targets_) {
            stamps[target.name_] = stamp_of(target);
        }
    }
    return stamps;
}

bool has_target_in(const config::host_entry& host, const std::set<std::string>& targets) {
    return std::any_of(
        host.targets_.begin(), host.targets_.end(),
        [&](const config::target_entry& target) { return targets.contains(target.name_); });
}

bool is_started_later(const config::host_entry& left, const config::host_entry& right) {
    return !left.targets_.empty() && !right.targets_.empty() &&
           stamp_of(right.targets_.front()) < stamp_of(left.targets_.front());
}

void drop_oldest(removed_targets& removed) {
    while (removed.order_.size() > max_removed_targets) {
        removed.stamps_.erase(removed.order_.front());
        removed.order_.pop_front();
    }
}

bool is_outdated(const config::target_entry& target, const stamps_by_target& in_use,
                 const removed_targets& removed) {
    if (const auto known = in_use.find(target.name_); known != in_use.end()) {
        return stamp_of(target) < known->second;
    }
    const auto gone = removed.stamps_.find(target.name_);
    return gone != removed.stamps_.end() && stamp_of(target) <= gone->second;
}

}  // namespace

void record_removals(removed_targets& removed, const config::host_list& before,
                     const config::host_list& after) {
    const stamps_by_target remaining = stamps_of(after);
    for (const auto& [name, stamp] : stamps_of(before)) {
        if (!remaining.contains(name)) {
            removed.stamps_[std::string(name)] = stamp;
            removed.order_.emplace_back(name);
        }
    }
    std::erase_if(removed.stamps_,
                  [&](const auto& entry) { return remaining.contains(entry.first); });
    drop_oldest(removed);
}

std::set<std::string> find_outdated(const config::host_list& listed,
                                    const config::host_list& in_use,
                                    const removed_targets& removed) {
    const stamps_by_target known = stamps_of(in_use);
    std::set<std::string> outdated;
    for (const config::host_entry& host : listed.hosts_) {
        for (const config::target_entry& target : host.targets_) {
            if (is_outdated(target, known, removed)) {
                outdated.insert(target.name_);
            }
        }
    }
    return outdated;
}

config::hosts_ptr keep_in_use(const config::hosts_ptr& listed, const config::host_list& in_use,
                              const std::set<std::string>& outdated,
                              const std::set<std::string>& missing) {
    if (outdated.empty() && missing.empty()) {
        return listed;
    }
    std::vector<config::host_entry> hosts;
    std::unordered_map<std::string_view, std::size_t> positions;
    for (const config::host_entry& host : listed->hosts_) {
        if (!has_target_in(host, outdated)) {
            positions[host.name_] = hosts.size();
            hosts.push_back(host);
        }
    }
    for (const config::host_entry& host : in_use.hosts_) {
        if (!has_target_in(host, outdated) && !has_target_in(host, missing)) {
            continue;
        }
        const auto found = positions.find(host.name_);
        if (found == positions.end()) {
            hosts.push_back(host);
        } else if (is_started_later(host, hosts[found->second])) {
            // Another writer's entry names the same host.
            hosts[found->second] = host;
        }
    }
    // Cannot fail, since no host was added that is listed.
    return *config::make_host_list(listed->version_, std::move(hosts), listed->restores_);
}

}  // namespace dandelionridge::control
