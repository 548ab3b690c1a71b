#include "policy/balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelionridge::policy {

namespace {

// Assumed duration of a run while no target of the service has reported one.
constexpr base::duration default_run_duration = base::milliseconds(500);
constexpr base::duration cross_zone_cost = base::milliseconds(30);
constexpr base::duration cross_region_cost = base::milliseconds(70);
// Additional cost of a large response that leaves its zone.
constexpr base::duration cross_zone_download_cost = base::milliseconds(80);

// A target counts as slow if its runs take longer than this multiple of the usual duration.
constexpr double slow_run_factor = 1.5;

// Time constant with which a reported run duration decays to the usual one, since the target may
// have recovered.
constexpr double run_report_decay_s = 3;

// Factor on the expected delay of a target that is on trial, that requests a probe or of which
// nothing is known, so that it is tried soon.
constexpr double trial_factor = 0.5;

constexpr double warming_factor = 1.3;
// Factor on the expected delay of a target that is out of rotation but considered nevertheless.
constexpr double out_of_rotation_factor = 8.0;
// Factor on the expected delay of a disconnected target.
constexpr double disconnected_factor = 3.0;
// Factor on the expected delay of a target that fails for certain, for a request that has no other
// attempt: such a request goes where it most likely succeeds.
constexpr double max_suspicion_factor = 5.0;
// The same for a request that can be sent again.
constexpr double max_suspicion_factor_with_retry = 2.0;
// A target with nearly all slots taken is slower than an idle one by this fraction.
constexpr double full_load_slowdown = 0.35;
// A target whose suspicion is above this is treated as certain to fail.
constexpr double certain_failure_suspicion = 0.7;
// Relative width of the random factor that spreads requests over about equal targets.
constexpr double jitter_width = 0.04;
// Average number of targets of a large service that one request compares. Caller proxies know the
// targets from reports of different ages: if each compared all targets, all would send to the few
// that were last reported as idle.
constexpr std::size_t sample_size = 6;

base::duration scale(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(value * factor);
}

// Returns the time in which a rate allows that many requests; zero without a limit.
base::duration time_at_rate(double requests, double rate_limit) {
    if (rate_limit <= 0) {
        return base::duration::zero();
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(requests / rate_limit));
}

// Returns the additional delay due to the distance to the target.
base::duration path_cost(const candidate& target, const choice_criteria& criteria) {
    if (target.distance_ == distance::same_zone) {
        return {};
    }
    if (criteria.path_costs_) {
        return target.distance_ == distance::same_region ? criteria.path_costs_->zone_
                                                         : criteria.path_costs_->region_;
    }
    const base::duration cost =
        target.distance_ == distance::same_region ? cross_zone_cost : cross_region_cost;
    return criteria.download_ ? cost + cross_zone_download_cost : cost;
}

// Returns true if the target is so likely to fail that a request which is not idempotent is better
// refused than sent to it.
bool too_likely_to_fail(const candidate& target, const choice_criteria& criteria) {
    return !criteria.idempotent_ && target.ejected_ &&
           target.suspicion_ > certain_failure_suspicion;
}

// Returns true if a failure of the request costs only time, so that it may test a target.
bool may_probe(const choice_criteria& criteria) {
    return criteria.idempotent_ && criteria.can_retry_;
}

// Returns true if the request may test that target. A target on trial that has been idle for long
// enough to ask for a probe is tested also with the retries that are reserved for that: otherwise
// none would recover while the rest of the budget is spent, which is when they are needed most.
bool may_test(const candidate& target, const choice_criteria& criteria) {
    const bool overdue_trial = target.on_trial_ && target.needs_probe_;
    return may_probe(criteria) ||
           (overdue_trial && criteria.idempotent_ && criteria.can_reserve_retry_);
}

bool is_out_of_rotation(const candidate& target, const choice_criteria& criteria) {
    return target.ejected_ || (target.on_trial_ && !may_test(target, criteria));
}

// Returns the factor on the expected delay that accounts for a likely failure.
double suspicion_factor(const candidate& target, const choice_criteria& criteria) {
    const double max_factor =
        may_probe(criteria) ? max_suspicion_factor_with_retry : max_suspicion_factor;
    return 1 + (max_factor - 1) * target.suspicion_;
}

bool needs_trial(const candidate& target) {
    return target.on_trial_ || target.needs_probe_ || target.untried_;
}

// Returns the median of the reported run durations, which a few slow targets do not raise. Ejected
// targets do not count.
base::duration median_run_duration(std::span<const candidate> candidates) {
    std::vector<base::duration> durations;
    durations.reserve(candidates.size());
    for (const candidate& target : candidates) {
        if (!target.ejected_) {
            durations.push_back(target.run_duration_);
        }
    }
    return median_duration(std::move(durations)).value_or(default_run_duration);
}

// Returns true if ejections leave fewer targets in rotation than the minimum share. Targets that
// fail for certain do not count, since readmitting them would add no capacity.
bool below_min_share(std::span<const candidate> candidates, const choice_criteria& criteria) {
    const auto counts = [](const candidate& target) {
        return !target.disconnected_ &&
               !(target.ejected_ && target.suspicion_ > certain_failure_suspicion);
    };
    const auto available_count = std::count_if(candidates.begin(), candidates.end(), counts);
    const auto in_rotation_count =
        std::count_if(candidates.begin(), candidates.end(), [&](const auto& target) {
            return counts(target) && !is_out_of_rotation(target, criteria);
        });
    return static_cast<double>(in_rotation_count) <
           std::ceil(criteria.min_share_ * static_cast<double>(available_count));
}

// Sets of targets that are searched, one after the other until one yields a target.
enum class search_stage {
    // All targets that are not disconnected, and are in rotation or needed for the minimum share.
    in_rotation,
    // All targets that may get the request at all.
    fallback,
};

struct scored_target {
    std::size_t index_ = 0;
    base::duration score_{};
    bool allow_ejected_ = false;
};

// Returns the time by which a run exceeds the usual duration, or zero if it is not slow. If small
// excesses counted, differences that are due to chance would make all caller proxies send to the
// few targets that look fastest.
base::duration excess_over_usual(base::duration run, base::duration usual_duration) {
    return run > scale(usual_duration, slow_run_factor) ? run - usual_duration
                                                        : base::duration::zero();
}

// Selects the targets that a request compares: all targets of a small service, a random sample of
// a large one, and always the targets that are on trial or request a probe.
target_set sample_targets(std::span<const candidate> candidates, base::random_engine& random) {
    target_set sampled(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        sampled[i] = candidates[i].on_trial_ || candidates[i].needs_probe_ ||
                     base::random_below(random, candidates.size()) < sample_size;
    }
    return sampled;
}

// What the search for a target depends on, besides its stage.
struct search_context {
    std::span<const candidate> candidates_;
    const choice_criteria& criteria_;
    std::span<const target_set> samples_;
    base::duration usual_duration_{};
    // Ejected targets are needed for the minimum share.
    bool needs_ejected_ = false;
};

// Returns true if the target may get the request in that stage.
bool is_eligible(const search_context& search, std::size_t index, search_stage stage) {
    const candidate& target = search.candidates_[index];
    if (target.excluded_ || target.disallowed_ || target.tried_ || target.unreachable_ ||
        too_likely_to_fail(target, search.criteria_)) {
        return false;
    }
    if (stage == search_stage::fallback) {
        return true;
    }
    const bool needed = search.needs_ejected_ && target.suspicion_ <= certain_failure_suspicion;
    return !target.disconnected_ && (needed || !is_out_of_rotation(target, search.criteria_));
}

// Returns the expected delay of a target, weighted with its health and a small random factor.
base::duration score_of(const search_context& search, const candidate& target,
                        base::random_engine& random) {
    const bool out_of_rotation = is_out_of_rotation(target, search.criteria_);
    const double random_fraction = static_cast<double>(base::random_below(random, 1000)) / 1000;
    double factor = 1 + jitter_width * random_fraction;
    const bool trial =
        !out_of_rotation && may_test(target, search.criteria_) && needs_trial(target);
    factor *= trial ? trial_factor : suspicion_factor(target, search.criteria_);
    if (out_of_rotation) {
        factor *= out_of_rotation_factor;
    }
    if (target.disconnected_) {
        factor *= disconnected_factor;
    }
    return scale(expected_delay(target, search.criteria_, search.usual_duration_), factor);
}

// Returns the best of the targets that are eligible in that stage and whose process stops, or of
// those whose process does not. If a sample is given, only its targets are compared.
std::optional<scored_target> find_best(const search_context& search, search_stage stage,
                                       bool stopping, base::random_engine& random,
                                       const target_set* sample = nullptr) {
    std::optional<scored_target> best;
    for (std::size_t i = 0; i < search.candidates_.size(); ++i) {
        const candidate& target = search.candidates_[i];
        if (target.stopping_ != stopping || (sample != nullptr && !(*sample)[i]) ||
            !is_eligible(search, i, stage)) {
            continue;
        }
        const base::duration score = score_of(search, target, random);
        if (!best || score < best->score_) {
            best = scored_target{i, score, is_out_of_rotation(target, search.criteria_)};
        }
    }
    return best;
}

// Returns the best of the samples, which are compared one after the other until the best target so
// far has a free slot.
std::optional<scored_target> find_in_samples(const search_context& search, bool stopping,
                                             base::random_engine& random) {
    std::optional<scored_target> best;
    for (const target_set& sample : search.samples_) {
        const auto found = find_best(search, search_stage::in_rotation, stopping, random, &sample);
        if (found && (!best || found->score_ < best->score_)) {
            best = found;
        }
        if (best && has_free_slot(search.candidates_[best->index_])) {
            break;
        }
    }
    return best;
}

// Returns the best of the samples of the targets in rotation or, if there is none in them, of all
// in rotation.
std::optional<scored_target> find_in_rotation(const search_context& search, bool stopping,
                                              base::random_engine& random) {
    const auto best = find_in_samples(search, stopping, random);
    return best ? best : find_best(search, search_stage::in_rotation, stopping, random);
}

// Returns the better one of the best target whose process does not stop and, if that has no free
// slot, the best one whose process does.
std::optional<scored_target> find_in_use(const search_context& search,
                                         base::random_engine& random) {
    const auto best = find_in_rotation(search, false, random);
    if (best && !search.criteria_.found_busy_ && has_free_slot(search.candidates_[best->index_])) {
        return best;
    }
    const auto stopping = find_in_rotation(search, true, random);
    const bool prefer_stopping =
        stopping && (!best || (has_free_slot(search.candidates_[stopping->index_]) &&
                               stopping->score_ < best->score_));
    return prefer_stopping ? stopping : best;
}

}  // namespace

bool has_free_slot(const candidate& target) {
    return target.load_ + 1 <= std::max(1, target.slots_);
}

std::optional<base::duration> median_duration(std::vector<base::duration> durations) {
    std::erase_if(durations,
                  [](base::duration duration) { return duration <= base::duration::zero(); });
    if (durations.empty()) {
        return std::nullopt;
    }
    const auto middle = durations.begin() + static_cast<std::ptrdiff_t>((durations.size() - 1) / 2);
    std::nth_element(durations.begin(), middle, durations.end());
    return *middle;
}

base::duration expected_delay(const candidate& target, const choice_criteria& criteria,
                              base::duration usual_duration) {
    base::duration run = usual_duration;
    if (target.run_duration_ > base::duration::zero()) {
        const std::chrono::duration<double> age = target.report_age_;
        run += scale(excess_over_usual(target.run_duration_, usual_duration),
                     std::exp(-age.count() / run_report_decay_s));
    }
    if (target.warming_) {
        run = scale(run, warming_factor);
    }
    const double slots = std::max(1, target.slots_);
    const double utilisation = std::min(1.0, target.load_ / slots);
    const double queued = std::max(0.0, target.load_ + 1 - slots);
    const base::duration served = scale(run, 1 + full_load_slowdown * utilisation * utilisation);
    const base::duration slot_wait = scale(run, queued / slots);
    return served + std::max(slot_wait, time_at_rate(queued, target.rate_limit_)) +
           path_cost(target, criteria);
}

std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           base::random_engine& random) {
    const target_set sampled = sample_targets(candidates, random);
    return choose_target(candidates, criteria, std::span(&sampled, 1), random);
}

target_set targets_in_rotation(std::span<const candidate> candidates,
                               const choice_criteria& criteria) {
    const search_context search{
        candidates, criteria, {}, {}, below_min_share(candidates, criteria)};
    target_set targets(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        targets[i] = !candidates[i].stopping_ && is_eligible(search, i, search_stage::in_rotation);
    }
    return targets;
}

std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           std::span<const target_set> samples,
                                           base::random_engine& random) {
    const search_context search{candidates, criteria, samples, median_run_duration(candidates),
                                below_min_share(candidates, criteria)};
    std::optional<scored_target> best = find_in_use(search, random);
    for (const bool stopping : {false, true}) {
        if (!best) {
            best = find_best(search, search_stage::fallback, stopping, random);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const bool trial = candidates[best->index_].on_trial_ && !best->allow_ejected_;
    return target_choice{best->index_, best->allow_ejected_, trial};
}

}  // namespace dandelionridge::policy
