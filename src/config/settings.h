// The settings of a process, read from an INI file.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "policy/locality.h"

namespace dandelionridge::config {

enum class platform_protocol {
    // The product's own protocol, in which each value is a list of lines under a name.
    values,
    // A key-value store that holds the configuration and one entry per target.
    store,
};

struct settings {
    // [host]
    std::string host_;
    std::string zone_;
    // Region of each zone, by zone. Used only with platform_protocol::store, whose configuration
    // does not contain the zones.
    std::map<std::string, std::string> regions_;
    // [listen]
    base::address caller_listen_address_;
    base::address peer_listen_address_;
    base::address admin_listen_address_;
    // [platform]
    base::address platform_address_;
    // Protocol of the platform.
    platform_protocol protocol_ = platform_protocol::values;
    // [target]
    // The only target of this host, for platforms whose list names targets instead of hosts; port 0
    // if there is none.
    base::address target_address_;
    // Service of that target.
    std::string target_service_;
    // [limits]
    // Number of ended attempts whose status the target proxy keeps.
    std::size_t remembered_attempts_ = 20'000;
    // Maximum number of requests that wait for a slot on this host, over all organisations.
    std::size_t queued_requests_ = 1'000;
    // Requests of a caller's connection that are read and not answered yet. 1: the next one is read
    // once the response before it was sent.
    std::size_t pipelined_requests_ = 16;
    // Memory in megabytes that the process may use. Bodies of responses may fill a quarter of it.
    double memory_mb_ = 256;
    // What the host's link carries, in megabits a second. Copies of the configuration for other
    // hosts may take a quarter of it.
    double link_mbps_ = 10;
    // [times]
    // Maximum time that a planned stop waits for requests in flight.
    base::duration drain_bound_ = base::seconds(30);
    // Time that idle callers are given to send one more request during a planned stop.
    base::duration drain_idle_ = base::seconds(1);
    // Keyed routes are refused while the newest evidence that the configuration is current is older
    // than this.
    base::duration freshness_bound_ = base::seconds(5);
    // False: a host that is cut off continues to accept the keys of its rules.
    bool strict_freshness_ = true;
    // Maximum age of the last report of a host's versions; they are requested several times within
    // it.
    base::duration view_bound_ = base::seconds(2);
    // Time within which a change of the rules is to be in force on every host, and within which a
    // target that the platform shows as leaving is to get no more requests.
    base::duration rules_bound_ = base::seconds(1);
    base::duration leaving_bound_ = base::seconds(1);
    // Interval at which targets renew their entries at the platform.
    base::duration heartbeat_ = base::seconds(2);
    // Maximum wait of one watch request to the platform.
    base::duration watch_wait_ = base::seconds(2);
    // [retries]
    // Retry budget: the maximum number of arrivals at a service's targets beyond the first of each
    // request. It is retry_ratio_ (0 to 1) times the service's requests over retry_window_, plus
    // retry_slack_ over the whole fleet.
    double retry_ratio_ = 0.1;
    double retry_slack_ = 200;
    base::duration retry_window_ = base::seconds(10);
    // [quota]
    // An organisation's rate and burst bound its requests in every window of this length.
    base::duration quota_window_ = base::seconds(5);
    // What may exceed them in a window while hosts cannot agree: a fraction of them (0 to 1), and a
    // number of requests.
    double quota_overage_ = 0;
    double quota_slack_ = 0;
    // [warmup]
    // A cold target gets at most its warm-up rate times the overage, plus the slack, in one second.
    double warmup_overage_ = 1.5;
    double warmup_slack_ = 8;
    // [ejection]
    // Minimum share (0 to 1) of a service's targets that ejections leave in use. Targets that are
    // disconnected or fail for certain do not count.
    double min_share_ = 0.7;
    // [hedging]
    // Maximum number of copies of hedged requests as a share (0 to 0.2) of a service's requests; 0
    // turns hedging off.
    double hedging_max_share_ = 0;
    // [locality]
    // Set if the section has a key. Targets are then chosen by locality also in a single region.
    std::optional<policy::locality_limits> locality_;
};

// Returns the time for which changes on the platform are gathered before they are read: a part of
// the time within which they are to be in force.
base::duration gather_time(const settings& settings);

// Reads a settings file. The error names the file, the key and the remedy.
base::result<settings> read_settings(const std::string& file);

// Parses the text of a settings file. `name` stands for the file in errors.
base::result<settings> parse_settings(const std::string& text, const std::string& name);

}  // namespace dandelionridge::config
