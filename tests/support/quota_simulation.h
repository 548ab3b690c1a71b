// A fleet's quota on a paused clock: hosts are killed, frozen and partitioned, their host lists
// differ, messages are delayed and lost, all by a seed. It counts the requests that were admitted
// in every window.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "control/fleet_quota.h"

namespace dandelionridge::support::quota_simulation {

inline constexpr double rate_per_s = 20;
inline constexpr std::int64_t burst = 20;
inline constexpr std::size_t host_count = 7;
inline const std::string organisation = "bends";

inline constexpr base::duration time_step = base::milliseconds(10);
inline constexpr base::duration max_wait = base::milliseconds(500);
// Time after which a link that carries nothing is detected as broken.
inline constexpr base::duration silence_timeout = base::milliseconds(700);
// A host notices that it stood still for this time. Its links are then open again after
// reopening_time.
inline constexpr base::duration stall_threshold = base::milliseconds(500);
inline constexpr base::duration reopening_time = base::milliseconds(60);

struct faults {
    bool kills_ = false;
    bool freezes_ = false;
    bool partitions_ = false;
    bool host_list_changes_ = false;
    // Links are watched as in a running fleet: a break is detected only on a link that is used,
    // and a host that stood still notices that and reopens its links.
    bool links_watched_in_use_ = false;
};

class simulated_fleet;

class simulated_host final : public control::peer_sender {
public:
    simulated_host(simulated_fleet& fleet, std::size_t index);

    void send(const std::string& host, const wire::frame& frame) override;
    bool reachable(const std::string& host) const override;
    bool absent(const std::string& host) const override { return !reachable(host); }

    void boot();
    void set_hosts(const std::vector<std::string>& names, std::int64_t version);

    simulated_fleet& fleet_;
    std::size_t index_;
    bool up_ = true;
    base::instant frozen_until_{};
    base::instant last_run_at_{};
    std::unique_ptr<control::configuration> configuration_;
    std::unique_ptr<control::fleet_quota> quota_;
};

struct message {
    base::instant due_{};
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    wire::frame frame_;
};

class request final : public control::quota_listener {
public:
    explicit request(simulated_fleet& fleet) : fleet_(fleet) {}
    void on_admitted() override;
    void on_over_rate(base::duration /*retry_after*/) override;

private:
    simulated_fleet& fleet_;
};

class simulated_fleet {
public:
    simulated_fleet(std::uint64_t seed, faults enabled, policy::quota_tolerance tolerance = {})
        : random_(seed), tolerance_(tolerance), faults_(enabled) {
        clock_.pause();
        for (std::size_t i = 0; i < host_count; ++i) {
            names_.push_back("h" + std::to_string(i));
            hosts_.push_back(std::make_unique<simulated_host>(*this, i));
        }
        for (auto& host : hosts_) {
            host->boot();
        }
    }

    void run(base::duration run_time, int demand_percent) {
        const base::instant end = clock_.now() + run_time;
        while (clock_.now() < end) {
            clock_.advance(time_step);
            inject_faults();
            deliver();
            for (auto& host : hosts_) {
                if (running(host->index_)) {
                    notice_stall(*host);
                    host->quota_->tick();
                    if (callers_.empty() || callers_.contains(host->index_)) {
                        generate_request(*host, demand_percent);
                    }
                }
            }
        }
    }

    bool running(std::size_t host) const {
        return hosts_[host]->up_ && clock_.now() >= hosts_[host]->frozen_until_;
    }

    // Returns true if messages pass between two hosts at present.
    bool connected(std::size_t first, std::size_t second) const {
        return running(first) && running(second) && partition_[first] == partition_[second] &&
               !cut_pairs_.contains(std::minmax(first, second));
    }

    // Returns true if the hosts regard the link between them as open: a break is detected only
    // after silence_timeout.
    bool link_open(std::size_t first, std::size_t second) const {
        const auto pair = std::minmax(first, second);
        if (const auto reopened = reopened_at_.find(pair);
            reopened != reopened_at_.end() && clock_.now() < reopened->second) {
            return false;
        }
        const auto& broken_links = faults_.links_watched_in_use_ ? used_broken_ : broken_since_;
        const auto broken = broken_links.find(pair);
        return broken == broken_links.end() || clock_.now() - broken->second < silence_timeout;
    }

    // Records that a host sends to another one.
    void record_use(std::size_t from, std::size_t to) {
        if (!connected(from, to)) {
            used_broken_.try_emplace(std::minmax(from, to), clock_.now());
        }
    }

    void freeze(const std::string& name, base::duration time) {
        hosts_[std::stoul(name.substr(1))]->frozen_until_ = clock_.now() + time;
    }

    // Returns the maximum number of requests admitted beyond `factor` times rate and burst in any
    // window of that length; negative if that limit was never reached.
    double max_excess(base::duration window, double factor) const {
        double max_excess_so_far = -1e9;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted_.size(); ++last) {
            while (admitted_[last] - admitted_[first] >= window) {
                ++first;
            }
            const std::chrono::duration<double> window_length = window;
            const double allowed = (rate_per_s * window_length.count() + burst) * factor;
            max_excess_so_far =
                std::max(max_excess_so_far, static_cast<double>(last - first + 1) - allowed);
        }
        return max_excess_so_far;
    }

    std::size_t admitted() const { return admitted_.size(); }
    std::size_t refused() const { return refused_; }

    base::runtime_clock clock_;
    base::random_engine random_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::deque<message> messages_;
    std::deque<std::unique_ptr<request>> requests_;
    std::vector<base::instant> admitted_;
    std::size_t refused_ = 0;
    policy::quota_tolerance tolerance_;
    // Hosts through which requests come; all if empty.
    std::set<std::size_t> callers_;
    // Pairs of hosts between which no message passes.
    std::set<std::pair<std::size_t, std::size_t>> cut_pairs_;

private:
    bool one_in(int n) { return base::random_below(random_, static_cast<std::uint64_t>(n)) == 0; }

    void inject_faults() {
        for (auto& host : hosts_) {
            if (faults_.kills_ && host->up_ && one_in(400)) {
                host->up_ = false;
                host->quota_.reset();
            } else if (!host->up_ && one_in(100)) {
                host->up_ = true;
                host->boot();
            } else if (faults_.freezes_ && host->up_ && one_in(600)) {
                host->frozen_until_ =
                    clock_.now() + base::milliseconds(base::random_below(random_, 4000));
            }
        }
        if (faults_.partitions_ && one_in(300)) {
            for (std::size_t i = 0; i < host_count; ++i) {
                partition_[i] = one_in(3) ? 1 : 0;
            }
        } else if (one_in(200)) {
            partition_ = {};
        }
        if (faults_.host_list_changes_ && one_in(300)) {
            publish_host_list();
        }
        update_links();
    }

    // Publishes a host list that lacks one of the hosts. Each running host misses it with a
    // probability of one in ten, so the lists of the hosts differ.
    void publish_host_list() {
        std::vector<std::string> listed = names_;
        listed.erase(listed.begin() +
                     static_cast<std::ptrdiff_t>(base::random_below(random_, listed.size())));
        ++list_version_;
        for (auto& host : hosts_) {
            if (host->up_ && !one_in(10)) {
                host->set_hosts(listed, list_version_);
            }
        }
    }

    // Has a host that was paused for long enough end its links and notify its quota.
    void notice_stall(simulated_host& host) {
        const base::instant last_run = std::exchange(host.last_run_at_, clock_.now());
        if (!faults_.links_watched_in_use_ || clock_.now() - last_run < stall_threshold) {
            return;
        }
        host.quota_->on_stall();
        for (std::size_t peer = 0; peer < host_count; ++peer) {
            reopened_at_[std::minmax(host.index_, peer)] = clock_.now() + reopening_time;
        }
    }

    void update_links() {
        for (std::size_t first = 0; first < host_count; ++first) {
            for (std::size_t second = first + 1; second < host_count; ++second) {
                if (connected(first, second)) {
                    broken_since_.erase({first, second});
                    used_broken_.erase({first, second});
                } else {
                    broken_since_.try_emplace({first, second}, clock_.now());
                }
            }
        }
    }

    void deliver() {
        std::deque<message> later;
        std::deque<message> due;
        for (message& pending : messages_) {
            (pending.due_ <= clock_.now() ? due : later).push_back(std::move(pending));
        }
        messages_ = std::move(later);
        for (const message& delivered : due) {
            if (!connected(delivered.from_, delivered.to_)) {
                continue;
            }
            simulated_host& receiver = *hosts_[delivered.to_];
            if (delivered.frame_.__isset.lease_request_) {
                wire::frame reply;
                if (const auto grant = receiver.quota_->on_request(delivered.frame_.lease_request_,
                                                                   names_[delivered.from_])) {
                    reply.__set_lease_grant_(*grant);
                    receiver.send(names_[delivered.from_], reply);
                }
            } else {
                receiver.quota_->on_grant(delivered.frame_.lease_grant_);
            }
        }
    }

    void generate_request(simulated_host& host, int demand_percent) {
        // Probability per step and host that yields the demand over all hosts.
        const double probability = rate_per_s * demand_percent / 100 / host_count * 0.01;
        const auto random_fraction =
            static_cast<double>(base::random_below(random_, 1'000'000)) / 1'000'000;
        if (random_fraction < probability) {
            requests_.push_back(std::make_unique<request>(*this));
            host.quota_->admit(organisation, 0, max_wait, *requests_.back());
        }
    }

    faults faults_;
    std::array<int, host_count> partition_{};
    std::map<std::pair<std::size_t, std::size_t>, base::instant> broken_since_;
    // Time of the first message on each broken link.
    std::map<std::pair<std::size_t, std::size_t>, base::instant> used_broken_;
    // Time until which the links of a host that stood still are being opened.
    std::map<std::pair<std::size_t, std::size_t>, base::instant> reopened_at_;
    std::int64_t list_version_ = 1;
};

}  // namespace dandelionridge::support::quota_simulation
