#include "node/target_views.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dandelionridge::node {

namespace {

// Time constant, in seconds, of the exponential decay of the load that others had at the report.
constexpr double load_decay_s = 1.0;
// A target without attempts in progress is removed this long after its last report.
constexpr base::duration max_report_age = base::seconds(60);

}  // namespace

void target_views::record(const wire::target_report& report, base::instant now) {
    if (report.target.empty()) {
        return;
    }
    target_view& view = views_[report.target];
    view.report_ = report;
    view.reported_at_ = now;
    view.in_flight_at_report_ = view.in_flight_;
}

void target_views::begin_attempt(const std::string& target) {
    target_view& view = views_[target];
    ++view.in_flight_;
    view.report_.idle = false;
}

void target_views::end_attempt(const std::string& target) {
    target_view& view = views_[target];
    view.in_flight_ = std::max(0, view.in_flight_ - 1);
}

const target_view* target_views::find(const std::string& target) const {
    const auto found = views_.find(target);
    return found == views_.end() ? nullptr : &found->second;
}

double target_views::load_of(const std::string& target, base::instant now) const {
    const target_view* view = find(target);
    if (view == nullptr) {
        return 0;
    }
    const std::chrono::duration<double> age = now - view->reported_at_;
    const int reported = view->report_.running + view->report_.waiting;
    const double others_load = std::max(0, reported - view->in_flight_at_report_);
    return view->in_flight_ + others_load * std::exp(-age.count() / load_decay_s);
}

std::optional<double> target_views::reported_load_of(const std::string& target) const {
    const target_view* view = find(target);
    if (view == nullptr || view->report_.target.empty()) {
        return std::nullopt;
    }
    const int reported = view->report_.running + view->report_.waiting;
    return view->in_flight_ + std::max(0, reported - view->in_flight_at_report_);
}

void target_views::expire_stale(base::instant now) {
    std::erase_if(views_, [&](const auto& entry) {
        return entry.second.in_flight_ == 0 && now - entry.second.reported_at_ > max_report_age;
    });
}

}  // namespace dandelionridge::node
