// The shares of the hosts in the slack of the fleet's retry budget.
#include <catch2/catch.hpp>
#include <cstddef>

#include "base/random.h"
#include "policy/retry.h"
#include "policy/retry_slack.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(1000)};
constexpr double fleet_slack = 200;

// Returns how many retries the hosts of a fleet are granted within a window without requests.
int retries_granted(double slack, std::size_t host_count, base::random_engine& random) {
    int granted = 0;
    for (std::size_t host = 0; host < host_count; ++host) {
        const double rounding = static_cast<double>(base::random_below(random, 1000)) / 1000;
        const retry_limits limits{0, host_retry_slack(slack, host_count, rounding),
                                  base::seconds(10)};
        retry_budget budget;
        while (claim_retry(budget, limits, 1, start)) {
            ++granted;
        }
    }
    return granted;
}

}  // namespace

// Guards against: a fleet whose hosts had less than one retry each used none of its budget, so that
// reads ended with the first failure of a target.
TEST_CASE("a fleet of any size uses the slack of its retry budget and not much more") {
    base::random_engine random(1);
    for (const std::size_t host_count : {1U, 3U, 21U, 89U, 150U, 234U, 1000U, 5000U}) {
        CAPTURE(host_count);
        const int granted = retries_granted(fleet_slack, host_count, random);
        CHECK(granted > fleet_slack * 3 / 4);
        CHECK(granted < fleet_slack * 5 / 4);
    }
}

// Guards against: hosts retry although the budget has no slack at all.
TEST_CASE("without slack no host is granted a retry") {
    base::random_engine random(1);
    CHECK(retries_granted(0, 234, random) == 0);
}
