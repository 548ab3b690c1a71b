// The platform's list of hosts and the targets on them. It lags behind the truth.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/error.h"

namespace dandelionridge::config {

struct target_entry {
    std::string name_;
    std::string service_;
    // Where the target listens, as seen from its own host.
    base::address address_;
    // Requests that it runs at a time; 0 if only the rules say so.
    int slots_ = 0;
    // It was started a short while ago and is slower than usual.
    bool warming_ = false;
};

struct host_entry {
    std::string name_;
    std::string zone_;
    // Where the host's process listens for other processes.
    base::address address_;
    bool leaving_ = false;
    std::vector<target_entry> targets_;
};

// A target and the host it is on, as indices into a host_list.
struct target_index {
    std::size_t host_ = 0;
    std::size_t target_ = 0;
};

struct host_list {
    std::int64_t version_ = 0;
    // Sorted by name.
    std::vector<host_entry> hosts_;
    std::unordered_map<std::string, std::vector<target_index>> by_service_;
};

using hosts_ptr = std::shared_ptr<const host_list>;

// Parses the lines of one version: a JSON object a host, one a line:
// {"host":"h1","zone":"z1","address":"127.0.0.1:7001","state":"live",
//  "targets":[{"target":"t1","service":"orders","address":"127.0.0.1:9001"}]}
base::result<hosts_ptr> parse_hosts(std::int64_t version, const std::vector<std::string>& lines);

// Sorts the hosts by name and finds the places of each service. Made lists end with this.
base::result<hosts_ptr> make_host_list(std::int64_t version, std::vector<host_entry> hosts);

// The host of that name, or nothing.
const host_entry* find_host(const host_list& hosts, std::string_view name);

}  // namespace dandelionridge::config
