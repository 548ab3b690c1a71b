// Admission during a planned stop, and idle connections of a target.
#include <catch2/catch.hpp>

#include "policy/drain.h"
#include "policy/idle_connection.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

TEST_CASE("what a stopping process accepts can end before the process does", "[policy][drain]") {
    for (const int bound_s : {2, 6, 10, 30}) {
        const base::duration bound = base::seconds(bound_s);
        const drain_times times = drain_times_for(bound);
        CHECK(times.accept_until_ < times.respond_by_);
        CHECK(times.accept_nested_until_ < times.runs_end_by_);
        // Targets get at least five sixths of the time.
        CHECK(6 * times.runs_end_by_ > 5 * bound);
        CHECK(times.runs_end_by_ < times.respond_by_);
        CHECK(times.respond_by_ < times.exit_by_);
        CHECK(times.exit_by_ < bound);
        for (const int run_ms : {0, 50, 200, 750, 2000, 20'000}) {
            const base::duration run = base::milliseconds(run_ms);
            INFO(bound_s << " s, runs of " << run_ms << " ms");
            // Beyond the time in which callers cannot know of the stop, a run has time to end.
            for (int percent = 30; percent < 100; ++percent) {
                const base::duration elapsed = bound * percent / 100;
                if (accepts_while_draining(times, elapsed, run, false)) {
                    CHECK(elapsed + 4 * run <= times.runs_end_by_);
                }
            }
            CHECK(accepts_while_draining(times, bound / 4, run, false));
            CHECK_FALSE(accepts_while_draining(times, bound / 2, run, false));
        }
    }
}

TEST_CASE("all times of a planned stop follow its bound", "[policy][drain]") {
    const drain_times times = drain_times_for(base::seconds(6));
    const drain_times twice = drain_times_for(base::seconds(12));
    CHECK(twice.accept_until_ == 2 * times.accept_until_);
    CHECK(twice.accept_nested_until_ == 2 * times.accept_nested_until_);
    CHECK(twice.runs_end_by_ == 2 * times.runs_end_by_);
    CHECK(twice.respond_by_ == 2 * times.respond_by_);
    CHECK(twice.exit_by_ == 2 * times.exit_by_);
}

TEST_CASE("a stopping process accepts nested requests for longer", "[policy][drain]") {
    const drain_times times = drain_times_for(base::seconds(6));
    const base::duration late = base::milliseconds(4000);
    CHECK(accepts_while_draining(times, late, base::milliseconds(100), true));
    CHECK_FALSE(accepts_while_draining(times, late, base::milliseconds(100), false));
    CHECK_FALSE(accepts_while_draining(times, late, base::milliseconds(2000), true));
}

TEST_CASE("late in a stop only runs begin that can end before it", "[policy][drain]") {
    const base::instant start = base::instant{} + base::seconds(100);
    const planned_stop stop{drain_times_for(base::seconds(10)), start};
    CHECK(run_ends_in_time(stop, base::seconds(2), start));
    CHECK_FALSE(run_ends_in_time(stop, base::seconds(2), start + base::seconds(1)));
    CHECK(run_ends_in_time(stop, base::milliseconds(100), start + base::seconds(7)));
    CHECK(run_ends_in_time(stop, base::duration::zero(), start + base::seconds(8)));
    CHECK_FALSE(run_ends_in_time(stop, base::duration::zero(), run_deadline(stop)));
    CHECK(run_deadline(stop) < start + stop.times_.respond_by_);
}

TEST_CASE("a short stop does not wait for callers longer than it may", "[policy][drain]") {
    CHECK(listening_time(drain_times_for(base::seconds(10)), base::milliseconds(2200)) ==
          base::milliseconds(2200));
    CHECK(listening_time(drain_times_for(base::seconds(2)), base::milliseconds(2200)) ==
          base::seconds(1));
}

TEST_CASE("a dropped connection shortens the reuse of idle ones for a while",
          "[policy][idle-connection]") {
    idle_connection_limit limit;
    const base::instant start = base::instant{} + base::seconds(100);
    const base::duration usual = base::seconds(5);
    CHECK(reusable_idle_time(limit, usual, start) == usual);
    record_dropped(limit, base::milliseconds(800), start);
    CHECK(reusable_idle_time(limit, usual, start) == base::milliseconds(400));
    record_dropped(limit, base::seconds(2), start);
    CHECK(reusable_idle_time(limit, usual, start) == base::milliseconds(400));
    CHECK(reusable_idle_time(limit, base::milliseconds(300), start) == base::milliseconds(300));
    CHECK(reusable_idle_time(limit, usual, start + base::seconds(11)) == usual);
    CHECK_FALSE(was_dropped_while_idle(base::milliseconds(20)));
    CHECK(was_dropped_while_idle(base::milliseconds(400)));
}
