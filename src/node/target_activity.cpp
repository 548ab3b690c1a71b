#include "node/target_activity.h"

#include <utility>
#include <vector>

namespace dandelionridge::node {

namespace {

constexpr base::duration line_interval = base::seconds(1);

}  // namespace

void target_activity::record_started(const std::string& target, bool nested) {
    interval& current = intervals_[target];
    ++current.started_;
    current.started_nested_ += nested ? 1 : 0;
}

void target_activity::record_failed(const std::string& target, bool on_trial) {
    interval& current = intervals_[target];
    ++current.failed_;
    current.failed_trials_ += on_trial ? 1 : 0;
}

void target_activity::record_refused(const std::string& target, wire::refusal_reason reason) {
    ++refused_[reason];
    if (!target.empty()) {
        ++intervals_[target].refused_[reason];
    }
}

bool target_activity::is_interval_over(base::instant now) const {
    return now - interval_began_at_ >= line_interval;
}

void target_activity::record_interval(const std::string& target, const target_load& load) {
    const interval ended = std::exchange(intervals_[target], {});
    const bool quiet = ended.started_ == 0 && ended.failed_ == 0 && ended.refused_.empty() &&
                       load.running_ == 0 && load.waiting_ == 0 && load.health_ == "healthy";
    if (quiet) {
        return;
    }
    std::vector<observe::event_field> fields = {
        {"target", target},
        {"started", std::to_string(ended.started_)},
        {"nested", std::to_string(ended.started_nested_)},
        {"failed", std::to_string(ended.failed_)},
        {"failed_trials", std::to_string(ended.failed_trials_)},
        {"deferred", std::to_string(ended.deferred_)},
        {"running", std::to_string(load.running_)},
        {"waiting", std::to_string(load.waiting_)},
        {"health", std::string(load.health_)}};
    for (const auto& [reason, count] : ended.refused_) {
        fields.push_back({"refused_" + wire::to_string(reason), std::to_string(count)});
    }
    events_.log("target_activity", fields);
}

void target_activity::begin_interval(base::instant now) {
    intervals_.clear();
    interval_began_at_ = now;
}

observe::labelled_counter target_activity::refused() const {
    observe::labelled_counter counter{"dandelionridge_attempts_refused_total",
                                      "Attempts that the target proxy refused, by reason.",
                                      "reason",
                                      {}};
    for (const auto& [reason, count] : refused_) {
        counter.values_.emplace(wire::to_string(reason), count);
    }
    return counter;
}

}  // namespace dandelionridge::node
