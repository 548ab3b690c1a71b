#include "policy/quota_share.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace dandelionridge::policy {

quota_share share_of_zone(std::string_view organisation, double rate, std::int64_t burst,
                          std::span<const std::string> zones, std::string_view zone) {
    const auto count = static_cast<std::int64_t>(zones.size());
    if (count == 0) {
        return {};
    }
    const auto order =
        base::rendezvous_top("share:" + std::string(organisation), zones, zones.size());
    std::int64_t rank = -1;
    for (const std::size_t index : order) {
        ++rank;
        if (zones[index] != zone) {
            continue;
        }
        const std::int64_t tokens = burst / count + (rank < burst % count ? 1 : 0);
        const std::int64_t holders = std::min(count, burst);
        return {tokens > 0 ? rate / static_cast<double>(holders) : 0, tokens};
    }
    return {};
}

std::optional<base::instant> owned_since(std::string_view organisation, std::string_view self,
                                         std::span<const list_epoch> epochs) {
    std::optional<base::instant> since;
    for (std::size_t left = epochs.size(); left > 0; --left) {
        const list_epoch& epoch = epochs[left - 1];
        if (owner_of_share(organisation, epoch.hosts_) != self) {
            break;
        }
        since = epoch.since_;
    }
    return since;
}

std::string owner_of_share(std::string_view organisation, std::span<const std::string> hosts) {
    const auto top = base::rendezvous_top("owner:" + std::string(organisation), hosts, 1);
    return top.empty() ? "" : hosts[top.front()];
}

}  // namespace dandelionridge::policy
