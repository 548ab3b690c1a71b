#include "policy/locality.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace dandelionridge::policy {

namespace {

// Costs of a distance for a request without bodies. Zones of a region are a few milliseconds apart.
constexpr base::duration zone_path_cost = base::milliseconds(15);
constexpr base::duration region_path_cost = base::milliseconds(70);

// Utilisation of a tier above which requests go beyond it. It is lower between zones, where
// distance costs little, and leaves room between regions, since the load is known only roughly.
constexpr double zone_fill = 0.6;
constexpr double region_fill = 0.9;

// A share starts only if the tier lacks at least this share, and then changes only by at least
// this much, so that it does not follow chance.
constexpr double start_share = 0.04;
constexpr double change_share = 0.03;
// A share below this ends.
constexpr double end_share = 0.01;

// Time constants in seconds: of the decrease of a share, of the increase and decrease of the
// estimated demand, of the load's response to a share, and of a report's weight by its age.
constexpr double share_decrease_s = 5;
constexpr double demand_increase_s = 0.5;
constexpr double demand_decrease_s = 2;
constexpr double load_response_s = 1;
constexpr double report_weight_s = 2;

// Bounds the demand that is inferred from the few requests that do not spill.
constexpr double max_effective_share = 0.95;

// A warming target is slower by about this factor, so fewer of its slots count.
constexpr double warming_capacity = 0.75;

// Weight of the assumption, in targets of recent report, that a tier of unknown load is idle.
constexpr double idle_assumption_weight = 0.25;

// Number of requests over which the share of light ones is averaged.
constexpr double weight_average_requests = 50;

// Requests that may leave a region at once under a cap on their share.
constexpr double max_leave_credit = 10;

// Weight of the latest response in the usual number of bytes.
constexpr double latest_size_weight = 0.1;

// Numbers of targets that are compared: of the zone and, beside them, of the rest of the region;
// and of any set that a request spills to. A tier of at most as many targets is compared whole.
constexpr std::size_t zone_sample = 4;
constexpr std::size_t region_sample = 1;
constexpr std::size_t spill_sample = 4;

double seconds_between(base::instant from, base::instant to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

// Returns the fraction of the way to its value that a moving average goes in that time.
double fraction_of(double elapsed_s, double time_constant_s) {
    return 1 - std::exp(-elapsed_s / time_constant_s);
}

bool is_selectable(const candidate& target) {
    return !target.excluded_ && !target.disallowed_ && !target.tried_ && !target.unreachable_ &&
           !target.disconnected_ && !target.ejected_ && !target.on_trial_ && !target.stopping_;
}

// Returns true if the target's slots count as capacity. A target that this request was sent to
// before, or that is in none of its regions, remains capacity for others.
bool is_capacity(const candidate& target) {
    candidate other_request = target;
    other_request.tried_ = false;
    other_request.disallowed_ = false;
    return is_selectable(other_request);
}

class usage_sum {
public:
    void add(const candidate& target) {
        targets_ += is_selectable(target) ? 1 : 0;
        if (!is_capacity(target)) {
            return;
        }
        const double slots =
            std::max(1, target.slots_) * (target.warming_ ? warming_capacity : 1.0);
        slots_ += slots;
        ++capacity_targets_;
        if (target.reported_load_) {
            const std::chrono::duration<double> age = target.report_age_;
            const double weight = std::exp(-age.count() / report_weight_s);
            load_ += weight * *target.reported_load_;
            weighted_slots_ += weight * slots;
        }
    }

    tier_usage result() const {
        if (slots_ <= 0) {
            return {0, 0, targets_};
        }
        const double mean_slots = slots_ / static_cast<double>(capacity_targets_);
        return {slots_, load_ / (weighted_slots_ + idle_assumption_weight * mean_slots), targets_};
    }

private:
    double slots_ = 0;
    double load_ = 0;
    double weighted_slots_ = 0;
    std::size_t targets_ = 0;
    std::size_t capacity_targets_ = 0;
};

// Brings a share up to date. `outer`: the targets that the requests would spill to. They get no
// more than makes them as busy as the tier.
void update_share(spill_share& spill, const tier_usage& tier, const tier_usage& outer, double fill,
                  double elapsed_s) {
    spill.effective_ += (spill.share_ - spill.effective_) * fraction_of(elapsed_s, load_response_s);
    const double demand =
        tier.utilisation_ * tier.slots_ / (1 - std::min(spill.effective_, max_effective_share));
    const double time_constant = demand > spill.demand_ ? demand_increase_s : demand_decrease_s;
    spill.demand_ += (demand - spill.demand_) * fraction_of(elapsed_s, time_constant);
    if (outer.slots_ <= 0) {
        spill.share_ = 0;
        return;
    }
    if (tier.slots_ <= 0) {
        spill.share_ = 1;
        return;
    }
    const double usable = std::max(fill, outer.utilisation_) * tier.slots_;
    const double lacking = spill.demand_ > usable ? 1 - usable / spill.demand_ : 0;
    const bool starts = spill.share_ <= 0 && lacking < start_share;
    if (lacking > spill.share_ + change_share && !starts) {
        spill.share_ = lacking;
    } else if (lacking < spill.share_ - change_share || lacking <= 0) {
        spill.share_ += (lacking - spill.share_) * fraction_of(elapsed_s, share_decrease_s);
        spill.share_ = spill.share_ < end_share ? 0 : spill.share_;
    }
}

double random_fraction(base::random_engine& random) {
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(base::random_below(random, steps)) / static_cast<double>(steps);
}

// Adds up to `count` random members of `pool` to a set.
void add_sample(target_set& set, std::vector<std::size_t> pool, std::size_t count,
                base::random_engine& random) {
    for (std::size_t i = 0; i < count && i < pool.size(); ++i) {
        std::swap(pool[i], pool[i + base::random_below(random, pool.size() - i)]);
        set[pool[i]] = true;
    }
}

// The targets that a request may get, by distance.
struct target_pools {
    std::vector<std::size_t> zone_;
    std::vector<std::size_t> other_zones_;
    std::vector<std::size_t> beyond_;
};

target_pools make_pools(std::span<const candidate> candidates, const choice_criteria& criteria) {
    const target_set in_rotation = targets_in_rotation(candidates, criteria);
    target_pools pools;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!in_rotation[i]) {
            continue;
        }
        switch (candidates[i].distance_) {
            case distance::same_zone:
                pools.zone_.push_back(i);
                break;
            case distance::same_region:
                pools.other_zones_.push_back(i);
                break;
            case distance::other_region:
                pools.beyond_.push_back(i);
                break;
        }
    }
    return pools;
}

std::vector<std::size_t> with_free_slot(std::span<const candidate> candidates,
                                        std::vector<std::size_t> pool) {
    std::erase_if(pool, [&](std::size_t index) { return !has_free_slot(candidates[index]); });
    return pool;
}

// Adds the targets that are to be tested. One beyond the region is tested only by light requests.
void add_tested(target_set& set, std::span<const candidate> candidates, bool heavy) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const candidate& target = candidates[i];
        if ((target.on_trial_ || target.needs_probe_) &&
            (!heavy || target.distance_ != distance::other_region)) {
            set[i] = true;
        }
    }
}

// Draws the sets of targets to compare, in the order of their comparison.
class sample_drawer {
public:
    sample_drawer(std::span<const candidate> candidates, const choice_criteria& criteria,
                  base::random_engine& random)
        : candidates_(candidates),
          random_(random),
          pools_(make_pools(candidates, criteria)),
          heavy_(is_heavy(criteria)) {}

    std::vector<target_set> draw(bool leave_zone, bool leave_region, bool may_leave_region) {
        std::vector<target_set> samples;
        if (leave_region) {
            samples.push_back(make_set(with_free_slot(candidates_, pools_.beyond_), spill_sample));
        }
        target_set near(candidates_.size());
        add_sample(near, pools_.zone_, leave_zone ? region_sample : zone_sample, random_);
        add_sample(near, pools_.other_zones_, leave_zone ? spill_sample : region_sample, random_);
        add_tested(near, candidates_, heavy_);
        samples.push_back(std::move(near));
        std::vector<std::size_t> region = pools_.zone_;
        region.insert(region.end(), pools_.other_zones_.begin(), pools_.other_zones_.end());
        // Looks through the whole region for a free slot before a request waits or leaves.
        samples.push_back(make_set(with_free_slot(candidates_, std::move(region)), spill_sample));
        if (may_leave_region) {
            samples.push_back(make_set(with_free_slot(candidates_, pools_.beyond_), spill_sample));
        }
        return samples;
    }

private:
    target_set make_set(std::vector<std::size_t> pool, std::size_t count) {
        target_set set(candidates_.size());
        add_sample(set, std::move(pool), count, random_);
        return set;
    }

    std::span<const candidate> candidates_;
    base::random_engine& random_;
    target_pools pools_;
    bool heavy_;
};

// Returns the targets with those beyond the region excluded.
std::vector<candidate> without_other_regions(std::span<const candidate> candidates) {
    std::vector<candidate> kept(candidates.begin(), candidates.end());
    for (candidate& target : kept) {
        target.excluded_ = target.excluded_ || target.distance_ == distance::other_region;
    }
    return kept;
}

}  // namespace

bool is_heavy(const choice_criteria& criteria) {
    return criteria.kind_ != run_kind::nested &&
           (criteria.download_ || criteria.body_bytes_ > heavy_body_bytes);
}

path_costs path_costs_of(const locality_limits& limits, double body_bytes) {
    constexpr double bytes_per_mb = 1e6;
    const auto cost_of = [&](double ms_per_mb) {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double, std::milli>(ms_per_mb * body_bytes / bytes_per_mb));
    };
    return {zone_path_cost + cost_of(limits.zone_cost_ms_per_mb_),
            region_path_cost + cost_of(limits.region_cost_ms_per_mb_)};
}

service_usage measure_usage(std::span<const candidate> candidates) {
    usage_sum zone;
    usage_sum region;
    usage_sum other_zones;
    usage_sum beyond;
    for (const candidate& target : candidates) {
        switch (target.distance_) {
            case distance::same_zone:
                zone.add(target);
                region.add(target);
                break;
            case distance::same_region:
                other_zones.add(target);
                region.add(target);
                break;
            case distance::other_region:
                beyond.add(target);
                break;
        }
    }
    return {zone.result(), region.result(), other_zones.result(), beyond.result()};
}

void update_shares(locality_state& state, const service_usage& usage, base::instant now) {
    const double elapsed_s = state.updated_at_ ? seconds_between(*state.updated_at_, now) : 0;
    update_share(state.zone_, usage.zone_, usage.other_zones_, zone_fill, elapsed_s);
    update_share(state.region_, usage.region_, usage.beyond_, region_fill, elapsed_s);
    state.updated_at_ = now;
}

double share_of_weight(double share, double light_share, bool heavy) {
    if (heavy) {
        const double heavy_share = 1 - light_share;
        return heavy_share <= 0 ? share : std::clamp((share - light_share) / heavy_share, 0.0, 1.0);
    }
    return light_share <= 0 ? share : std::clamp(share / light_share, 0.0, 1.0);
}

void record_response_size(response_sizes& sizes, run_kind kind, double bytes) {
    double& usual = sizes.bytes_.at(static_cast<std::size_t>(kind));
    usual = usual < 0 ? bytes : usual + latest_size_weight * (bytes - usual);
}

double expected_response_bytes(const response_sizes& sizes, run_kind kind) {
    return std::max(0.0, sizes.bytes_.at(static_cast<std::size_t>(kind)));
}

bool body_waits_for_slot(const body_wait_context& context) {
    if (!context.kept_) {
        return true;
    }
    const bool large =
        !context.body_length_ || static_cast<double>(*context.body_length_) > heavy_body_bytes;
    return !context.idempotent_ && large && context.distance_ != distance::same_zone;
}

locality_choice choose_by_locality(locality_state& state, std::span<const candidate> candidates,
                                   choice_criteria criteria, const locality_limits& limits,
                                   base::instant now, base::random_engine& random) {
    const service_usage usage = measure_usage(candidates);
    update_shares(state, usage, now);
    const bool heavy = is_heavy(criteria);
    criteria.path_costs_ = path_costs_of(limits, criteria.body_bytes_);
    state.light_share_ += ((heavy ? 0.0 : 1.0) - state.light_share_) / weight_average_requests;
    state.leave_credit_ = std::min(max_leave_credit, state.leave_credit_ + limits.max_spill_share_);

    const bool region_usable = usage.region_.targets_ > 0;
    const bool may_leave_region =
        !region_usable || limits.max_spill_share_ >= 1 || state.leave_credit_ >= 1;
    const bool leave_region =
        !region_usable ||
        (may_leave_region && random_fraction(random) <
                                 share_of_weight(state.region_.share_, state.light_share_, heavy));
    const bool leave_zone =
        random_fraction(random) < share_of_weight(state.zone_.share_, state.light_share_, heavy);

    std::vector<candidate> kept;
    if (!may_leave_region) {
        kept = without_other_regions(candidates);
        candidates = kept;
    }
    const std::vector<target_set> samples = sample_drawer(candidates, criteria, random)
                                                .draw(leave_zone, leave_region, may_leave_region);
    locality_choice choice;
    choice.target_ = choose_target(candidates, criteria, samples, random);
    choice.spilled_ = choice.target_ && region_usable &&
                      candidates[choice.target_->index_].distance_ == distance::other_region;
    if (choice.spilled_) {
        state.leave_credit_ = std::max(0.0, state.leave_credit_ - 1);
    }
    return choice;
}

}  // namespace dandelionridge::policy
