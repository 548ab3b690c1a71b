// What is remembered of targets that reported that they are leaving, and for how long.
#include <catch2/catch.hpp>
#include <chrono>

#include "policy/departures.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(1000)};

void expire(departures& known, std::optional<listed_target> listed, base::instant now) {
    expire_departures(
        known, [&](std::string_view) { return listed; }, now);
}

}  // namespace

TEST_CASE("a report of leaving holds for the target as it was started", "[policy]") {
    departures known;
    CHECK(record_departure(known, "t1", 100, start));
    CHECK_FALSE(record_departure(known, "t1", 100, start));
    CHECK(is_departing(known, "t1", 100));
    // A list that lags still shows an earlier start.
    CHECK(is_departing(known, "t1", 50));
    CHECK_FALSE(is_departing(known, "t1", 101));
    CHECK_FALSE(is_departing(known, "t2", 100));
    // The later one may leave too.
    CHECK(record_departure(known, "t1", 101, start));
    CHECK(is_departing(known, "t1", 101));
}

TEST_CASE("a report of leaving is kept while its target is listed with the same start",
          "[policy]") {
    departures known;
    record_departure(known, "t1", 100, start);
    const base::instant much_later = start + 10 * departure_retention;
    expire(known, listed_target{100, false}, much_later);
    expire(known, listed_target{100, true}, much_later);
    // A target whose entry has lapsed may still be there, and its entry may come back.
    expire(known, std::nullopt, start + departure_retention);
    CHECK(is_departing(known, "t1", 100));
    SECTION("until it is started again") {
        expire(known, listed_target{200, false}, start);
        CHECK(known.by_target_.empty());
    }
    SECTION("until it has been unlisted for long") {
        expire(known, std::nullopt, start + departure_retention + base::seconds(1));
        CHECK(known.by_target_.empty());
    }
}

TEST_CASE("where starts are unknown, a target may return after it was listed as leaving or gone",
          "[policy]") {
    departures known;
    record_departure(known, "t1", 0, start);
    expire(known, listed_target{0, false}, start);
    CHECK(is_departing(known, "t1", 0));
    SECTION("listed as leaving") {
        expire(known, listed_target{0, true}, start);
        CHECK_FALSE(is_departing(known, "t1", 0));
    }
    SECTION("not listed") {
        expire(known, std::nullopt, start);
        CHECK_FALSE(is_departing(known, "t1", 0));
    }
}
