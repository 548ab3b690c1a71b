// What a target proxy did with the attempts for its targets is counted and logged once a second.
#include <catch2/catch.hpp>

#include "node/run_failure.h"
#include "node/target_activity.h"

using namespace dandelionridge;
using namespace dandelionridge::node;

namespace {

const base::instant start{base::seconds(1000)};

}  // namespace

// Guards against: refused attempts are not told apart by reason.
TEST_CASE("refused attempts are counted by reason") {
    observe::event_log events({"host-a", "zone-a", 1});
    target_activity activity(events);
    activity.record_refused("target-1", wire::refusal_reason::target_busy);
    activity.record_refused("", wire::refusal_reason::wrong_boot);
    activity.record_refused("target-1", wire::refusal_reason::target_busy);
    const auto counted = activity.refused().values_;
    CHECK(counted.at("target_busy") == 2);
    CHECK(counted.at("wrong_boot") == 1);
}

// Guards against: a line for each attempt, or frequent lines that displace the kept events.
TEST_CASE("an interval of activity lasts a second and keeps no event") {
    observe::event_log events({"host-a", "zone-a", 1});
    target_activity activity(events);
    activity.begin_interval(start);
    activity.record_started("target-1", true);
    CHECK_FALSE(activity.is_interval_over(start + base::milliseconds(900)));
    CHECK(activity.is_interval_over(start + base::seconds(1)));
    activity.record_interval("target-1", {1, 0, "healthy"});
    CHECK(events.events().empty());
}

// Guards against: an ejection that does not say which runs led to it, or a list without bound.
TEST_CASE("the last failed runs of a target are described") {
    run_failures failures;
    for (int i = 0; i < 10; ++i) {
        failures.add({"request-" + std::to_string(i), run_failure_cause::overdue,
                      base::milliseconds(100 * i), base::milliseconds(40)});
    }
    const std::string text = failures.to_text();
    CHECK(text.find("request-5") == std::string::npos);
    CHECK(text.find("request-9 overdue after 900 ms, a call failed 40 ms before") !=
          std::string::npos);
}
