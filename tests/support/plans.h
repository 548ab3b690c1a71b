// Fleets that several process tests use.
#pragma once

#include <future>
#include <string>

#include "support/fleet.h"

namespace dandelionridge::support {

inline const std::string bends_key = "bends-secret";
inline const std::string bends_authorization = "Authorization: Bearer " + bends_key;

// Hosts h1, h2, ... in the zones given, one target "t1", "t2", ... of the service "orders" on each
// host named, and the organisation "bends" with a generous rate.
fleet_plan orders_plan(const std::vector<std::string>& host_zones,
                       const std::vector<std::string>& target_hosts,
                       const std::string& service_options);

// A request to "orders" through a host's entry.
caller_request order_request(const fleet& fleet, const std::string& caller_proxy,
                             const std::string& id, const std::string& method);

// Sends a request on a thread of its own.
std::future<caller_response> send_in_background(const caller_request& request);

}  // namespace dandelionridge::support
