#include "node/organisation_weights.h"

#include <algorithm>
#include <vector>

#include "policy/fair_weight.h"

namespace dandelionridge::node {

std::vector<observe::event_field> organisation_weights::update(const config::rules_ptr& rules) {
    if (rules_ == rules) {
        return {};
    }
    std::vector<double> rates;
    rates.reserve(rules->organisations_.size());
    for (const auto& [name, rule] : rules->organisations_) {
        rates.push_back(rule.rate_);
    }
    const auto limited = static_cast<std::size_t>(
        std::count_if(rates.begin(), rates.end(), [](double rate) { return rate > 0; }));
    const double mean = policy::mean_rate(rates);
    const bool changed = mean != mean_rate_ || limited != limited_;
    mean_rate_ = mean;
    limited_ = limited;
    rules_ = rules;
    if (!changed) {
        return {};
    }
    return {{"rules", std::to_string(rules->version_)},
            {"mean_rate_per_s", std::to_string(mean)},
            {"organisations_with_rate", std::to_string(limited)},
            {"organisations", std::to_string(rates.size())}};
}

double organisation_weights::weight_of(const config::rules_ptr& rules,
                                       const std::string& organisation) {
    update(rules);
    const auto rule = rules->organisations_.find(organisation);
    return rule == rules->organisations_.end()
               ? 1
               : policy::fair_weight(rule->second.rate_, mean_rate_);
}

observe::labelled_counter organisation_weights::started() const {
    return {"dandelionridge_organisation_runs_total", "Runs started at this host's targets.",
            "organisation", started_};
}

}  // namespace dandelionridge::node
