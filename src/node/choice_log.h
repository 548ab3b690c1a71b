// Counts the choices of a target per service, and records once a second for which services targets
// were lacking and why.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/event_loop.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/target_availability.h"

namespace dandelionridge::node {

class choice_log {
public:
    choice_log(net::event_loop& loop, observe::event_log& events);

    // Counts a choice among targets of that availability. `found`: a target was chosen.
    void record_choice(const std::string& service, const policy::availability_counts& counts,
                       bool found, double min_share);

    // Counts a retry that was possible but for the budget of its service.
    void record_retry_denied(const std::string& service);

    // Returns how often targets were passed over, by reason.
    observe::labelled_counter passed_over() const;

    // Returns the number of retries denied for lack of budget, by service.
    observe::labelled_counter retries_denied() const;

private:
    // What happened for one service since the last line on it.
    struct interval {
        std::uint64_t choices_ = 0;
        // Choices that found no target, and those with fewer targets available than the minimum.
        std::uint64_t without_target_ = 0;
        std::uint64_t short_of_targets_ = 0;
        std::uint64_t retries_denied_ = 0;
        // Of the last choice that lacked targets.
        policy::availability_counts last_counts_{};
    };

    void record_interval(const std::string& service, const interval& ended);
    void end_interval();

    net::event_loop& loop_;
    observe::event_log& events_;
    net::timer interval_timer_;
    // Keyed by service.
    std::map<std::string, interval> intervals_;
    std::map<std::string, std::uint64_t> retries_denied_;
    policy::availability_counts passed_over_{};
};

}  // namespace dandelionridge::node
