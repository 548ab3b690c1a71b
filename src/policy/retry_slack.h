// Divides the slack of the fleet's retry budget among the hosts.
//
// Pattern: randomised rounding. A host cannot use a part of a retry. If all hosts rounded their
// shares down, a large fleet would use little of its budget, or none.
#pragma once

#include <cstddef>

namespace dandelionridge::policy {

// Returns a host's share of the slack. `rounding` is a random number from 0 to 1 that each process
// keeps: raised by it and then rounded down, the shares of all hosts add up to the slack on
// average. Without slack the share is zero.
double host_retry_slack(double fleet_slack, std::size_t host_count, double rounding);

}  // namespace dandelionridge::policy
