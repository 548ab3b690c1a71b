// Counts and logs the requests that a rule on where they may run kept from a target.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/event_loop.h"
#include "observe/event.h"
#include "observe/metrics.h"

namespace dandelionridge::node {

enum class placement_cause {
    // The target's zone is evacuated.
    evacuated,
    // The target is cold and has got as many requests as it takes.
    cold,
    // The target may become cold at any moment and has got as many requests as it would then take.
    warmup_bound,
    // The target is in a region in which the request may not be served.
    region,
};

const char* to_text(placement_cause cause);

// `event` and `counter` name the line and the metric.
class placement_log {
public:
    placement_log(net::event_loop& loop, observe::event_log& events, std::string event,
                  std::string counter, std::string help);

    // Counts a request. Logs at most one line a second and cause, with the number of requests since
    // the last one.
    void record(placement_cause cause, const std::string& target);

    // Returns the number of requests, by cause.
    observe::labelled_counter counter() const;

private:
    struct cause_state {
        std::uint64_t total_ = 0;
        std::uint64_t logged_ = 0;
        bool line_written_ = false;
        base::instant last_line_at_{};
    };

    static constexpr std::size_t cause_count = 4;

    net::event_loop& loop_;
    observe::event_log& events_;
    std::string event_;
    std::string counter_;
    std::string help_;
    std::array<cause_state, cause_count> causes_;
};

}  // namespace dandelionridge::node
