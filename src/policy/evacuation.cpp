#include "policy/evacuation.h"

#include <algorithm>
#include <iterator>

namespace dandelionridge::policy {

namespace {

// Bounds the memory that withdrawn evacuations take.
constexpr std::size_t max_withdrawn = 1000;

zone_set difference(const zone_set& left, const zone_set& right) {
    zone_set result;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                        std::inserter(result, result.end()));
    return result;
}

zone_set intersection(const zone_set& left, const zone_set& right) {
    zone_set result;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                          std::inserter(result, result.end()));
    return result;
}

void update_in_force(evacuations& known) {
    known.in_force_ = difference(known.listed_, known.outdated_);
    known.in_force_.insert(known.held_.begin(), known.held_.end());
}

// Records which zones were asked for and withdrawn between two lists of the same copy.
void record_changes(evacuations& known, const zone_set& listed) {
    if (known.withdrawn_.size() > max_withdrawn) {
        known.withdrawn_.clear();
    }
    for (const std::string& zone : difference(listed, known.listed_)) {
        known.withdrawn_.erase(zone);
        known.held_.erase(zone);
    }
    for (const std::string& zone : difference(known.listed_, listed)) {
        known.withdrawn_.insert(zone);
        known.outdated_.erase(zone);
    }
}

}  // namespace

void apply_list(evacuations& known, const zone_set& listed, std::int64_t restores) {
    if (known.restores_ >= 0 && restores > known.restores_) {
        known.held_ = difference(known.in_force_, listed);
        known.outdated_ = intersection(listed, known.withdrawn_);
    } else {
        record_changes(known, listed);
    }
    known.listed_ = listed;
    known.restores_ = restores;
    update_in_force(known);
}

void end_restore(evacuations& known) {
    known.withdrawn_.insert(known.held_.begin(), known.held_.end());
    known.withdrawn_ = difference(known.withdrawn_, known.listed_);
    known.held_.clear();
    known.outdated_.clear();
    update_in_force(known);
}

bool follows_list(const evacuations& known) {
    return known.held_.empty() && known.outdated_.empty();
}

evacuation_changes changes_between(const zone_set& before, const zone_set& after) {
    return {difference(after, before), difference(before, after)};
}

}  // namespace dandelionridge::policy
