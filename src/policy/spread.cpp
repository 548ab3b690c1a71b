#include "policy/spread.h"

#include <algorithm>

#include "base/hash.h"

namespace dandelionridge::policy {

bool is_reader(std::string_view zone, std::span<const std::string> hosts, std::string_view self) {
    const auto readers = base::rendezvous_top("reader:" + std::string(zone), hosts, readers_a_zone);
    return std::any_of(readers.begin(), readers.end(),
                       [&](std::size_t index) { return hosts[index] == self; });
}

std::vector<std::string> spread_children(std::span<const std::string> hosts,
                                         std::string_view origin, std::string_view self) {
    const auto place_of = [&](std::string_view name) {
        return static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), name) -
                                        hosts.begin());
    };
    const std::size_t root = place_of(origin);
    const std::size_t own = place_of(self);
    if (root == hosts.size() || own == hosts.size()) {
        return {};
    }
    // Places counted from the root, as in a heap with spread_fan_out children a node.
    const std::size_t place = (own + hosts.size() - root) % hosts.size();
    std::vector<std::string> children;
    for (std::size_t child = spread_fan_out * place + 1;
         child <= spread_fan_out * (place + 1) && child < hosts.size(); ++child) {
        children.push_back(hosts[(root + child) % hosts.size()]);
    }
    return children;
}

}  // namespace dandelionridge::policy
