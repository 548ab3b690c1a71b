// Weights by which organisations share slots.
#pragma once

#include <span>

namespace dandelionridge::policy {

// Weights are bounded, so that a very low rate, once it is raised, does not leave an organisation
// behind for thousands of runs.
inline constexpr double min_fair_weight = 0.01;
inline constexpr double max_fair_weight = 100;

// Returns the mean of the rates that limit an organisation, which are above 0; 0 if none does.
double mean_rate(std::span<const double> rates);

// Returns the weight of an organisation: its rate over the mean rate. One without a rate counts as
// the mean.
double fair_weight(double rate, double mean_rate);

}  // namespace dandelionridge::policy
