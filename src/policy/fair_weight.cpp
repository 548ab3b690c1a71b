#include "policy/fair_weight.h"

#include <algorithm>
#include <cstddef>

namespace dandelionridge::policy {

double mean_rate(std::span<const double> rates) {
    double sum = 0;
    std::size_t limited = 0;
    for (const double rate : rates) {
        if (rate > 0) {
            sum += rate;
            ++limited;
        }
    }
    return limited == 0 ? 0 : sum / static_cast<double>(limited);
}

double fair_weight(double rate, double mean_rate) {
    if (rate <= 0 || mean_rate <= 0) {
        return 1;
    }
    return std::clamp(rate / mean_rate, min_fair_weight, max_fair_weight);
}

}  // namespace dandelionridge::policy
