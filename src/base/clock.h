// The clock of the runtime. No other module reads the system's time.
#pragma once

#include <chrono>
#include <cstdint>

namespace dandelionridge::base {

using duration = std::chrono::nanoseconds;

// A point on the host's boot-time clock, which keeps counting while the host is suspended.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

// The runtime's clock. A running clock follows the host; a paused one moves only by advance().
class runtime_clock {
public:
    // Returns the current time; for a paused clock, the time at which it is paused.
    instant now() const;

    // Returns the wall time in milliseconds since 1970, for logs and events only.
    std::int64_t wall_ms() const;

    // Stops the clock at its current time.
    void pause();

    // Moves a paused clock forward. Has no effect on a running clock.
    void advance(duration step);

private:
    bool paused_ = false;
    instant paused_at_{};
};

// Returns the whole milliseconds of a duration, rounded down.
std::int64_t whole_ms(duration value);

}  // namespace dandelionridge::base
