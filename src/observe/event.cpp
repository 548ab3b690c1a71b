#include "observe/event.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionridge::observe {

event_log::event_log(event_source source) : source_(std::move(source)) {}

void event_log::record(std::int64_t wall_ms, std::string_view kind,
                       std::vector<event_field> fields) {
    nlohmann::json line = {
        {"host", source_.host_}, {"zone", source_.zone_}, {"boot", source_.boot_}, {"event", kind}};
    for (const event_field& field : fields) {
        line[field.name_] = field.value_;
    }
    LOG(INFO) << line.dump();
    events_.push_back({next_sequence_, wall_ms, std::string(kind), std::move(fields)});
    ++next_sequence_;
    if (events_.size() > event_log_capacity) {
        events_.pop_front();
    }
}

std::string event_log::to_json() const {
    nlohmann::json list = nlohmann::json::array();
    for (const event& kept : events_) {
        nlohmann::json entry = {
            {"sequence", kept.sequence_}, {"wall_ms", kept.wall_ms_}, {"event", kept.kind_}};
        for (const event_field& field : kept.fields_) {
            entry["fields"][field.name_] = field.value_;
        }
        list.push_back(std::move(entry));
    }
    const nlohmann::json whole = {{"host", source_.host_},
                                  {"zone", source_.zone_},
                                  {"boot", source_.boot_},
                                  {"events", std::move(list)}};
    return whole.dump();
}

}  // namespace dandelionridge::observe
