#include "node/target_locality.h"

#include <algorithm>
#include <cmath>

namespace dandelionridge::node {

namespace {

std::string percent_text(double share) {
    constexpr double percent = 100;
    return std::to_string(std::lround(share * percent));
}

}  // namespace

bool has_several_regions(const config::rule_set& rules) {
    return std::any_of(rules.zones_.begin(), rules.zones_.end(), [&](const auto& zone) {
        return zone.region_ != rules.zones_.front().region_;
    });
}

target_locality::target_locality(net::event_loop& loop, observe::event_log& events)
    : loop_(loop), events_(events) {}

std::optional<policy::target_choice> target_locality::choose(
    const std::string& service, std::span<const policy::candidate> candidates,
    policy::choice_criteria criteria, const policy::locality_limits& limits,
    base::random_engine& random) {
    service_entry& entry = services_[service];
    criteria.body_bytes_ += policy::expected_response_bytes(entry.response_sizes_, criteria.kind_);
    const policy::locality_choice choice = policy::choose_by_locality(
        entry.state_, candidates, criteria, limits, loop_.clock().now(), random);
    log_change(service, "zone", entry.state_.zone_, entry.zone_spills_);
    log_change(service, "region", entry.state_.region_, entry.region_spills_);
    if (choice.target_) {
        ++chosen_.at(static_cast<std::size_t>(candidates[choice.target_->index_].distance_));
        entry.spilled_ += choice.spilled_ ? 1 : 0;
    }
    return choice.target_;
}

void target_locality::record_response(const std::string& service, policy::run_kind kind,
                                      double bytes) {
    policy::record_response_size(services_[service].response_sizes_, kind, bytes);
}

void target_locality::record_body_withheld(const std::string& service, const std::string& target) {
    ++bodies_withheld_;
    events_.log("body_withheld", {{"service", service}, {"target", target}});
}

observe::labelled_counter target_locality::bodies_waited() const {
    return {"dandelionridge_bodies_waited_total",
            "Request bodies that waited for a slot beyond a border, by end.",
            "end",
            {{"granted", bodies_granted_}, {"withheld", bodies_withheld_}}};
}

void target_locality::log_change(const std::string& service, const char* border,
                                 const policy::spill_share& spill, bool& spills) {
    const bool spills_now = spill.share_ > 0;
    if (spills_now == spills) {
        return;
    }
    spills = spills_now;
    events_.log(spills ? "spill_started" : "spill_ended",
                {{"service", service},
                 {"border", border},
                 {"share_percent", percent_text(spill.share_)},
                 {"demand_slots", std::to_string(std::lround(spill.demand_))}});
}

observe::labelled_counter target_locality::chosen() const {
    return {"dandelionridge_targets_chosen_total",
            "Targets chosen by locality, by distance.",
            "distance",
            {{"same_zone", chosen_[0]}, {"same_region", chosen_[1]}, {"other_region", chosen_[2]}}};
}

observe::labelled_counter target_locality::spilled() const {
    observe::labelled_counter counter{
        "dandelionridge_region_spill_total",
        "Requests sent to another region while their own had usable targets.",
        "service",
        {}};
    for (const auto& [service, entry] : services_) {
        counter.values_.emplace(service, entry.spilled_);
    }
    return counter;
}

}  // namespace dandelionridge::node
