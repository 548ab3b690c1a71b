#include "policy/retry_slack.h"

#include <algorithm>

namespace dandelionridge::policy {

double host_retry_slack(double fleet_slack, std::size_t host_count, double rounding) {
    if (fleet_slack <= 0) {
        return 0;
    }
    return fleet_slack / static_cast<double>(std::max<std::size_t>(1, host_count)) + rounding;
}

}  // namespace dandelionridge::policy
