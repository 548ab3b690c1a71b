#include "policy/balance.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dandelionridge::policy {

namespace {

constexpr base::duration unknown_run = base::milliseconds(500);
constexpr base::duration region_cost = base::milliseconds(30);
constexpr base::duration far_cost = base::milliseconds(70);
// What it is worth to keep a large answer within its zone.
constexpr base::duration download_zone_cost = base::milliseconds(80);

// A target counts as slow beyond this many times the usual.
constexpr double tolerated_slowness = 1.5;

// What was told of a target's runs fades with this time: it may have recovered.
constexpr double run_memory_s = 3;

// A target on trial, or of which nothing is known, is taken as if it were this much faster, so that
// it is tried soon.
constexpr double trial_factor = 0.5;

constexpr double warming_factor = 1.3;
// A needed target that fails is taken as if it were this much slower.
constexpr double ejected_factor = 8.0;
// A target whose path is not open is taken as if it were this much slower.
constexpr double avoided_factor = 3.0;
// A request that gets no other attempt goes where it most likely succeeds: a target that surely
// fails is taken as if it were this much slower.
constexpr double suspected_factor = 5.0;
// The same for a request that can be sent again.
constexpr double suspected_factor_with_spare = 2.0;
// A target whose slots are all but taken is this much slower than an idle one.
constexpr double full_factor = 0.35;
constexpr double hopeless_suspicion = 0.7;
// Width of the draw between targets that are about equal.
constexpr double draw_width = 0.04;
// Targets of a large service that one request compares. Entries know them from reports of different
// ages: if each compared all, all would send to the few that were last heard to be idle.
constexpr std::size_t most_compared = 6;

base::duration times(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(value * factor);
}

base::duration path_cost(const candidate& target, const choice_criteria& criteria) {
    if (target.distance_ == distance::same_zone) {
        return {};
    }
    const base::duration cost = target.distance_ == distance::same_region ? region_cost : far_cost;
    return criteria.download_ ? cost + download_zone_cost : cost;
}

// So likely failing that an order is better refused than sent there.
bool hopeless(const candidate& target, const choice_criteria& criteria) {
    return !criteria.idempotent_ && target.ejected_ && target.suspicion_ > hopeless_suspicion;
}

bool may_try_out(const choice_criteria& criteria) {
    return criteria.idempotent_ && criteria.can_retry_;
}

bool out_of_use(const candidate& target, const choice_criteria& criteria) {
    return target.ejected_ || (target.on_trial_ && !may_try_out(criteria));
}

// How much a likely failure weighs, as a factor on the time of an answer.
double suspicion_factor(const candidate& target, const choice_criteria& criteria) {
    const double most = may_try_out(criteria) ? suspected_factor_with_spare : suspected_factor;
    return 1 + (most - 1) * target.suspicion_;
}

bool wants_trial(const candidate& target) {
    return target.on_trial_ || target.needs_probe_ || target.untried_;
}

// The median: a few slow targets do not make slowness usual.
base::duration usual_run(std::span<const candidate> candidates) {
    std::vector<base::duration> known;
    for (const candidate& one : candidates) {
        if (one.run_duration_ > base::duration::zero() && !one.ejected_) {
            known.push_back(one.run_duration_);
        }
    }
    if (known.empty()) {
        return unknown_run;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

// True if ejections leave less in use than the floor. Targets that surely fail are no capacity that
// could be given back: they do not count.
bool below_floor(std::span<const candidate> candidates, const choice_criteria& criteria) {
    const auto counts = [](const candidate& one) {
        return !one.disconnected_ && !(one.ejected_ && one.suspicion_ > hopeless_suspicion);
    };
    const auto there = std::count_if(candidates.begin(), candidates.end(), counts);
    const auto in_use = std::count_if(candidates.begin(), candidates.end(), [&](const auto& one) {
        return counts(one) && !out_of_use(one, criteria);
    });
    return static_cast<double>(in_use) <
           std::ceil(criteria.min_share_ * static_cast<double>(there));
}

// Which targets are considered, one after the other until one is found.
enum class effort {
    // Some of those in use whose path is open.
    part,
    // All of those.
    all,
    // All that are not excluded.
    pressed,
};

struct scored {
    std::size_t index_ = 0;
    base::duration finish_{};
    bool allow_ejected_ = false;
};

// The time that a run takes beyond the usual one. A difference that chance explains is none:
// without this bound all entries send to the few that look fastest.
base::duration beyond_usual(base::duration run, base::duration usual) {
    return run > times(usual, tolerated_slowness) ? run - usual : base::duration::zero();
}

}  // namespace

base::duration expected_finish(const candidate& target, const choice_criteria& criteria,
                               base::duration usual) {
    base::duration run = usual;
    if (target.run_duration_ > base::duration::zero()) {
        const std::chrono::duration<double> age = target.run_age_;
        run +=
            times(beyond_usual(target.run_duration_, usual), std::exp(-age.count() / run_memory_s));
    }
    if (target.warming_) {
        run = times(run, warming_factor);
    }
    const double slots = std::max(1, target.slots_);
    const double filled = std::min(1.0, target.load_ / slots);
    const double queued = std::max(0.0, target.load_ + 1 - slots);
    return times(run, 1 + full_factor * filled * filled + queued / slots) +
           path_cost(target, criteria);
}

// Which targets a request compares: all of a small service, a random part of a large one, but
// always those that want to be tried out.
std::vector<bool> draw_compared(std::span<const candidate> candidates,
                                base::random_engine& random) {
    std::vector<bool> compared(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        compared[i] = candidates[i].on_trial_ || candidates[i].needs_probe_ ||
                      base::random_below(random, candidates.size()) < most_compared;
    }
    return compared;
}

std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           base::random_engine& random) {
    const base::duration usual = usual_run(candidates);
    const bool needs_ejected = below_floor(candidates, criteria);
    const std::vector<bool> compared = draw_compared(candidates, random);
    std::optional<scored> best;
    for (const effort how : {effort::part, effort::all, effort::pressed}) {
        const bool pressed = how == effort::pressed;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const candidate& one = candidates[i];
            const bool out = out_of_use(one, criteria);
            const bool needed = needs_ejected && one.suspicion_ <= hopeless_suspicion;
            if ((how == effort::part && !compared[i]) || one.excluded_ || one.unreachable_ ||
                hopeless(one, criteria) || (!pressed && (one.disconnected_ || (out && !needed)))) {
                continue;
            }
            const double draw = static_cast<double>(base::random_below(random, 1000)) / 1000;
            double factor = 1 + draw_width * draw;
            const bool trial = !out && may_try_out(criteria) && wants_trial(one);
            factor *= trial ? trial_factor : suspicion_factor(one, criteria);
            if (out) {
                factor *= ejected_factor;
            }
            if (one.disconnected_) {
                factor *= avoided_factor;
            }
            const base::duration finish = times(expected_finish(one, criteria, usual), factor);
            if (!best || finish < best->finish_) {
                best = scored{i, finish, out};
            }
        }
        if (best) {
            return target_choice{best->index_, best->allow_ejected_};
        }
    }
    return std::nullopt;
}

}  // namespace dandelionridge::policy
