#include "node/departure_expiry.h"

#include <optional>
#include <string_view>

namespace dandelionridge::node {

namespace {

std::optional<policy::listed_target> find_listed(const config::host_list& hosts,
                                                 std::string_view target) {
    for (const config::host_entry& host : hosts.hosts_) {
        for (const config::target_entry& entry : host.targets_) {
            if (entry.name_ == target) {
                return policy::listed_target{entry.started_ms_, host.leaving_};
            }
        }
    }
    return std::nullopt;
}

}  // namespace

void expire_departures(policy::departures& known, const config::host_list& hosts,
                       base::instant now) {
    policy::expire_departures(
        known, [&](std::string_view target) { return find_listed(hosts, target); }, now);
}

}  // namespace dandelionridge::node
