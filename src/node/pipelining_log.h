// Counts what happens to pipelined requests, and records it at most once a second.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "observe/event.h"
#include "observe/metrics.h"

namespace dandelionridge::node {

class pipelining_log {
public:
    pipelining_log(net::event_loop& loop, observe::event_log& events);

    void record(net::pipelining_event event, std::size_t count);

    // Returns the number of events, by kind.
    observe::labelled_counter counter() const { return {name, help, "event", totals_}; }

private:
    static constexpr const char* name = "dandelionridge_pipelining_total";
    static constexpr const char* help =
        "Pipelined requests that ran ahead or were cancelled, and pauses of reading at a bound.";

    void end_interval();

    observe::event_log& events_;
    net::timer interval_timer_;
    // Since the last line, by kind.
    std::map<std::string, std::uint64_t> interval_;
    std::map<std::string, std::uint64_t> totals_;
};

}  // namespace dandelionridge::node
