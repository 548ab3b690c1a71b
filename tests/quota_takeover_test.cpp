// A fleet in which owners of quota are frozen while the links to them count as open. Each host
// ticks as in a node, messages take some milliseconds, and those to a frozen host wait until it
// wakes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "control/fleet_quota.h"

using namespace dandelionridge;

namespace {

constexpr std::size_t host_count = 40;
constexpr double rate_per_s = 20;
constexpr std::int64_t burst = 20;
constexpr base::duration time_step = base::milliseconds(5);
constexpr base::duration tick_interval = base::milliseconds(50);
constexpr std::uint64_t max_latency_ms = 8;
constexpr policy::quota_tolerance tolerance{base::seconds(5), 0.25, 20};
// (rate * window + burst) * (1 + overage) + slack
constexpr double allowed_in_window = (rate_per_s * 5 + burst) * (1 + 0.25) + 20;
constexpr base::duration freeze_time = base::seconds(4);

std::string host_name(std::size_t index) {
    return "h" + std::to_string(index);
}

std::size_t host_index(const std::string& name) {
    return std::stoul(name.substr(1));
}

std::string organisation_name(std::size_t index) {
    return "bends" + std::to_string(index);
}

class fleet;

class fleet_host final : public control::peer_sender {
public:
    fleet_host(fleet& owner, std::size_t index);

    void send(const std::string& host, const wire::frame& frame) override;
    bool reachable(const std::string& host) const override { return host != host_name(index_); }
    bool absent(const std::string& /*host*/) const override { return false; }

    fleet& fleet_;
    std::size_t index_;
    base::instant frozen_until_{};
    base::instant next_tick_at_{};
    control::configuration configuration_;
    std::unique_ptr<control::fleet_quota> quota_;
};

struct message {
    base::instant due_{};
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    wire::frame frame_;
};

// What became of the requests of one organisation.
struct outcome {
    std::vector<base::instant> admitted_;
    std::vector<base::instant> refused_;
    std::size_t sent_ = 0;

    // Returns the maximum number of requests that were admitted in any window of the tolerance.
    std::size_t most_in_window() const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted_.size(); ++last) {
            while (admitted_[last] - admitted_[first] >= tolerance.window_) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

class request final : public control::quota_listener {
public:
    request(const base::runtime_clock& clock, outcome& result) : clock_(clock), result_(result) {}
    void on_admitted() override { result_.admitted_.push_back(clock_.now()); }
    void on_over_rate(base::duration /*retry_after*/) override {
        result_.refused_.push_back(clock_.now());
    }

private:
    const base::runtime_clock& clock_;
    outcome& result_;
};

class fleet {
public:
    fleet(std::uint64_t seed, std::size_t organisations) : random_(seed), outcomes_(organisations) {
        clock_.pause();
        for (std::size_t i = 0; i < host_count; ++i) {
            names_.push_back(host_name(i));
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            hosts_.push_back(std::make_unique<fleet_host>(*this, i));
        }
    }

    // Runs with requests for each organisation at random hosts that are never frozen.
    void run(base::duration time, double demand_per_s) {
        const base::instant end = clock_.now() + time;
        while (clock_.now() < end) {
            clock_.advance(time_step);
            deliver();
            for (auto& host : hosts_) {
                if (running(host->index_) && clock_.now() >= host->next_tick_at_) {
                    host->next_tick_at_ = clock_.now() + tick_interval;
                    host->quota_->tick();
                }
            }
            generate_requests(demand_per_s);
        }
    }

    bool running(std::size_t host) const { return clock_.now() >= hosts_[host]->frozen_until_; }

    // Chooses the hosts of the first ranks of the first organisation to be frozen.
    void choose_first_owners(std::size_t ranks) {
        const auto owners = policy::rank_owners(organisation_name(0), names_);
        for (std::size_t rank = 0; rank < std::min(ranks, owners.size()); ++rank) {
            to_freeze_.insert(host_index(owners[rank]));
        }
    }

    void choose_share(double share) {
        while (static_cast<double>(to_freeze_.size()) < share * host_count) {
            to_freeze_.insert(random_below(host_count));
        }
    }

    void freeze() {
        for (const std::size_t host : to_freeze_) {
            hosts_[host]->frozen_until_ = clock_.now() + freeze_time;
        }
    }

    // Cuts the fleet into this many sides at random; messages between them wait until it is whole.
    void cut(std::size_t sides) {
        sides_.clear();
        for (std::size_t i = 0; i < host_count; ++i) {
            sides_.push_back(random_below(sides));
        }
    }

    std::size_t side(std::size_t host) const { return sides_.empty() ? 0 : sides_[host]; }

    std::uint64_t random_below(std::uint64_t bound) { return base::random_below(random_, bound); }

    base::runtime_clock clock_;
    base::random_engine random_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<fleet_host>> hosts_;
    std::deque<message> messages_;
    std::deque<request> requests_;
    std::vector<outcome> outcomes_;
    std::set<std::size_t> to_freeze_;
    std::vector<std::size_t> sides_;

private:
    void deliver() {
        std::deque<message> due;
        std::deque<message> later;
        for (message& pending : messages_) {
            const bool arrives = pending.due_ <= clock_.now() && running(pending.to_) &&
                                 side(pending.from_) == side(pending.to_);
            (arrives ? due : later).push_back(std::move(pending));
        }
        messages_ = std::move(later);
        for (const message& arrived : due) {
            control::fleet_quota& quota = *hosts_[arrived.to_]->quota_;
            if (!arrived.frame_.__isset.lease_request_) {
                quota.on_grant(arrived.frame_.lease_grant_);
                continue;
            }
            const std::string requester = host_name(arrived.from_);
            if (const auto grant = quota.on_request(arrived.frame_.lease_request_, requester)) {
                wire::frame reply;
                reply.__set_lease_grant_(*grant);
                hosts_[arrived.to_]->send(requester, reply);
            }
        }
    }

    void generate_requests(double demand_per_s) {
        constexpr std::uint64_t resolution = 1'000'000;
        const std::chrono::duration<double> step = time_step;
        const auto threshold = static_cast<std::uint64_t>(demand_per_s * step.count() *
                                                          static_cast<double>(resolution));
        const base::duration max_wait = policy::quota_max_wait({}, base::seconds(10));
        for (std::size_t i = 0; i < outcomes_.size(); ++i) {
            if (random_below(resolution) >= threshold) {
                continue;
            }
            std::size_t host = random_below(host_count);
            while (to_freeze_.contains(host)) {
                host = random_below(host_count);
            }
            ++outcomes_[i].sent_;
            requests_.emplace_back(clock_, outcomes_[i]);
            hosts_[host]->quota_->admit(organisation_name(i), 0, max_wait, requests_.back());
        }
    }
};

fleet_host::fleet_host(fleet& owner, std::size_t index) : fleet_(owner), index_(index) {
    std::vector<std::string> rules = {"zone z1 # test"};
    for (std::size_t i = 0; i < fleet_.outcomes_.size(); ++i) {
        rules.push_back("organisation " + organisation_name(i) + " rate=20/s burst=20 # test");
    }
    configuration_.offer_lines(control::config_value_kind::rules, 1, rules);
    std::vector<std::string> lines;
    for (const std::string& name : fleet_.names_) {
        lines.push_back(R"({"host":")" + name +
                        R"(","zone":"z1","address":"10.0.0.1:1","state":"live","targets":[]})");
    }
    configuration_.offer_lines(control::config_value_kind::hosts, 1, lines);
    quota_ = std::make_unique<control::fleet_quota>(fleet_.clock_, configuration_, *this,
                                                    host_name(index), tolerance);
    quota_->on_hosts_changed();
    next_tick_at_ = fleet_.clock_.now() + base::milliseconds(fleet_.random_below(50));
}

void fleet_host::send(const std::string& host, const wire::frame& frame) {
    const auto latency = base::milliseconds(1 + fleet_.random_below(max_latency_ms));
    fleet_.messages_.push_back({fleet_.clock_.now() + latency, index_, host_index(host), frame});
}

constexpr int seed_count = 6;
constexpr base::duration start_time = base::seconds(3);
constexpr base::duration time_after_wake = base::seconds(4);
// Half of the rate: an organisation is inside it in spite of chance, and inside the part of it that
// is granted while owners are silent.
constexpr double demand_inside_rate = rate_per_s / 2;
constexpr double flood = rate_per_s * 4;

constexpr std::size_t frozen_ranks = 5;

}  // namespace

// Guards against: an organisation whose first owners are all frozen, which every host asked one
// after another and then refused, although most of the fleet was alive.
TEST_CASE("requests inside the rate are admitted in time while the first five owners are frozen",
          "[quota][promise-quota]") {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        fleet hosts(seed, 1);
        hosts.choose_first_owners(frozen_ranks);
        hosts.run(start_time, 0);
        hosts.run(start_time, demand_inside_rate);
        hosts.freeze();
        hosts.run(freeze_time, demand_inside_rate);
        CHECK(hosts.outcomes_[0].refused_.empty());
        hosts.run(time_after_wake, demand_inside_rate);
        hosts.run(base::seconds(1), 0);
        CHECK(hosts.outcomes_[0].refused_.empty());
        CHECK(hosts.outcomes_[0].admitted_.size() == hosts.outcomes_[0].sent_);
        CHECK(hosts.outcomes_[0].sent_ > 50);
    }
}

// Guards against: refusals inside the rate while a large part of the fleet is frozen.
TEST_CASE("requests inside the rate are admitted in time while 40% of the fleet is frozen",
          "[quota][promise-quota]") {
    constexpr std::size_t organisations = 12;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        fleet hosts(seed, organisations);
        hosts.choose_share(0.4);
        hosts.run(start_time, 0);
        hosts.run(start_time, demand_inside_rate);
        hosts.freeze();
        hosts.run(freeze_time, demand_inside_rate);
        hosts.run(time_after_wake, demand_inside_rate);
        hosts.run(base::seconds(1), 0);
        for (std::size_t i = 0; i < organisations; ++i) {
            INFO("organisation " << i);
            CHECK(hosts.outcomes_[i].refused_.empty());
        }
    }
}

// Guards against: owners that grant side by side, before and after the frozen ones wake.
TEST_CASE("a flood gets no more than the rate allows while owners are frozen and wake",
          "[quota][promise-quota]") {
    for (const bool first_owners : {true, false}) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            INFO("seed " << seed << ", first owners " << first_owners);
            fleet hosts(seed, 3);
            if (first_owners) {
                hosts.choose_first_owners(frozen_ranks);
            } else {
                hosts.choose_share(0.4);
            }
            hosts.run(start_time, flood);
            hosts.freeze();
            hosts.run(freeze_time + time_after_wake, flood);
            for (const outcome& result : hosts.outcomes_) {
                CHECK(static_cast<double>(result.most_in_window()) <= allowed_in_window);
                CHECK(result.admitted_.size() > 100);
            }
        }
    }
}

// Guards against: owners of several sides that each grant as if they reached the whole fleet, until
// the links between the sides are known to be lost.
TEST_CASE("a flood gets no more than the rate allows in a cut that is found after 2 s",
          "[quota][promise-quota]") {
    constexpr base::duration cut_time = base::seconds(2);
    for (const std::size_t sides : {2, 3}) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            INFO("seed " << seed << ", " << sides << " sides");
            fleet hosts(seed, 4);
            hosts.run(start_time, flood);
            hosts.cut(sides);
            hosts.run(cut_time, flood);
            hosts.cut(1);
            hosts.run(time_after_wake, flood);
            for (const outcome& result : hosts.outcomes_) {
                CHECK(static_cast<double>(result.most_in_window()) <= allowed_in_window);
            }
        }
    }
}
