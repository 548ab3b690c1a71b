#include "support/plans.h"

namespace dandelionridge::support {

fleet_plan orders_plan(const std::vector<std::string>& host_zones,
                       const std::vector<std::string>& target_hosts,
                       const std::string& service_options) {
    fleet_plan plan;
    plan.host_zones_ = host_zones;
    for (std::size_t i = 0; i < target_hosts.size(); ++i) {
        plan.targets_.push_back({"t" + std::to_string(i + 1), "orders", target_hosts[i]});
    }
    plan.rules_ = {zone_line("z1"), zone_line("z2"), zone_line("z3")};
    for (const auto& lines : {organisation_lines("bends", bends_key, "100000/s", 100000),
                              service_lines("orders", service_options)}) {
        plan.rules_.insert(plan.rules_.end(), lines.begin(), lines.end());
    }
    return plan;
}

caller_request order_request(const fleet& fleet, const std::string& caller_proxy,
                             const std::string& id, const std::string& method) {
    caller_request request;
    request.method_ = method;
    request.url_ = fleet.caller_address_of(caller_proxy) + "/orders/" + id;
    request.headers_ = {bends_authorization, "X-Request-Id: " + id};
    if (method == "POST") {
        request.body_ = "order " + id;
    }
    return request;
}

std::future<caller_response> send_in_background(const caller_request& request) {
    return std::async(std::launch::async, [request] {
        caller background_caller;
        return background_caller.send(request);
    });
}

}  // namespace dandelionridge::support
