#include "node/choice_log.h"

#include <utility>
#include <vector>

namespace dandelionridge::node {

namespace {

constexpr base::duration line_interval = base::seconds(1);

}  // namespace

choice_log::choice_log(net::event_loop& loop, observe::event_log& events)
    : loop_(loop), events_(events), interval_timer_(loop) {
    interval_timer_.start(line_interval, [this] { end_interval(); });
}

void choice_log::record_choice(const std::string& service,
                               const policy::availability_counts& counts, bool found,
                               double min_share) {
    for (std::size_t i = 0; i < counts.size(); ++i) {
        passed_over_.at(i) += counts.at(i);
    }
    const bool is_short = policy::is_short(counts, min_share);
    interval& current = intervals_[service];
    ++current.choices_;
    current.without_target_ += found ? 0 : 1;
    current.short_of_targets_ += is_short ? 1 : 0;
    if (!found || is_short) {
        current.last_counts_ = counts;
    }
}

void choice_log::record_retry_denied(const std::string& service) {
    ++retries_denied_[service];
    ++intervals_[service].retries_denied_;
}

observe::labelled_counter choice_log::passed_over() const {
    observe::labelled_counter counter{"dandelionridge_targets_passed_over_total",
                                      "Targets passed over in choices, by reason.",
                                      "reason",
                                      {}};
    for (std::size_t i = 0; i < passed_over_.size(); ++i) {
        const auto reason = static_cast<policy::target_availability>(i);
        if (reason != policy::target_availability::available) {
            counter.values_.emplace(policy::to_text(reason), passed_over_.at(i));
        }
    }
    return counter;
}

observe::labelled_counter choice_log::retries_denied() const {
    return {"dandelionridge_retries_denied_total", "Retries for which no budget was left.",
            "service", retries_denied_};
}

void choice_log::record_interval(const std::string& service, const interval& ended) {
    std::vector<observe::event_field> fields = {
        {"service", service},
        {"choices", std::to_string(ended.choices_)},
        {"without_target", std::to_string(ended.without_target_)},
        {"short_of_targets", std::to_string(ended.short_of_targets_)},
        {"retries_denied", std::to_string(ended.retries_denied_)}};
    for (std::size_t i = 0; i < ended.last_counts_.size(); ++i) {
        if (ended.last_counts_.at(i) > 0) {
            fields.push_back(
                {std::string(policy::to_text(static_cast<policy::target_availability>(i))),
                 std::to_string(ended.last_counts_.at(i))});
        }
    }
    events_.record(loop_.clock().wall_ms(), "targets_short", std::move(fields));
}

void choice_log::end_interval() {
    for (const auto& [service, ended] : std::exchange(intervals_, {})) {
        if (ended.without_target_ + ended.short_of_targets_ + ended.retries_denied_ > 0) {
            record_interval(service, ended);
        }
    }
    interval_timer_.start(line_interval, [this] { end_interval(); });
}

}  // namespace dandelionridge::node
