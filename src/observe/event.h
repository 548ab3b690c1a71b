// Events of one process, kept in a bounded ring and logged.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionridge::observe {

// A named detail of an event.
struct event_field {
    std::string name_;
    std::string value_;
};

struct event {
    // Rises by one with each event of a boot.
    std::uint64_t sequence_ = 0;
    // Milliseconds since 1970.
    std::int64_t wall_ms_ = 0;
    std::string kind_;
    std::vector<event_field> fields_;
};

// Events kept by a process; older ones are dropped.
inline constexpr std::size_t event_log_capacity = 4096;

// Who reports: part of each log line and of each event that leaves the process.
struct event_source {
    std::string host_;
    std::string zone_;
    std::int64_t boot_ = 0;
};

class event_log {
public:
    explicit event_log(event_source source);

    // Keeps an event and writes it as one structured log line.
    void record(std::int64_t wall_ms, std::string_view kind, std::vector<event_field> fields);

    const std::deque<event>& events() const { return events_; }
    const event_source& source() const { return source_; }

    // The ring as a JSON object: host, zone, boot and the list of events.
    std::string to_json() const;

private:
    event_source source_;
    std::deque<event> events_;
    std::uint64_t next_sequence_ = 1;
};

}  // namespace dandelionridge::observe
