// How the knowledge of frozen hosts spreads through a fleet: the rules of policy/membership and
// policy/link_liveness on simulated hosts, without sockets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <iostream>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "policy/link_liveness.h"
#include "policy/membership.h"
#include "policy/token_bucket.h"

using namespace dandelionridge;
using base::milliseconds;
using policy::member_state;

namespace {

constexpr base::duration latency = milliseconds(2);
constexpr base::duration retransmission_timeout = milliseconds(200);
constexpr base::duration tick_interval = milliseconds(50);
constexpr base::duration first_ping_delay = milliseconds(150);
constexpr base::duration ping_interval = milliseconds(300);
constexpr base::duration mean_run_time = milliseconds(60);
constexpr double requests_per_second = 4;
constexpr std::size_t checked_links = 64;
constexpr std::size_t notices_per_tick = 3;
constexpr std::size_t max_entries = 32;
constexpr std::size_t notice_bytes = 12;
constexpr std::size_t entry_bytes = 25;
constexpr std::size_t max_notice_bytes = 2048;
constexpr std::int64_t max_spread_ms = 1000;
constexpr double notice_bytes_per_second = 1024;
constexpr std::int64_t notice_burst_bytes = 16 * 1024;

struct freeze_plan {
    std::size_t hosts_ = 0;
    std::size_t frozen_ = 0;
    // Probability that a packet is lost. TCP sends it again after a timeout.
    double loss_ = 0;
    std::uint64_t seed_ = 0;
    base::duration run_time_ = base::seconds(2);
};

struct freeze_result {
    // Times from the freeze until a live host does not choose a frozen one, until it counts it as
    // silent, and to the latter from the first suspicion of any host, over all pairs of a live and
    // a frozen host, in milliseconds and sorted.
    std::vector<std::int64_t> avoided_ms_;
    std::vector<std::int64_t> silent_ms_;
    std::vector<std::int64_t> spread_ms_;
    // Changes of states of sound hosts: to suspected, to silent because a link to it was silent,
    // and to silent because of reports.
    std::size_t false_suspicions_ = 0;
    std::size_t false_link_losses_ = 0;
    std::size_t false_confirmations_ = 0;
    double most_bytes_per_second_ = 0;
    double mean_bytes_per_second_ = 0;
};

struct link_state {
    policy::link_liveness liveness_;
    std::uint64_t received_bytes_ = 0;
    base::instant unanswered_since_{};
    base::instant last_heard_{};
    int open_attempts_ = 0;
    std::uint64_t timer_ = 0;
    bool pinging_ = false;
    bool reports_next_frame_ = false;
    bool lost_ = false;
};

struct host_state {
    policy::membership known_;
    policy::token_bucket bytes_;
    std::unordered_map<std::size_t, link_state> links_;
    base::instant last_check_{};
    std::size_t bytes_sent_ = 0;
};

class freeze_simulation {
public:
    explicit freeze_simulation(const freeze_plan& plan)
        : plan_(plan), random_(plan.seed_), hosts_(plan.hosts_) {
        for (std::size_t i = 0; i < plan.hosts_; ++i) {
            names_.push_back("10.0." + std::to_string(i));
            ids_.emplace(names_.back(), i);
        }
        for (std::size_t i = plan.frozen_; i < plan.hosts_; ++i) {
            hosts_[i].known_.peer_count_ = plan.hosts_ - 1;
            hosts_[i].bytes_ =
                policy::make_bucket(notice_bytes_per_second, notice_burst_bytes, now_);
            schedule(random_time(tick_interval), [this, i] { tick(i); });
            schedule(random_time(base::seconds(1)), [this, i] { request(i); });
        }
    }

    freeze_result run() {
        const base::instant end = now_ + plan_.run_time_;
        while (!events_.empty() && events_.top().at_ < end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.run_();
        }
        return result();
    }

private:
    struct event {
        base::instant at_{};
        std::uint64_t order_ = 0;
        std::function<void()> run_;

        bool operator>(const event& other) const {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    void schedule(base::duration delay, std::function<void()> run) {
        events_.push({now_ + delay, ++scheduled_, std::move(run)});
    }

    base::duration random_time(base::duration below) {
        return base::duration(static_cast<std::int64_t>(
            base::random_below(random_, static_cast<std::uint64_t>(below.count()))));
    }

    base::duration exponential(base::duration mean) {
        std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
        return base::duration(static_cast<std::int64_t>(distribution(random_)));
    }

    // Time that a frame takes, with what TCP needs to send lost packets again.
    base::duration transit_time() {
        std::bernoulli_distribution lost(plan_.loss_);
        base::duration time = latency;
        for (base::duration timeout = retransmission_timeout; lost(random_); timeout *= 2) {
            time += timeout;
        }
        return time;
    }

    bool is_frozen(std::size_t host) const { return host < plan_.frozen_; }

    std::size_t other_host(std::size_t host) {
        const std::size_t other = base::random_below(random_, plan_.hosts_ - 1);
        return other + (other >= host ? 1 : 0);
    }

    // Returns the link to a host, whose boot is known since the link was opened.
    link_state& link_to(std::size_t from, std::size_t to) {
        const auto [link, created] = hosts_[from].links_.try_emplace(to);
        if (created) {
            policy::record_heard(hosts_[from].known_, names_[to], boot, {}, now_);
        }
        return link->second;
    }

    void request(std::size_t from) {
        const base::duration mean(static_cast<std::int64_t>(1e9 / requests_per_second));
        schedule(exponential(mean), [this, from] { request(from); });
        const std::size_t to = other_host(from);
        link_state& link = link_to(from, to);
        if (link.lost_ ||
            policy::state_of(hosts_[from].known_, names_[to]) != member_state::alive) {
            return;
        }
        ++link.open_attempts_;
        if (!link.pinging_) {
            link.pinging_ = true;
            start_timer(from, to, first_ping_delay);
        }
        if (!is_frozen(to)) {
            schedule(transit_time() + exponential(mean_run_time) + transit_time(),
                     [this, from, to] {
                         --hosts_[from].links_[to].open_attempts_;
                         on_frame(from, to);
                     });
        }
    }

    void start_timer(std::size_t from, std::size_t to, base::duration delay) {
        const std::uint64_t timer = ++hosts_[from].links_[to].timer_;
        schedule(delay, [this, from, to, timer] {
            if (hosts_[from].links_[to].timer_ == timer) {
                on_ping_due(from, to);
            }
        });
    }

    void on_frame(std::size_t from, std::size_t to) {
        link_state& link = hosts_[from].links_[to];
        link.received_bytes_ += 100;
        link.last_heard_ = now_;
        if (link.reports_next_frame_) {
            link.reports_next_frame_ = false;
            record_change(from, to,
                          policy::record_heard(hosts_[from].known_, names_[to], boot, now_, now_));
        }
    }

    void on_ping_due(std::size_t from, std::size_t to) {
        link_state& link = hosts_[from].links_[to];
        policy::record_received(link.liveness_, link.received_bytes_);
        if (policy::awaits_pong(link.liveness_)) {
            const bool silent = policy::is_silent(link.liveness_);
            link.reports_next_frame_ = true;
            record_change(from, to,
                          policy::record_unanswered(hosts_[from].known_, names_[to],
                                                    link.unanswered_since_, silent, now_));
            if (silent || state_at(from, to) == member_state::silent) {
                link.lost_ = is_frozen(to);
                link.pinging_ = false;
                link.liveness_ = {};
                return;
            }
        } else if (link.open_attempts_ == 0) {
            link.pinging_ = false;
            return;
        }
        ping(from, to);
    }

    void ping(std::size_t from, std::size_t to) {
        link_state& link = hosts_[from].links_[to];
        if (!policy::awaits_pong(link.liveness_)) {
            link.unanswered_since_ = now_;
        }
        const std::int64_t nonce = policy::record_ping(link.liveness_, link.received_bytes_);
        link.pinging_ = true;
        start_timer(from, to, ping_interval);
        if (!is_frozen(to)) {
            schedule(transit_time() + transit_time(), [this, from, to, nonce] {
                policy::record_pong(hosts_[from].links_[to].liveness_, nonce);
                on_frame(from, to);
            });
        }
    }

    void check(std::size_t from, std::size_t to) {
        link_state& link = link_to(from, to);
        if (link.lost_) {
            return;
        }
        link.reports_next_frame_ = true;
        if (!policy::awaits_pong(link.liveness_)) {
            ping(from, to);
        }
    }

    void check_links(std::size_t from) {
        if (now_ - hosts_[from].last_check_ < base::seconds(1)) {
            return;
        }
        hosts_[from].last_check_ = now_;
        for (std::size_t i = 0; i < checked_links; ++i) {
            check(from, other_host(from));
        }
    }

    member_state state_at(std::size_t host, std::size_t other) const {
        return policy::state_of(hosts_[host].known_, names_[other]);
    }

    void record_change(std::size_t at, std::size_t host,
                       const std::optional<policy::member_change>& change) {
        if (!change) {
            return;
        }
        const std::int64_t elapsed_ms = base::whole_ms(now_ - start_);
        if (change->to_ == member_state::alive) {
            return;
        }
        if (!is_frozen(host)) {
            count_false_change(at, host, change->to_);
        } else {
            first_found_ms_.try_emplace(host, elapsed_ms);
            if (change->from_ == member_state::alive) {
                result_.avoided_ms_.push_back(elapsed_ms);
            }
            if (change->to_ == member_state::silent) {
                result_.silent_ms_.push_back(elapsed_ms);
                result_.spread_ms_.push_back(elapsed_ms - first_found_ms_.at(host));
            }
        }
        if (policy::suggests_common_fault(hosts_[at].known_, *change)) {
            check_links(at);
        }
    }

    void count_false_change(std::size_t at, std::size_t host, member_state state) {
        if (state == member_state::suspected) {
            ++result_.false_suspicions_;
        } else if (hosts_[at].known_.members_.at(names_[host]).link_silent_) {
            ++result_.false_link_losses_;
        } else {
            ++result_.false_confirmations_;
        }
    }

    void tick(std::size_t from) {
        schedule(tick_interval, [this, from] { tick(from); });
        host_state& host = hosts_[from];
        for (const auto& [name, change] : policy::expire_evidence(host.known_, now_)) {
            record_change(from, ids_.at(name), change);
        }
        for (std::size_t i = 0; i < notices_per_tick && !host.known_.notices_.empty(); ++i) {
            const std::size_t to = other_host(from);
            if (state_at(from, to) != member_state::alive) {
                continue;
            }
            if (!policy::overdraw(host.bytes_, 0, now_)) {
                return;
            }
            send_notice(from, to);
        }
    }

    void send_notice(std::size_t from, std::size_t to) {
        host_state& host = hosts_[from];
        auto entries = policy::take_notices(host.known_, max_entries, now_);
        std::size_t bytes = notice_bytes;
        for (const policy::member_notice& entry : entries) {
            bytes += entry_bytes + entry.reporter_.size();
        }
        policy::overdraw(host.bytes_, static_cast<double>(bytes), now_);
        host.bytes_sent_ += bytes;
        if (is_frozen(to)) {
            return;
        }
        schedule(transit_time(), [this, from, to, entries = std::move(entries)] {
            for (const policy::member_notice& entry : entries) {
                on_entry(to, entry.reporter_.empty() ? from : ids_.at(entry.reporter_), entry);
            }
        });
    }

    void on_entry(std::size_t at, std::size_t reporter, const policy::member_notice& entry) {
        const std::size_t host = ids_.at(entry.host_);
        if (host == at || reporter == at) {
            return;
        }
        policy::membership& known = hosts_[at].known_;
        if (entry.state_ == member_state::alive) {
            record_change(
                at, host,
                policy::record_refutation(known, entry.host_, entry.boot_, entry.age_, now_));
            return;
        }
        record_change(at, host,
                      policy::record_heard(known, entry.host_, boot,
                                           hosts_[at].links_[host].last_heard_, now_));
        const policy::report_result reported =
            policy::record_report(known, entry.host_, boot, entry.age_, names_[reporter], now_);
        if (reported.outcome_ == policy::report_outcome::accepted) {
            check(at, host);
        }
        record_change(at, host, reported.change_);
    }

    freeze_result result() {
        std::sort(result_.avoided_ms_.begin(), result_.avoided_ms_.end());
        std::sort(result_.silent_ms_.begin(), result_.silent_ms_.end());
        std::sort(result_.spread_ms_.begin(), result_.spread_ms_.end());
        const double seconds = std::chrono::duration<double>(plan_.run_time_).count();
        double all_bytes = 0;
        for (const host_state& host : hosts_) {
            const double rate = static_cast<double>(host.bytes_sent_) / seconds;
            all_bytes += rate;
            result_.most_bytes_per_second_ = std::max(result_.most_bytes_per_second_, rate);
        }
        result_.mean_bytes_per_second_ =
            all_bytes / static_cast<double>(plan_.hosts_ - plan_.frozen_);
        return result_;
    }

    static constexpr policy::boot_tag boot = 1;

    const freeze_plan plan_;
    base::random_engine random_;
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t> ids_;
    std::vector<host_state> hosts_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t scheduled_ = 0;
    const base::instant start_{base::seconds(100)};
    base::instant now_ = start_;
    std::unordered_map<std::size_t, std::int64_t> first_found_ms_;
    freeze_result result_;
};

// Returns the time by which that share of all pairs of a live and a frozen host was reached.
std::int64_t percentile(const std::vector<std::int64_t>& sorted, std::size_t pairs, double share) {
    const auto index = static_cast<std::size_t>(share * static_cast<double>(pairs - 1));
    return index < sorted.size() ? sorted[index] : INT64_MAX;
}

void print(const freeze_plan& plan, const freeze_result& result) {
    const std::size_t pairs = plan.frozen_ * (plan.hosts_ - plan.frozen_);
    std::cout << plan.hosts_ << " hosts, " << plan.frozen_ << " frozen, loss " << plan.loss_;
    if (pairs > 0) {
        std::cout << ": avoided p50 " << percentile(result.avoided_ms_, pairs, 0.5) << " p99 "
                  << percentile(result.avoided_ms_, pairs, 0.99) << " ms, silent p50 "
                  << percentile(result.silent_ms_, pairs, 0.5) << " p99 "
                  << percentile(result.silent_ms_, pairs, 0.99) << " ms, of it spread p50 "
                  << percentile(result.spread_ms_, pairs, 0.5) << " p99 "
                  << percentile(result.spread_ms_, pairs, 0.99) << " ms";
    }
    std::cout << ", false suspicions " << result.false_suspicions_ << ", false link losses "
              << result.false_link_losses_ << ", false confirmations "
              << result.false_confirmations_ << ", bytes/s mean " << result.mean_bytes_per_second_
              << " most " << result.most_bytes_per_second_ << '\n';
}

freeze_result simulate(const freeze_plan& plan) {
    freeze_result result = freeze_simulation(plan).run();
    print(plan, result);
    return result;
}

}  // namespace

// Guards against: in a freeze of many hosts each process finds each of them by its own lost
// requests, for as long as the freeze lasts.
TEST_CASE("membership spread: a finding reaches all hosts within a second", "[membership]") {
    const freeze_plan plan =
        GENERATE(freeze_plan{.hosts_ = 234, .frozen_ = 82, .seed_ = 1},
                 freeze_plan{.hosts_ = 234, .frozen_ = 82, .loss_ = 0.05, .seed_ = 2},
                 freeze_plan{.hosts_ = 234, .frozen_ = 1, .seed_ = 3},
                 freeze_plan{.hosts_ = 1000, .frozen_ = 100, .seed_ = 4},
                 freeze_plan{.hosts_ = 5000, .frozen_ = 5, .seed_ = 5});
    const freeze_result result = simulate(plan);
    const std::size_t pairs = plan.frozen_ * (plan.hosts_ - plan.frozen_);
    CHECK(percentile(result.spread_ms_, pairs, 0.99) <= max_spread_ms);
    CHECK(result.false_confirmations_ == 0);
    const double seconds = std::chrono::duration<double>(plan.run_time_).count();
    CHECK(result.most_bytes_per_second_ * seconds <=
          notice_bytes_per_second * seconds + notice_burst_bytes + max_notice_bytes);
}

// Guards against: lost packets have sound hosts taken out of use, and a fleet without a fault sends
// notices.
TEST_CASE("membership spread: lost packets alone have no host confirmed as silent",
          "[membership]") {
    const freeze_result result =
        simulate({.hosts_ = 234, .loss_ = 0.05, .seed_ = 6, .run_time_ = base::seconds(60)});
    CHECK(result.false_confirmations_ == 0);
    CHECK(result.false_link_losses_ == 0);

    const freeze_result sound =
        simulate({.hosts_ = 234, .seed_ = 7, .run_time_ = base::seconds(10)});
    CHECK(sound.false_suspicions_ == 0);
    CHECK(sound.most_bytes_per_second_ == 0);
}
