// What a process is told at its start: an INI file.
#pragma once

#include <map>
#include <string>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

namespace dandelionridge::config {

enum class platform_protocol {
    // Lists of lines under a name each; the product's own.
    values,
    // A key-value store that holds a configuration and an entry a target.
    store,
};

struct settings {
    // [host]
    std::string host_;
    std::string zone_;
    // The region of each zone, where the rules do not say; by zone.
    std::map<std::string, std::string> regions_;
    // [listen]
    base::address caller_listen_address_;
    base::address peer_listen_address_;
    base::address admin_listen_address_;
    // [platform]
    base::address platform_address_;
    // Protocol that the platform speaks.
    platform_protocol protocol_ = platform_protocol::values;
    // [target]
    // The one target of this host, where the platform's list names targets, not hosts; no port if
    // there is none.
    base::address target_address_;
    // Its service.
    std::string target_service_;
    // [limits]
    // Ended attempts whose fate the guard remembers.
    std::size_t remembered_attempts_ = 20'000;
    // Requests that wait for a slot on this host, over all organisations.
    std::size_t queued_requests_ = 1'000;
    // [times]
    // Longest time that a planned stop waits for requests in flight.
    base::duration drain_bound_ = base::seconds(30);
    // Time that idle callers are given to send one more request during a planned stop.
    base::duration drain_idle_ = base::seconds(1);
    // Age of the newest confirmation beyond which keyed routes are refused.
    base::duration freshness_bound_ = base::seconds(5);
    // False: a host that is cut off goes on with the keys that it knows.
    bool strict_freshness_ = true;
    // A host is asked for its versions this often, a few times over.
    base::duration view_bound_ = base::seconds(2);
    // Longest wait of one watch on the platform.
    base::duration watch_wait_ = base::seconds(2);
    // [retries]
    // Arrivals at a service's targets beyond the first of each request: at most this share of its
    // requests over retry_window_, and this many more over the whole fleet.
    double retry_ratio_ = 0.1;
    double retry_slack_ = 200;
    base::duration retry_window_ = base::seconds(10);
    // [ejection]
    // Share of a service's targets that are always in use.
    double min_share_ = 0.7;
};

// Reads a settings file. The error names the file, the key and the remedy.
base::result<settings> read_settings(const std::string& file);

// The same for text, with the name that errors give it.
base::result<settings> parse_settings(const std::string& text, const std::string& name);

}  // namespace dandelionridge::config
