#include "node/pipelining_log.h"

#include <utility>
#include <vector>

namespace dandelionridge::node {

namespace {

constexpr base::duration interval_length = base::seconds(1);

std::string to_text(net::pipelining_event event) {
    switch (event) {
        case net::pipelining_event::run_ahead:
            return "run_ahead";
        case net::pipelining_event::cancelled:
            return "cancelled";
        case net::pipelining_event::bounded:
            return "bounded";
    }
    return "";
}

}  // namespace

pipelining_log::pipelining_log(net::event_loop& loop, observe::event_log& events)
    : events_(events), interval_timer_(loop) {}

void pipelining_log::record(net::pipelining_event event, std::size_t count) {
    const std::string kind = to_text(event);
    totals_[kind] += count;
    if (interval_.empty()) {
        interval_timer_.start(interval_length, [this] { end_interval(); });
    }
    interval_[kind] += count;
}

void pipelining_log::end_interval() {
    std::vector<observe::event_field> fields;
    for (const auto& [kind, count] : std::exchange(interval_, {})) {
        fields.push_back({kind, std::to_string(count)});
    }
    events_.log("pipelining", fields);
}

}  // namespace dandelionridge::node
