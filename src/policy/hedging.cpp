#include "policy/hedging.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cassert>
#include <chrono>
#include <cmath>
#include <vector>

namespace dandelionridge::policy {

namespace {

namespace bh = boost::histogram;
using time_axis = bh::axis::regular<double, bh::axis::transform::log>;

// Range of the buckets, in seconds.
constexpr double min_time_s = 0.001;
constexpr double max_time_s = 60.0;

constexpr base::duration period_length = base::seconds(30);

// Number of response times below which a p95 rests on one or two of them.
constexpr std::uint64_t min_response_times = 40;

// Shorter delays are within the accuracy of timers and of the network.
constexpr base::duration min_hedging_delay = base::milliseconds(5);

// Copies that may be sent at once after a time without any. All caller proxies of a fleet may send
// as many together, so there are few.
constexpr double max_tokens = 2;

// Share of the usable slots above which most targets are busy.
constexpr double max_hedging_load = 0.5;

// Time after a refusal for lack of a free slot in which no copy is sent.
constexpr base::duration refusal_pause = base::seconds(1);

const time_axis& bucket_axis() {
    static const time_axis axis(response_time_buckets, min_time_s, max_time_s);
    return axis;
}

// Returns the bucket of a time. The axis counts times below its range as -1.
std::size_t bucket_of(base::duration elapsed) {
    return static_cast<std::size_t>(
        bucket_axis().index(std::chrono::duration<double>(elapsed).count()) + 1);
}

// Returns the upper bound of a bucket; for times above the range, their lower bound.
base::duration upper_bound_of(std::size_t bucket) {
    const double seconds =
        bucket > response_time_buckets ? max_time_s : bucket_axis().value(static_cast<int>(bucket));
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

bool is_current(const response_times::period& period, base::instant now) {
    return now - period.began_at_ < 2 * period_length;
}

bool is_usable(const candidate& target) {
    return !target.excluded_ && !target.stopping_ && !target.ejected_ && !target.on_trial_ &&
           !target.unreachable_ && !target.disconnected_;
}

}  // namespace

void record_response_time(response_times& times, base::duration elapsed, base::instant now) {
    if (now - times.present_.began_at_ >= period_length) {
        times.previous_ = times.present_;
        times.present_ = {};
        times.present_.began_at_ = now;
    }
    ++times.present_.count_;
    ++times.present_.counts_.at(bucket_of(elapsed));
}

std::optional<base::duration> hedging_delay(const response_times& times, base::instant now) {
    const bool use_present = is_current(times.present_, now);
    const bool use_previous = is_current(times.previous_, now);
    const std::uint64_t count =
        (use_present ? times.present_.count_ : 0) + (use_previous ? times.previous_.count_ : 0);
    if (count < min_response_times) {
        return std::nullopt;
    }
    const auto count_in = [&](std::size_t bucket) {
        return (use_present ? times.present_.counts_.at(bucket) : 0) +
               (use_previous ? times.previous_.counts_.at(bucket) : 0);
    };
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(hedging_quantile * static_cast<double>(count)));
    std::uint64_t cumulative_count = 0;
    std::size_t bucket = 0;
    for (; bucket <= response_time_buckets; ++bucket) {
        cumulative_count += count_in(bucket);
        if (cumulative_count >= rank) {
            break;
        }
    }
    return std::max(upper_bound_of(bucket), min_hedging_delay);
}

void credit_request(hedging_budget& budget, double max_share) {
    budget.tokens_ = std::min(budget.tokens_ + max_share, max_tokens);
}

void record_slot_refusal(hedging_budget& budget, base::instant now) {
    budget.refused_at_ = now;
}

bool has_copy(const hedging_budget& budget, double max_share) {
    return max_share > 0 && budget.tokens_ >= 1;
}

void charge_copy(hedging_budget& budget) {
    assert(budget.tokens_ >= 1);
    budget.tokens_ -= 1;
}

bool is_overloaded(const hedging_budget& budget, std::span<const candidate> candidates,
                   base::instant now) {
    if (budget.refused_at_ && now - *budget.refused_at_ < refusal_pause) {
        return true;
    }
    double load = 0;
    double slots = 0;
    for (const candidate& target : candidates) {
        if (is_usable(target)) {
            load += target.load_;
            slots += std::max(1, target.slots_);
        }
    }
    return load > max_hedging_load * slots;
}

bool may_get_copy(const candidate& target) {
    return is_usable(target) && !target.disallowed_ && !target.tried_ && !target.warming_ &&
           !target.untried_ && target.distance_ != distance::other_region && has_free_slot(target);
}

std::optional<std::size_t> choose_copy_target(std::span<const candidate> candidates,
                                              const choice_criteria& criteria,
                                              base::random_engine& random) {
    std::vector<std::size_t> allowed;
    std::vector<base::duration> durations;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        durations.push_back(candidates[i].run_duration_);
        if (may_get_copy(candidates[i])) {
            allowed.push_back(i);
        }
    }
    if (allowed.empty()) {
        return std::nullopt;
    }
    const base::duration usual =
        median_duration(std::move(durations)).value_or(base::duration::zero());
    const std::size_t one = allowed[base::random_below(random, allowed.size())];
    const std::size_t other = allowed[base::random_below(random, allowed.size())];
    return expected_delay(candidates[one], criteria, usual) <=
                   expected_delay(candidates[other], criteria, usual)
               ? one
               : other;
}

bool attempts_allow_copy(const hedging_context& context) {
    return context.attempts_ + 2 <= context.max_attempts_;
}

bool copy_can_end(const hedging_context& context) {
    return context.run_time_left_ > std::max(context.run_duration_, context.min_time_left_);
}

}  // namespace dandelionridge::policy
