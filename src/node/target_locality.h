// Chooses targets by locality in a deployment of several regions: keeps the spill shares of each
// service, logs when a share begins and ends, and counts the chosen targets by distance.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "base/clock.h"
#include "config/rules.h"
#include "net/event_loop.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/locality.h"

namespace dandelionridge::node {

// Returns true if the rules' zones lie in more than one region.
bool has_several_regions(const config::rule_set& rules);

class target_locality {
public:
    target_locality(net::event_loop& loop, observe::event_log& events);

    // Chooses a target of a service for a request.
    std::optional<policy::target_choice> choose(const std::string& service,
                                                std::span<const policy::candidate> candidates,
                                                policy::choice_criteria criteria,
                                                const policy::locality_limits& limits,
                                                base::random_engine& random);

    // Records the length of a complete response.
    void record_response(const std::string& service, policy::run_kind kind, double bytes);

    // Records how the wait of a body for a slot has ended: with a slot, or without one.
    void record_body_granted() { ++bodies_granted_; }
    void record_body_withheld(const std::string& service, const std::string& target);

    // Returns the number of bodies that waited for a slot beyond a border, by end.
    observe::labelled_counter bodies_waited() const;

    // Returns the number of chosen targets by distance.
    observe::labelled_counter chosen() const;

    // Returns the number of requests that left their region although it had usable targets, by
    // service.
    observe::labelled_counter spilled() const;

private:
    struct service_entry {
        policy::locality_state state_;
        policy::response_sizes response_sizes_;
        std::uint64_t spilled_ = 0;
        // The service's share of requests to spill was above zero at the last choice, by border.
        bool zone_spills_ = false;
        bool region_spills_ = false;
    };

    void log_change(const std::string& service, const char* border,
                    const policy::spill_share& spill, bool& spills);

    net::event_loop& loop_;
    observe::event_log& events_;
    // Keyed by service.
    std::map<std::string, service_entry> services_;
    // By policy::distance.
    std::array<std::uint64_t, 3> chosen_{};
    std::uint64_t bodies_granted_ = 0;
    std::uint64_t bodies_withheld_ = 0;
};

}  // namespace dandelionridge::node
