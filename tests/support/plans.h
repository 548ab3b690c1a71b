// Fleet plans and requests that several process tests use.
#pragma once

#include <future>
#include <string>

#include "support/fleet.h"

namespace dandelionridge::support {

inline const std::string bends_key = "bends-secret";
inline const std::string bends_authorization = "Authorization: Bearer " + bends_key;

// Returns a plan with hosts h1, h2, ... in the given zones, one target "t1", "t2", ... of the
// service "orders" for each element of target_hosts, and the organisation "bends" with a rate that
// no test exhausts.
fleet_plan orders_plan(const std::vector<std::string>& host_zones,
                       const std::vector<std::string>& target_hosts,
                       const std::string& service_options);

// Returns a request to "orders" through the caller proxy of a host. A POST has a body.
caller_request order_request(const fleet& fleet, const std::string& caller_proxy,
                             const std::string& id, const std::string& method);

// Sends a request on a separate thread.
std::future<caller_response> send_in_background(const caller_request& request);

}  // namespace dandelionridge::support
