// The platform's list of hosts and of the targets on them. It lags behind the actual state.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

namespace dandelionridge::config {

struct target_entry {
    std::string name_;
    std::string service_;
    // Address on which the target listens, as reached from its own host.
    base::address address_;
    // Number of requests that the target runs concurrently, which overrides the rules; 0: the rules
    // determine it.
    int slots_ = 0;
    // The target was started recently and is slower than usual.
    bool warming_ = false;
    // Start of the target in milliseconds since 1970; 0 if the list does not contain it.
    std::int64_t started_ms_ = 0;
    // Rises with each entry that the target writes; 0 if the list does not contain it.
    std::int64_t sequence_ = 0;
    // Time for which the target stays cold after its entry was written.
    base::duration warmup_left_{};
};

struct host_entry {
    std::string name_;
    std::string zone_;
    // Address on which the host's process listens for its peers.
    base::address address_;
    // The host is leaving the fleet.
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
    // Number of times that the platform had come back from a copy when it gave out the list.
    std::int64_t restores_ = 0;
    // Zones to whose targets nothing may be sent.
    std::set<std::string> evacuated_zones_;
    // False: the list comes from a program that knows of no evacuations, so that it says nothing of
    // them.
    bool lists_evacuations_ = true;
    // Sorted by name.
    std::vector<host_entry> hosts_;
    // Targets of each service, by the name of the service.
    std::unordered_map<std::string, std::vector<target_index>> by_service_;
};

using hosts_ptr = std::shared_ptr<const host_list>;

// Parses the lines of one version, each of which holds the JSON object of one host:
// {"host":"h1","zone":"z1","address":"127.0.0.1:7001","state":"live",
//  "targets":[{"target":"t1","service":"orders","address":"127.0.0.1:9001","started_ms":17}]}
// `started_ms` is optional. It distinguishes a target from a later one with the same name.
base::result<hosts_ptr> parse_hosts(std::int64_t version, const std::vector<std::string>& lines);

// Builds a host list: sorts the hosts by name and indexes the targets by service. Returns an error
// if a host is listed twice. Every parser of host lists ends with this call.
base::result<hosts_ptr> make_host_list(std::int64_t version, std::vector<host_entry> hosts,
                                       std::int64_t restores = 0);

// Returns the list with these zones evacuated; the list itself if they already are.
hosts_ptr with_evacuated_zones(const hosts_ptr& hosts, const std::set<std::string>& zones);

// Returns the target of that name and service on a host, or null.
const target_entry* find_target_entry(const host_entry& host, std::string_view target,
                                      std::string_view service);

// Returns the host of that name, or null.
const host_entry* find_host(const host_list& hosts, std::string_view name);

}  // namespace dandelionridge::config
