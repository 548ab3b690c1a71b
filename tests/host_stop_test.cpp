// Which requests the target beside a stopping process gets, alone and while many processes are
// restarted one after the other.
#include "policy/host_stop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "policy/balance.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(100)};

constexpr int slots = 4;
constexpr base::duration run = base::milliseconds(600);
constexpr base::duration stop_bound = base::seconds(6);
// Time that a stopping process lives: its callers' open requests keep it that long.
constexpr base::duration stop_duration = base::milliseconds(5200);
constexpr base::duration start_duration = base::milliseconds(500);
constexpr base::duration step = base::milliseconds(5);

// A target and the process beside it.
struct simulated_host {
    base::instant stops_at_ = base::instant::max();
    // The target leaves with its process.
    bool leaves_ = false;
    std::vector<base::instant> run_ends_;
    base::instant last_run_at_ = start;
    base::duration longest_idle_time_{};
    // What the caller proxies know of the stop.
    host_stop known_;
};

bool is_stopping(const simulated_host& host, base::instant now) {
    return host.stops_at_ <= now && now < host.stops_at_ + stop_duration;
}

bool is_down(const simulated_host& host, base::instant now) {
    return now >= host.stops_at_ + stop_duration &&
           (host.leaves_ || now < host.stops_at_ + stop_duration + start_duration);
}

struct simulation {
    std::vector<simulated_host> hosts_;
    base::random_engine random_{3};
    int refused_ = 0;
    int refused_beside_free_slot_ = 0;
    int cut_ = 0;
};

std::vector<candidate> make_candidates(const simulation& fleet, base::instant now,
                                       bool idempotent) {
    std::vector<candidate> targets;
    for (const simulated_host& host : fleet.hosts_) {
        const stop_state stop = state_of(host.known_, now);
        candidate target;
        target.slots_ = slots;
        target.run_duration_ = run;
        target.suspicion_ = 0.01;
        target.load_ = static_cast<double>(host.run_ends_.size());
        target.stopping_ = stop != stop_state::none;
        const bool leaving = host.leaves_ && host.stops_at_ <= now;
        target.excluded_ = leaving || is_down(host, now) || is_closed_to(stop, idempotent);
        targets.push_back(target);
    }
    return targets;
}

bool takes(const simulated_host& host, base::instant now, bool idempotent) {
    const bool leaving = host.leaves_ && host.stops_at_ <= now;
    if (leaving || is_down(host, now)) {
        return false;
    }
    return !is_stopping(host, now) ||
           takes_run_while_stopping({drain_times_for(stop_bound), host.stops_at_},
                                    {run, idempotent}, now);
}

bool any_takes(const simulation& fleet, base::instant now, bool idempotent) {
    return std::any_of(fleet.hosts_.begin(), fleet.hosts_.end(), [&](const simulated_host& host) {
        return host.run_ends_.size() < slots && takes(host, now, idempotent);
    });
}

// Sends one request, which tries several targets and is refused if none of them takes it.
void send(simulation& fleet, base::instant now, bool idempotent) {
    constexpr int max_attempts = 10;
    std::vector<candidate> targets = make_candidates(fleet, now, idempotent);
    choice_criteria criteria{.idempotent_ = idempotent};
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto choice = choose_target(targets, criteria, fleet.random_);
        if (!choice) {
            break;
        }
        simulated_host& host = fleet.hosts_[choice->index_];
        targets[choice->index_].excluded_ = true;
        if (!takes(host, now, idempotent)) {
            record_stop_refusal(host.known_, idempotent, now, now + stop_bound);
            continue;
        }
        if (host.run_ends_.size() >= slots) {
            criteria.found_busy_ = true;
            continue;
        }
        host.run_ends_.push_back(now + run);
        host.last_run_at_ = now;
        return;
    }
    ++fleet.refused_;
    fleet.refused_beside_free_slot_ += any_takes(fleet, now, idempotent) ? 1 : 0;
}

void advance(simulation& fleet, base::instant now) {
    for (simulated_host& host : fleet.hosts_) {
        std::erase_if(host.run_ends_, [&](base::instant end) { return end <= now; });
        if (now >= host.stops_at_ && now - host.stops_at_ < step) {
            record_stop_notice(host.known_, now, now + stop_bound);
        }
        if (now - (host.stops_at_ + stop_duration) < step &&
            now >= host.stops_at_ + stop_duration) {
            fleet.cut_ += static_cast<int>(host.run_ends_.size());
            host.run_ends_.clear();
        }
        const bool back = now >= host.stops_at_ + stop_duration + start_duration;
        if (back) {
            host.known_ = {};
        }
        if (!host.leaves_ && now - start > base::seconds(2)) {
            host.longest_idle_time_ = std::max(host.longest_idle_time_, now - host.last_run_at_);
        }
    }
}

}  // namespace

TEST_CASE("a host announces when it begins to stop and when it takes no more attempts",
          "[policy][host-stop]") {
    const base::instant valid_until = start + base::seconds(10);
    host_stop host;
    CHECK(state_of(host, start) == stop_state::none);
    record_stop_notice(host, start, valid_until);
    CHECK(state_of(host, start) == stop_state::stopping);
    CHECK_FALSE(is_closed_to(stop_state::stopping, false));
    record_stop_refusal(host, false, start, valid_until);
    CHECK(is_closed_to(state_of(host, start), false));
    CHECK_FALSE(is_closed_to(state_of(host, start), true));
    record_stop_refusal(host, true, start, valid_until);
    CHECK(is_closed_to(state_of(host, start), true));
    // A refusal of what is refused first does not open the host again.
    record_stop_refusal(host, false, start, valid_until);
    CHECK(state_of(host, start) == stop_state::closed);
    CHECK(state_of(host, valid_until) == stop_state::none);
    host = {};
    record_stop_notice(host, start, valid_until);
    record_stop_notice(host, start, valid_until);
    CHECK(state_of(host, start) == stop_state::closed);
    record_stop_notice(host, valid_until, valid_until + base::seconds(10));
    CHECK(state_of(host, valid_until) == stop_state::stopping);
}

TEST_CASE("a run that a stopping process takes ends before the process does",
          "[policy][host-stop]") {
    for (const int bound_s : {2, 6, 10, 30}) {
        const planned_stop stop{drain_times_for(base::seconds(bound_s)), start};
        for (const int run_ms : {0, 50, 200, 750, 2000, 20'000}) {
            const base::duration expected = base::milliseconds(run_ms);
            INFO(bound_s << " s, runs of " << run_ms << " ms");
            for (int percent = 0; percent < 100; ++percent) {
                const base::instant now = start + base::seconds(bound_s) * percent / 100;
                if (takes_run_while_stopping(stop, {expected, false}, now)) {
                    CHECK(now + 2 * expected <= run_deadline(stop));
                    CHECK(takes_run_while_stopping(stop, {expected, true}, now));
                }
                if (takes_run_while_stopping(stop, {expected, true}, now)) {
                    CHECK(now < start + stop.times_.accept_nested_until_);
                    CHECK(now + expected * 3 / 2 <= run_deadline(stop));
                }
            }
        }
        CHECK(takes_run_while_stopping(stop, {base::seconds(bound_s) / 4, false}, start));
    }
}

TEST_CASE("a target beside a stopping process gets requests that find no other free slot",
          "[policy][host-stop]") {
    base::random_engine random(7);
    std::vector<candidate> targets(3);
    for (candidate& target : targets) {
        target.run_duration_ = run;
        target.slots_ = slots;
        target.load_ = slots - 1;
    }
    targets[0].stopping_ = true;
    targets[0].load_ = 0;
    targets[2].excluded_ = true;
    CHECK(choose_target(targets, {}, random)->index_ == 1U);
    // Another target was found busy, so what is known of free slots is outdated.
    targets[1].load_ = 2;
    CHECK(choose_target(targets, {}, random)->index_ == 1U);
    CHECK(choose_target(targets, {.found_busy_ = true}, random)->index_ == 0U);
    targets[1].load_ = slots + 2;
    CHECK(choose_target(targets, {}, random)->index_ == 0U);
    // Where the wait is longer, it is not used either.
    targets[0].load_ = slots + 6;
    CHECK(choose_target(targets, {}, random)->index_ == 1U);
    // It goes before a target that is out of rotation.
    targets[1].ejected_ = true;
    CHECK(choose_target(targets, {}, random)->index_ == 0U);
    targets[0].excluded_ = true;
    CHECK(choose_target(targets, {}, random)->index_ == 1U);
    targets[0].excluded_ = false;
    targets[1].excluded_ = true;
    CHECK(choose_target(targets, {}, random)->index_ == 0U);
}

// Guards against: the target beside a stopping process got no request from the signal on, so a
// series of restarts took as many targets out of use as stopped at a time, while the others were
// overloaded.
TEST_CASE("targets stay in use while their processes are restarted in series",
          "[policy][host-stop][promise-floor]") {
    constexpr int host_count = 24;
    constexpr base::duration restart_interval = base::milliseconds(500);
    // More than the targets can run, even all of them together.
    constexpr base::duration request_interval = base::milliseconds(5);
    constexpr base::duration max_idle_time = base::seconds(2);
    simulation fleet;
    fleet.hosts_.resize(host_count);
    for (int i = 0; i < host_count; ++i) {
        simulated_host& host = fleet.hosts_[static_cast<std::size_t>(i)];
        host.stops_at_ = start + base::seconds(3) + i * restart_interval;
        host.leaves_ = i % 2 == 1;
    }
    const base::instant end = start + base::seconds(3) + host_count * restart_interval;
    int sent = 0;
    for (base::instant now = start; now < end; now += request_interval) {
        advance(fleet, now);
        send(fleet, now, ++sent % 4 == 0);
    }
    CHECK(fleet.cut_ == 0);
    for (const simulated_host& host : fleet.hosts_) {
        CHECK(host.longest_idle_time_ < max_idle_time);
    }
    INFO(fleet.refused_ << " of " << sent << " refused");
    CHECK(fleet.refused_ > 0);
    CHECK(fleet.refused_beside_free_slot_ * 100 <= sent);
}
