// Counts what a target proxy does with the attempts for its host's targets, and records once a
// second what each target got.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Counts of refused attempts by reason.
using refusal_counts = std::map<wire::refusal_reason, std::uint64_t>;

// State of a target at the end of an interval.
struct target_load {
    int running_ = 0;
    std::size_t waiting_ = 0;
    // "healthy", "ejected" or "on_trial".
    std::string_view health_;
};

class target_activity {
public:
    explicit target_activity(observe::event_log& events) : events_(events) {}

    void record_started(const std::string& target, bool nested);
    void record_failed(const std::string& target, bool on_trial);
    // An empty name: the attempt was refused before its target was known.
    void record_refused(const std::string& target, wire::refusal_reason reason);

    // Counts a request that is not idempotent and was sent elsewhere because the target's last run
    // has failed.
    void record_deferred(const std::string& target) { ++intervals_[target].deferred_; }

    // Returns true if an interval has ended, so that record_interval() is due for each target.
    bool is_interval_over(base::instant now) const;

    // Records what a target got in the interval that ends, if anything happened or the target is
    // not healthy.
    void record_interval(const std::string& target, const target_load& load);

    // Begins the next interval. Attempts for targets on which no line was due are dropped.
    void begin_interval(base::instant now);

    // Returns the number of refused attempts, by reason.
    observe::labelled_counter refused() const;

private:
    // What happened at one target since the last line on it.
    struct interval {
        std::uint64_t started_ = 0;
        std::uint64_t started_nested_ = 0;
        // Runs that counted as failures of the target, and those of them that tested it.
        std::uint64_t failed_ = 0;
        std::uint64_t failed_trials_ = 0;
        // Those of the refused attempts that were deferred after a failure.
        std::uint64_t deferred_ = 0;
        refusal_counts refused_;
    };

    observe::event_log& events_;
    // Keyed by target name.
    std::map<std::string, interval> intervals_;
    refusal_counts refused_;
    base::instant interval_began_at_{};
};

}  // namespace dandelionridge::node
