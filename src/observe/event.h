// Events of one process, which are logged and kept in a bounded ring buffer.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionridge::observe {

// A detail of an event, by name.
struct event_field {
    std::string name_;
    std::string value_;
};

// One event of the process.
struct event {
    // Sequence number of the event within its boot: starts at 1 and rises by one.
    std::uint64_t sequence_ = 0;
    // Wall time in milliseconds since 1970.
    std::int64_t wall_ms_ = 0;
    // Name of the event, such as "link_lost".
    std::string kind_;
    std::vector<event_field> fields_;
};

// Number of events that a process keeps; older ones are dropped.
inline constexpr std::size_t event_log_capacity = 4096;

// Identifies the reporting process in each log line and in each event list that leaves it.
struct event_source {
    std::string host_;
    std::string zone_;
    std::int64_t boot_ = 0;
};

// The newest events of this process, at most event_log_capacity.
class event_log {
public:
    explicit event_log(event_source source);

    // Keeps an event and logs it as one line of JSON.
    void record(std::int64_t wall_ms, std::string_view kind, std::vector<event_field> fields);

    // Logs a line without keeping it, so that frequent lines do not displace kept events.
    void log(std::string_view kind, const std::vector<event_field>& fields) const;

    const std::deque<event>& events() const { return events_; }
    const event_source& source() const { return source_; }

    // Returns the kept events as a JSON object: host, zone, boot and the list of events.
    std::string to_json() const;

private:
    event_source source_;
    std::deque<event> events_;
    std::uint64_t next_sequence_ = 1;
};

}  // namespace dandelionridge::observe
