// A service of many targets of which three in ten fail by turns, beside frozen hosts, and
// callers that retry within their share of the fleet's budget. Without network.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"
#include "policy/balance.h"
#include "policy/idle_target.h"
#include "policy/retry.h"
#include "policy/target_health.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

constexpr std::size_t host_count = 234;
constexpr std::size_t target_count = 85;
// Two in five hosts are frozen, with the targets beside them.
constexpr std::size_t running_hosts = host_count * 3 / 5;
constexpr std::size_t running_targets = target_count * 3 / 5;
constexpr int requests_per_s = 82;
constexpr int nested_requests_per_s = 95;
constexpr std::uint64_t failing_percent = 30;
constexpr std::uint64_t failure_percent = 85;
constexpr base::duration turn_duration = base::seconds(9);
constexpr base::duration run_duration = base::milliseconds(500);
constexpr base::duration step = base::milliseconds(1);
constexpr int max_attempts = 3;
constexpr base::duration simulated_time = base::seconds(30);
// The share of a service's requests above which it counts as impaired.
constexpr double max_failed_share = 0.1;
// What the callers of a host may use: half of the fleet's ratio and of its share of the slack.
constexpr retry_limits limits{0.2 / 2, 430.0 / 2 / host_count, base::seconds(10)};

struct simulated_target {
    target_health health_;
    idle_target idle_;
    base::instant turn_ends_at_{};
    bool failing_ = false;
    // End of the trial that runs, if one does.
    base::instant trial_ends_at_{};
};

struct served_counts {
    int served_ = 0;
    int failed_ = 0;
    // Runs that targets on trial failed.
    int failed_trials_ = 0;
};

class simulated_service {
public:
    explicit simulated_service(std::uint64_t seed) : random_(seed) {
        clock_.pause();
        for (simulated_target& target : targets_) {
            target.idle_.last_run_at_ = clock_.now();
            begin_turn(target);
            // The turns of the targets do not begin at the same time.
            target.turn_ends_at_ -=
                base::milliseconds(static_cast<std::int64_t>(base::random_below(random_, 9000)));
        }
    }

    void run(base::duration duration) {
        const base::instant end = clock_.now() + duration;
        while (clock_.now() < end) {
            advance_targets();
            const std::uint64_t draw = base::random_below(random_, 1000);
            if (draw < requests_per_s + nested_requests_per_s) {
                handle_request(draw >= requests_per_s);
            }
            clock_.advance(step);
        }
    }

    // Counts of the requests that are not nested.
    served_counts counts_;
    // Longest time between two runs of a target.
    base::duration longest_idle_time_{};

private:
    void begin_turn(simulated_target& target) {
        target.turn_ends_at_ = clock_.now() + turn_duration;
        target.failing_ = base::random_below(random_, 100) < failing_percent;
    }

    void advance_targets() {
        const base::instant now = clock_.now();
        for (simulated_target& target : targets_) {
            if (target.turn_ends_at_ <= now) {
                begin_turn(target);
            }
            if (target.health_.trial_running_ && target.trial_ends_at_ <= now) {
                record_outcome(target.health_, run_outcome::succeeded, now);
            }
            update_health(target.health_, now);
        }
    }

    std::vector<candidate> make_candidates(const std::vector<std::size_t>& tried) const {
        const base::instant now = clock_.now();
        std::vector<candidate> candidates(targets_.size());
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            const target_health& health = targets_[i].health_;
            candidates[i].run_duration_ = run_duration;
            candidates[i].slots_ = 8;
            candidates[i].ejected_ = health.state_ == health_state::ejected;
            candidates[i].on_trial_ = health.state_ == health_state::on_trial;
            candidates[i].suspicion_ =
                decayed_suspicion(health.suspicion_, now - health.updated_at_);
            candidates[i].needs_probe_ =
                needs_probe(targets_[i].idle_, candidates[i].slots_, now) &&
                !candidates[i].ejected_;
            // A target on trial refuses all but one request at a time.
            candidates[i].tried_ =
                std::ranges::find(tried, i) != tried.end() || health.trial_running_;
        }
        return candidates;
    }

    // Returns true if the target serves the run.
    bool run_on(simulated_target& target) {
        const base::instant now = clock_.now();
        const bool trial = target.health_.state_ == health_state::on_trial;
        const bool failed = target.failing_ && base::random_below(random_, 100) < failure_percent;
        longest_idle_time_ = std::max(longest_idle_time_, now - target.idle_.last_run_at_);
        target.idle_.last_run_at_ = now;
        begin_trial(target.health_);
        target.trial_ends_at_ = now + run_duration;
        if (failed || !trial) {
            record_outcome(target.health_, failed ? run_outcome::failed : run_outcome::succeeded,
                           now);
        }
        counts_.failed_trials_ += failed && trial ? 1 : 0;
        return !failed;
    }

    bool serve(retry_budget& budget, bool nested) {
        const double share = usable_budget_share(nested);
        std::vector<std::size_t> tried;
        choice_criteria criteria;
        criteria.idempotent_ = true;
        criteria.min_share_ = 0.7;
        for (int attempt = 1; attempt <= max_attempts; ++attempt) {
            criteria.can_retry_ =
                attempt < max_attempts && has_budget(budget, limits, share, clock_.now());
            const auto choice = choose_target(make_candidates(tried), criteria, random_);
            if (!choice) {
                return false;
            }
            if (run_on(targets_[choice->index_])) {
                return true;
            }
            tried.push_back(choice->index_);
            if (!claim_retry(budget, limits, share, clock_.now())) {
                return false;
            }
        }
        return false;
    }

    void handle_request(bool nested) {
        retry_budget& budget = budgets_[base::random_below(random_, budgets_.size())];
        record_request(budget, limits, 0, clock_.now());
        const bool served = serve(budget, nested);
        if (!nested) {
            counts_.served_ += served ? 1 : 0;
            counts_.failed_ += served ? 0 : 1;
        }
    }

    base::runtime_clock clock_;
    base::random_engine random_;
    std::vector<simulated_target> targets_ = std::vector<simulated_target>(running_targets);
    std::vector<retry_budget> budgets_ = std::vector<retry_budget>(running_hosts);
};

}  // namespace

// Guards against: tests of targets that go on failing used up the retry budget, so that reads ended
// with the first failure although sound targets were free.
TEST_CASE("trials of failing targets fit into the part of the retry budget that requests earn") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        simulated_service service(seed);
        service.run(simulated_time);
        const int requests = service.counts_.served_ + service.counts_.failed_;
        CHECK(service.counts_.failed_trials_ < limits.ratio_ * requests);
        CHECK(service.counts_.failed_ < max_failed_share * requests);
    }
}

// Guards against: targets that have recovered idle, since their trials became too rare. A target
// counts as sound two seconds after its last failure, and must not be idle for two more.
TEST_CASE("each target beside a running host gets a request within four seconds") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        simulated_service service(seed);
        service.run(simulated_time);
        CHECK(service.longest_idle_time_ < base::seconds(4));
    }
}
