#include "policy/departures.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

bool has_expired(const departure& report, const std::optional<listed_target>& listed,
                 base::instant now) {
    const bool start_unknown = report.started_ms_ == 0;
    if (!listed) {
        return start_unknown || now - report.reported_at_ > departure_retention;
    }
    return listed->started_ms_ > report.started_ms_ || (start_unknown && listed->leaving_);
}

}  // namespace

bool record_departure(departures& known, std::string_view target, std::int64_t started_ms,
                      base::instant now) {
    if (is_departing(known, target, started_ms)) {
        return false;
    }
    known.by_target_.insert_or_assign(std::string(target), departure{started_ms, now});
    return true;
}

bool is_departing(const departures& known, std::string_view target, std::int64_t started_ms) {
    const auto found = known.by_target_.find(target);
    return found != known.by_target_.end() && started_ms <= found->second.started_ms_;
}

void expire_departures(
    departures& known,
    const std::function<std::optional<listed_target>(std::string_view target)>& find_listed,
    base::instant now) {
    std::erase_if(known.by_target_, [&](const auto& entry) {
        return has_expired(entry.second, find_listed(entry.first), now);
    });
}

}  // namespace dandelionridge::policy
