// The shares of the hosts in the fleet's retry budget, rounded at random.
#include <catch2/catch.hpp>
#include <cstddef>

#include "base/random.h"
#include "policy/retry.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(1000)};
constexpr double fleet_slack = 200;

// Returns how many retries of that share the hosts of a fleet are granted within a window, each
// after as many requests.
int retries_granted(const retry_limits& fleet_limits, double share, std::size_t host_count,
                    int requests, base::random_engine& random) {
    int granted = 0;
    for (std::size_t host = 0; host < host_count; ++host) {
        retry_limits limits = fleet_limits;
        limits.slack_ /= static_cast<double>(host_count);
        limits.rounding_ = static_cast<double>(base::random_below(random, 1000)) / 1000;
        retry_budget budget;
        for (int i = 0; i < requests; ++i) {
            record_request(budget, limits, 0, start);
        }
        while (claim_retry(budget, limits, share, start)) {
            ++granted;
        }
    }
    return granted;
}

}  // namespace

// Guards against: a fleet whose hosts had less than one retry each used none of its budget, so that
// reads ended with the first failure of a target; or shares that are rounded up, so that a large
// fleet exceeds its budget.
TEST_CASE("a fleet of any size uses each share of its retry budget and not much more") {
    base::random_engine random(1);
    for (const std::size_t host_count : {1U, 3U, 21U, 89U, 150U, 234U, 1000U, 5000U}) {
        // Shares of the budget that ordinary, nested and trial requests may use.
        for (const double share :
             {usable_budget_share(false), usable_budget_share(true), trial_budget_share}) {
            for (const int requests : {0, 3}) {
                CAPTURE(host_count, share, requests);
                const retry_limits limits{0.1, fleet_slack, base::seconds(10)};
                const double requests_of_fleet = requests * static_cast<double>(host_count);
                const double budget = share * (limits.ratio_ * requests_of_fleet + fleet_slack);
                const int granted = retries_granted(limits, share, host_count, requests, random);
                CHECK(granted > budget * 3 / 4);
                CHECK(granted < budget * 5 / 4);
            }
        }
    }
}

// Guards against: hosts retry although the budget allows none at all.
TEST_CASE("without a budget no host is granted a retry") {
    base::random_engine random(1);
    CHECK(retries_granted({0, 0, base::seconds(10)}, 1, 234, 10, random) == 0);
}
