#include "policy/zone_view.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dandelionridge::policy {

namespace {

// Returns the latest time such that more than half of the members were contacted at or after it;
// the clock's zero point if fewer were contacted at all.
base::instant majority_contact_time(const zone_view& view, std::vector<base::instant> contacts,
                                    base::instant now) {
    // This host counts as contacted now.
    contacts.push_back(now);
    const std::size_t needed = view.members_.size() / 2 + 1;
    if (contacts.size() < needed) {
        return {};
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[needed - 1];
}

}  // namespace

void set_members(zone_view& view, std::int64_t hosts_version, std::vector<std::string> members) {
    view.hosts_version_ = hosts_version;
    view.members_ = std::move(members);
    view.newest_seen_ = std::max(view.newest_seen_, hosts_version);
    std::erase_if(view.exchanges_, [&](const auto& entry) {
        return std::find(view.members_.begin(), view.members_.end(), entry.first) ==
               view.members_.end();
    });
}

void record_exchange(zone_view& view, const std::string& peer, peer_exchange exchange) {
    observe_version(view, exchange.hosts_version_);
    peer_exchange& known = view.exchanges_[peer];
    if (exchange.requested_at_ >= known.requested_at_) {
        known = exchange;
    }
}

void observe_version(zone_view& view, std::int64_t hosts_version) {
    view.newest_seen_ = std::max(view.newest_seen_, hosts_version);
}

base::instant latest_majority_contact(const zone_view& view, base::instant now) {
    std::vector<base::instant> contacts;
    for (const std::string& member : view.members_) {
        const auto found = view.exchanges_.find(member);
        if (member != view.self_ && found != view.exchanges_.end()) {
            contacts.push_back(found->second.requested_at_);
        }
    }
    return majority_contact_time(view, std::move(contacts), now);
}

base::instant latest_majority_agreement(const zone_view& view, base::instant now) {
    if (view.newest_seen_ > view.hosts_version_) {
        return {};
    }
    std::vector<base::instant> contacts;
    for (const std::string& member : view.members_) {
        const auto found = view.exchanges_.find(member);
        if (member != view.self_ && found != view.exchanges_.end() &&
            found->second.hosts_version_ >= view.hosts_version_) {
            contacts.push_back(found->second.requested_at_);
        }
    }
    return majority_contact_time(view, std::move(contacts), now);
}

}  // namespace dandelionridge::policy
