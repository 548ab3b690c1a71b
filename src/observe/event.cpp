#include "observe/event.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "observe/json_output.h"

namespace dandelionridge::observe {

event_log::event_log(event_source source) : source_(std::move(source)) {}

void event_log::log(std::string_view kind, const std::vector<event_field>& fields) const {
    nlohmann::json log_line = {
        {"host", source_.host_}, {"zone", source_.zone_}, {"boot", source_.boot_}, {"event", kind}};
    for (const event_field& field : fields) {
        log_line[field.name_] = field.value_;
    }
    LOG(INFO) << json_text(log_line);
}

void event_log::record(std::int64_t wall_ms, std::string_view kind,
                       std::vector<event_field> fields) {
    log(kind, fields);
    events_.push_back({next_sequence_, wall_ms, std::string(kind), std::move(fields)});
    ++next_sequence_;
    if (events_.size() > event_log_capacity) {
        events_.pop_front();
    }
}

std::string event_log::to_json() const {
    nlohmann::json event_list = nlohmann::json::array();
    for (const event& recorded : events_) {
        nlohmann::json event_object = {{"sequence", recorded.sequence_},
                                       {"wall_ms", recorded.wall_ms_},
                                       {"event", recorded.kind_}};
        for (const event_field& field : recorded.fields_) {
            event_object["fields"][field.name_] = field.value_;
        }
        event_list.push_back(std::move(event_object));
    }
    const nlohmann::json document = {{"host", source_.host_},
                                     {"zone", source_.zone_},
                                     {"boot", source_.boot_},
                                     {"events", std::move(event_list)}};
    return json_text(document);
}

}  // namespace dandelionridge::observe
