// Choice of targets by distance: a small simulation of callers, caller proxies and targets in
// several regions, without a network.
#include "policy/locality.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <vector>

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(1000)};
constexpr base::duration step = base::milliseconds(10);
constexpr double step_s = 0.01;
constexpr int slots_per_target = 4;
constexpr double mean_run_s = 0.8;
constexpr double light_bytes = 2'000;
constexpr double heavy_bytes = 100'000;

struct run {
    base::instant ends_at_{};
    int proxy_ = 0;
};

struct simulated_target {
    int zone_ = 0;
    bool up_ = true;
    // The first slots_per_target ones run; the end of the others is set when they begin.
    std::vector<run> running_;
    std::deque<int> waiting_;

    double load() const { return static_cast<double>(running_.size() + waiting_.size()); }
};

// What a caller proxy knows of a target.
struct target_knowledge {
    bool reported_ = false;
    double others_load_ = 0;
    int in_flight_ = 0;
    base::instant reported_at_{};
};

struct simulated_proxy {
    int zone_ = 0;
    std::vector<target_knowledge> known_;
    locality_state state_;
    std::vector<double> region_shares_;
};

// Requests and bytes by distance.
struct traffic {
    std::array<int, 3> light_{};
    std::array<int, 3> heavy_{};
    int waited_ = 0;

    int requests() const {
        int sum = 0;
        for (std::size_t i = 0; i < light_.size(); ++i) {
            sum += light_.at(i) + heavy_.at(i);
        }
        return sum;
    }
    double beyond_share() const {
        return static_cast<double>(light_[2] + heavy_[2]) / std::max(1, requests());
    }
    double waited_share() const { return static_cast<double>(waited_) / std::max(1, requests()); }
};

constexpr int zones_per_region = 2;

class simulation {
public:
    // `targets`: number of targets by zone; two zones are a region. Two caller proxies serve each
    // zone.
    explicit simulation(const std::vector<int>& targets) : zone_count_(targets.size()) {
        for (int zone = 0; zone < static_cast<int>(targets.size()); ++zone) {
            for (int i = 0; i < targets[static_cast<std::size_t>(zone)]; ++i) {
                targets_.push_back({zone, true, {}, {}});
            }
        }
        for (int zone = 0; zone < static_cast<int>(targets.size()); ++zone) {
            for (int i = 0; i < 2; ++i) {
                proxies_.push_back({zone, std::vector<target_knowledge>(targets_.size()), {}, {}});
            }
        }
    }

    // Runs for some seconds with a demand by zone, in slots, that depends on the time in seconds.
    // Returns the traffic of that time.
    traffic run_for(double seconds, const std::function<double(int zone, double time_s)>& demand) {
        counted_ = {};
        const int steps = static_cast<int>(seconds / step_s);
        for (int i = 0; i < steps; ++i) {
            now_ += step;
            end_runs();
            const double time_s = std::chrono::duration<double>(now_ - start).count();
            for (std::size_t p = 0; p < proxies_.size(); ++p) {
                const double rate = demand(proxies_[p].zone_, time_s) / mean_run_s / 2;
                if (fraction() < rate * step_s) {
                    send(p);
                }
                proxies_[p].region_shares_.push_back(proxies_[p].state_.region_.share_);
            }
        }
        return counted_;
    }

    void set_up(const std::function<bool(const simulated_target&, int index_in_zone)>& chosen,
                bool up) {
        std::vector<int> index(zone_count_);
        for (simulated_target& target : targets_) {
            if (chosen(target, index[static_cast<std::size_t>(target.zone_)]++)) {
                target.up_ = up;
                for (const run& ended : target.running_) {
                    --known(ended.proxy_, target).in_flight_;
                }
                for (const int proxy : target.waiting_) {
                    --known(proxy, target).in_flight_;
                }
                target.running_.clear();
                target.waiting_.clear();
            }
        }
    }

    std::vector<simulated_proxy>& proxies() { return proxies_; }
    locality_limits limits_;
    // False: targets are chosen without locality.
    bool by_locality_ = true;

private:
    double fraction() {
        return static_cast<double>(base::random_below(random_, 1'000'000)) / 1'000'000;
    }

    target_knowledge& known(int proxy, const simulated_target& target) {
        const auto index = static_cast<std::size_t>(&target - targets_.data());
        return proxies_[static_cast<std::size_t>(proxy)].known_[index];
    }

    base::duration draw_run() {
        const double run_s = mean_run_s * (0.5 + fraction());
        return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(run_s));
    }

    void end_runs() {
        for (simulated_target& target : targets_) {
            const auto first_ended =
                std::partition(target.running_.begin(), target.running_.end(),
                               [&](const run& running) { return running.ends_at_ > now_; });
            std::vector<run> ended(first_ended, target.running_.end());
            target.running_.erase(first_ended, target.running_.end());
            while (!target.waiting_.empty() && target.running_.size() < slots_per_target) {
                target.running_.push_back({now_ + draw_run(), target.waiting_.front()});
                target.waiting_.pop_front();
            }
            for (const run& done : ended) {
                target_knowledge& view = known(done.proxy_, target);
                --view.in_flight_;
                view.reported_ = true;
                view.others_load_ = std::max(0.0, target.load() - view.in_flight_);
                view.reported_at_ = now_;
            }
        }
    }

    std::vector<candidate> candidates_of(const simulated_proxy& proxy) const {
        std::vector<candidate> candidates(targets_.size());
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            candidate& target = candidates[i];
            const target_knowledge& view = proxy.known_[i];
            const int zone = targets_[i].zone_;
            if (zone != proxy.zone_) {
                target.distance_ = zone / zones_per_region == proxy.zone_ / zones_per_region
                                       ? distance::same_region
                                       : distance::other_region;
            }
            target.excluded_ = !targets_[i].up_;
            target.slots_ = slots_per_target;
            target.load_ = view.in_flight_;
            if (view.reported_) {
                target.report_age_ = now_ - view.reported_at_;
                const double age_s = std::chrono::duration<double>(target.report_age_).count();
                target.load_ += view.others_load_ * std::exp(-age_s);
                target.reported_load_ = view.in_flight_ + view.others_load_;
                target.run_duration_ = base::milliseconds(800);
            }
        }
        return candidates;
    }

    void send(std::size_t proxy_index) {
        simulated_proxy& proxy = proxies_[proxy_index];
        const bool heavy = fraction() < 0.4;
        choice_criteria criteria;
        criteria.kind_ = run_kind::idempotent;
        criteria.body_bytes_ = heavy ? heavy_bytes : light_bytes;
        const std::vector<candidate> candidates = candidates_of(proxy);
        const auto choice = by_locality_ ? choose_by_locality(proxy.state_, candidates, criteria,
                                                              limits_, now_, random_)
                                               .target_
                                         : choose_target(candidates, criteria, random_);
        REQUIRE(choice);
        simulated_target& target = targets_[choice->index_];
        const auto distance = static_cast<std::size_t>(candidates[choice->index_].distance_);
        ++(heavy ? counted_.heavy_ : counted_.light_).at(distance);
        ++known(static_cast<int>(proxy_index), target).in_flight_;
        if (target.running_.size() < slots_per_target) {
            target.running_.push_back({now_ + draw_run(), static_cast<int>(proxy_index)});
        } else {
            ++counted_.waited_;
            target.waiting_.push_back(static_cast<int>(proxy_index));
        }
    }

    std::size_t zone_count_;
    base::instant now_ = start;
    base::random_engine random_{17};
    std::vector<simulated_target> targets_;
    std::vector<simulated_proxy> proxies_;
    traffic counted_;
};

const std::vector<int> uneven_zones = {6, 5, 4, 4, 4, 4};
constexpr double mean_zone_slots = 4.5 * slots_per_target;

// How much a share flaps: its changes of direction by more than `swing`, and the largest such
// swing.
struct flapping {
    int changes_ = 0;
    double amplitude_ = 0;
};

flapping flapping_of(const std::vector<double>& shares, double swing) {
    flapping result;
    double extreme = shares.front();
    int direction = 0;
    for (const double share : shares) {
        const double moved = share - extreme;
        if (direction == 0 ? std::abs(moved) > swing : moved * direction < -swing) {
            result.amplitude_ = std::max(result.amplitude_, std::abs(moved));
            result.changes_ += direction == 0 ? 0 : 1;
            direction = moved > 0 ? 1 : -1;
            extreme = share;
        } else if (direction == 0 ? false : moved * direction > 0) {
            extreme = share;
        }
    }
    return result;
}

// Runs a load with and without locality, and returns the traffic with it. Checks that locality
// makes hardly more requests wait than the choice that disregards the distance to a large extent.
traffic compare_waits(const std::vector<int>& targets,
                      const std::function<traffic(simulation&)>& load) {
    constexpr double max_ratio = 1.5;
    constexpr double max_excess = 0.02;
    simulation without(targets);
    without.by_locality_ = false;
    const double usual = load(without).waited_share();
    simulation fleet(targets);
    const traffic counted = load(fleet);
    CHECK(counted.waited_share() < max_ratio * usual + max_excess);
    return counted;
}

}  // namespace

// Guards against needless crossings when each region has the slots that it needs.
TEST_CASE("an uneven service at an even load stays in its regions", "[locality]") {
    const auto even = [](int, double) { return 0.5 * mean_zone_slots; };
    const traffic counted = compare_waits(uneven_zones, [&](simulation& fleet) {
        fleet.run_for(10, even);
        return fleet.run_for(60, even);
    });
    CHECK(counted.beyond_share() < 0.01);
    const double zone_share = static_cast<double>(counted.light_[0] + counted.heavy_[0]) /
                              std::max(1, counted.requests());
    CHECK(zone_share > 0.6);
}

// Guards against a region that is left although only one of its zones is short.
TEST_CASE("a wave that passes from zone to zone is balanced over the region", "[locality]") {
    const auto wave = [](int zone, double time_s) {
        constexpr double two_pi = 6.283185307;
        return 0.5 * mean_zone_slots * (1 + 0.55 * std::sin(two_pi * (time_s / 13 - zone / 6.0)));
    };
    const traffic counted = compare_waits(uneven_zones, [&](simulation& fleet) {
        fleet.run_for(13, wave);
        return fleet.run_for(65, wave);
    });
    CHECK(counted.beyond_share() < 0.08);
}

// Guards against a region that queues while others are idle, and against heavy bodies that cross
// while light requests stay.
TEST_CASE("a region that loses half of its targets spills what it lacks, light requests first",
          "[locality]") {
    const auto even = [](int, double) { return 0.55 * mean_zone_slots; };
    const traffic counted = compare_waits(uneven_zones, [&](simulation& fleet) {
        fleet.run_for(20, even);
        fleet.set_up(
            [](const auto& target, int index) { return target.zone_ < 2 && index % 2 == 0; },
            false);
        fleet.run_for(3, even);
        return fleet.run_for(40, even);
    });
    CHECK(counted.beyond_share() > 0.05);
    CHECK(counted.beyond_share() < 0.3);
    const auto beyond = [](const std::array<int, 3>& by_distance) {
        return static_cast<double>(by_distance[2]) /
               std::max(1, by_distance[0] + by_distance[1] + by_distance[2]);
    };
    CHECK(beyond(counted.heavy_) < 0.4 * beyond(counted.light_));
}

TEST_CASE("a flash crowd in one zone spreads at once and comes back", "[locality]") {
    const auto even = [](int, double) { return 0.4 * mean_zone_slots; };
    const auto crowd = [](int zone, double) { return (zone == 2 ? 2.2 : 0.4) * mean_zone_slots; };
    const traffic during = compare_waits(uneven_zones, [&](simulation& fleet) {
        fleet.run_for(20, even);
        return fleet.run_for(10, crowd);
    });
    CHECK(during.beyond_share() > 0.05);
    CHECK(during.beyond_share() < 0.5);
    simulation fleet(uneven_zones);
    fleet.run_for(10, crowd);
    fleet.run_for(30, even);
    CHECK(fleet.run_for(30, even).beyond_share() < 0.01);
}

TEST_CASE("a zone with one target uses its region", "[locality]") {
    const auto even = [](int, double) { return 0.4 * 3.75 * slots_per_target; };
    const traffic counted = compare_waits({1, 6, 4, 4}, [&](simulation& fleet) {
        fleet.run_for(20, even);
        return fleet.run_for(40, even);
    });
    CHECK(counted.beyond_share() < 0.02);
}

// Guards against a region that is lost for its callers, and against one that stays idle after its
// return.
TEST_CASE("a region without usable targets spills all and gets its work back when it returns",
          "[locality]") {
    simulation fleet(uneven_zones);
    const auto even = [](int, double) { return 0.4 * mean_zone_slots; };
    const auto first_region = [](const auto& target, int) { return target.zone_ < 2; };
    fleet.run_for(10, even);
    fleet.set_up(first_region, false);
    fleet.limits_.max_spill_share_ = 0.1;
    const traffic lost = fleet.run_for(10, even);
    // A third of the callers have no target in their region; the cap does not hold for them.
    CHECK(lost.beyond_share() > 0.25);
    fleet.limits_.max_spill_share_ = 1;
    fleet.set_up(first_region, true);
    const traffic first_second = fleet.run_for(1, even);
    CHECK(first_second.beyond_share() > 0.02);
    fleet.run_for(30, even);
    CHECK(fleet.run_for(30, even).beyond_share() < 0.01);
}

TEST_CASE("the cap on the spill share holds while the region has usable targets", "[locality]") {
    simulation fleet(uneven_zones);
    fleet.limits_.max_spill_share_ = 0.05;
    const auto crowd = [](int zone, double) { return (zone < 2 ? 1.5 : 0.2) * mean_zone_slots; };
    const traffic capped = fleet.run_for(30, crowd);
    CHECK(capped.beyond_share() < 0.06);
    CHECK(capped.light_[2] + capped.heavy_[2] > 0);
    simulation closed(uneven_zones);
    closed.limits_.max_spill_share_ = 0;
    CHECK(closed.run_for(10, crowd).beyond_share() == 0);
}

// Flapping is measured as the changes of direction of a caller proxy's region share in a minute of
// constant load, and the largest swing between two of them.
TEST_CASE("the spill share does not flap under constant load", "[locality]") {
    const auto constant = [](int zone, double) {
        return (zone < 2 ? 1.25 : 0.4) * mean_zone_slots;
    };
    simulation fleet(uneven_zones);
    fleet.run_for(20, constant);
    for (simulated_proxy& proxy : fleet.proxies()) {
        proxy.region_shares_.clear();
    }
    CHECK(fleet.run_for(60, constant).beyond_share() > 0.05);
    for (const simulated_proxy& proxy : fleet.proxies()) {
        const flapping measured = flapping_of(proxy.region_shares_, 0.1);
        CAPTURE(proxy.zone_, measured.changes_, measured.amplitude_);
        CHECK(measured.changes_ <= 12);
        CHECK(measured.amplitude_ < 0.35);
    }
}

TEST_CASE("light requests spill before heavy ones", "[locality]") {
    CHECK(share_of_weight(0.3, 0.6, false) == Approx(0.5));
    CHECK(share_of_weight(0.3, 0.6, true) == 0);
    CHECK(share_of_weight(0.8, 0.6, false) == 1);
    CHECK(share_of_weight(0.8, 0.6, true) == Approx(0.5));
    CHECK(share_of_weight(0.4, 0, true) == Approx(0.4));
    CHECK(share_of_weight(0.4, 1, false) == Approx(0.4));
}

// Guards against two overloaded regions that exchange their requests.
TEST_CASE("nothing spills to targets that are as busy", "[locality]") {
    service_usage usage;
    usage.zone_ = usage.region_ = {10, 1.5, 3};
    usage.beyond_ = {10, 1.6, 3};
    locality_state state;
    base::instant now = start;
    for (int i = 0; i < 100; ++i) {
        update_shares(state, usage, now += base::milliseconds(100));
    }
    CHECK(state.region_.share_ == 0);
    usage.beyond_.utilisation_ = 0.2;
    update_shares(state, usage, now += base::milliseconds(100));
    CHECK(state.region_.share_ == Approx(0.4).margin(0.02));
    // Without own capacity all requests spill at once; the share falls slowly after its return.
    usage.region_ = {};
    update_shares(state, usage, now += base::milliseconds(100));
    CHECK(state.region_.share_ == 1);
    usage.region_ = {10, 0.0, 3};
    update_shares(state, usage, now += base::seconds(1));
    CHECK(state.region_.share_ > 0.7);
    for (int i = 0; i < 300; ++i) {
        update_shares(state, usage, now += base::milliseconds(100));
    }
    CHECK(state.region_.share_ == 0);
}

// Guards against a probe or trial that draws a heavy body to another region.
TEST_CASE("only light requests test a target in another region", "[locality]") {
    std::vector<candidate> targets(4);
    for (candidate& target : targets) {
        target.slots_ = 4;
        target.run_duration_ = base::milliseconds(800);
    }
    targets[3].distance_ = distance::other_region;
    targets[3].needs_probe_ = true;
    base::random_engine random(3);
    choice_criteria criteria;
    criteria.idempotent_ = true;
    const auto gets_request = [&](double body_bytes) {
        criteria.body_bytes_ = body_bytes;
        locality_state state;
        return choose_by_locality(state, targets, criteria, {}, start, random).target_->index_ == 3;
    };
    CHECK(gets_request(light_bytes));
    CHECK_FALSE(gets_request(heavy_bytes));
}

TEST_CASE("a body weighs by the usual responses of its kind and its distance", "[locality]") {
    response_sizes sizes;
    CHECK(expected_response_bytes(sizes, run_kind::idempotent) == 0);
    record_response_size(sizes, run_kind::idempotent, 20'000);
    CHECK(expected_response_bytes(sizes, run_kind::idempotent) == 20'000);
    for (int i = 0; i < 100; ++i) {
        record_response_size(sizes, run_kind::idempotent, 1'000);
    }
    CHECK(expected_response_bytes(sizes, run_kind::idempotent) == Approx(1'000).margin(10));
    CHECK(expected_response_bytes(sizes, run_kind::nested) == 0);

    locality_limits limits;
    limits.region_cost_ms_per_mb_ = 1000;
    const path_costs none = path_costs_of(limits, 0);
    CHECK(path_costs_of(limits, 500'000).region_ == none.region_ + base::milliseconds(500));
    CHECK(none.zone_ < none.region_);

    choice_criteria criteria;
    criteria.body_bytes_ = heavy_body_bytes;
    CHECK_FALSE(is_heavy(criteria));
    criteria.body_bytes_ = heavy_body_bytes + 1;
    CHECK(is_heavy(criteria));
    criteria.kind_ = run_kind::nested;
    CHECK_FALSE(is_heavy(criteria));
}

// Guards against an upload that crosses a border only to be refused.
TEST_CASE("a large body that may not be repeated waits for a slot beyond a border", "[locality]") {
    CHECK(body_waits_for_slot({false, 60'000, distance::same_region}));
    CHECK(body_waits_for_slot({false, 60'000, distance::other_region}));
    CHECK(body_waits_for_slot({false, std::nullopt, distance::other_region}));
    CHECK_FALSE(body_waits_for_slot({false, 60'000, distance::same_zone}));
    CHECK_FALSE(body_waits_for_slot({false, 2'000, distance::other_region}));
    CHECK_FALSE(body_waits_for_slot({true, 60'000, distance::other_region}));
    // One that is not kept cannot be sent to a second target, whatever the distance and kind.
    CHECK(body_waits_for_slot({false, 200'000, distance::same_zone, false}));
    CHECK(body_waits_for_slot({true, 200'000, distance::same_zone, false}));
    CHECK(body_waits_for_slot({true, std::nullopt, distance::other_region, false}));
}

// Guards against a change of the choices of deployments in which locality is off. The expected
// values are those of the release before it.
TEST_CASE("without locality the choice depends on the random numbers as before", "[locality]") {
    std::vector<candidate> targets(24);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        targets[i].slots_ = 4;
        targets[i].run_duration_ = base::milliseconds(700 + static_cast<int>(i * 37 % 300));
        targets[i].load_ = static_cast<double>(i % 6);
        targets[i].distance_ = static_cast<distance>(i % 3);
        targets[i].stopping_ = i == 5;
        targets[i].ejected_ = i == 7;
    }
    targets[9].needs_probe_ = true;
    base::random_engine random(5);
    std::uint64_t digest = 0;
    for (int i = 0; i < 200; ++i) {
        choice_criteria criteria;
        criteria.idempotent_ = i % 2 == 0;
        criteria.download_ = i % 3 == 0;
        criteria.found_busy_ = i % 5 == 0;
        digest = digest * 31 + choose_target(targets, criteria, random)->index_;
    }
    CHECK(digest == 16314408088952198951U);
}

// Guards against: a request with allowed regions elsewhere made its service look short of capacity
// near by, so that the requests of others spilled as well.
TEST_CASE("targets that one request may not use remain capacity for others", "[locality]") {
    std::vector<candidate> targets(6);
    for (candidate& target : targets) {
        target.slots_ = slots_per_target;
        target.distance_ = distance::same_zone;
    }
    const service_usage usable = measure_usage(targets);
    for (candidate& target : targets) {
        target.disallowed_ = true;
    }
    const service_usage disallowed = measure_usage(targets);
    CHECK(disallowed.zone_.slots_ == usable.zone_.slots_);
    CHECK(disallowed.region_.slots_ == usable.region_.slots_);
    CHECK(usable.region_.targets_ == targets.size());
    CHECK(disallowed.region_.targets_ == 0);
    base::random_engine random = base::make_random_engine();
    CHECK_FALSE(choose_target(targets, {}, random));
}
