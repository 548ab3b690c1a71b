// How a version of the configuration spreads through a fleet: the rules of policy/config_pull and
// policy/copy_budget on simulated hosts with narrow links, without sockets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "policy/config_pull.h"
#include "policy/copy_budget.h"

using namespace dandelionridge;

namespace {

constexpr double link_bytes_per_second = 12e6 / 8;
constexpr base::duration latency = base::milliseconds(4);
constexpr base::duration tick_interval = base::milliseconds(50);
// Bytes of an entry of the host list, and of the short messages, with their headers.
constexpr std::size_t line_bytes = 163;
constexpr std::size_t short_message_bytes = 100;
// Hosts of which a host asks the versions in each round, while the platform is away.
constexpr std::size_t polled_hosts = 4;
constexpr base::duration poll_interval = base::milliseconds(500);

base::duration transfer_time(std::size_t bytes) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / link_bytes_per_second));
}

enum class message_kind { versions, pull, busy, copy, unchanged };

struct message {
    message_kind kind_ = message_kind::versions;
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    std::vector<std::string> other_sources_;
};

struct host_state {
    bool has_version_ = false;
    policy::config_pull pull_;
    policy::token_bucket budget_;
    policy::copy_receivers receivers_;
    base::instant link_free_at_{};
    base::instant next_poll_{};
    std::size_t bytes_out_ = 0;
    base::duration longest_queue_{};
};

struct spread_plan {
    std::size_t hosts_ = 0;
    std::uint64_t seed_ = 0;
    // The others have the lines already, at an earlier version.
    bool same_lines_ = false;
    // The host that has the version first has a link to each other host and tells its version.
    bool greets_all_ = false;
};

struct spread_result {
    std::size_t reached_ = 0;
    base::duration time_{};
    std::size_t most_bytes_out_ = 0;
    std::size_t all_bytes_out_ = 0;
    // Longest time that a message waited behind others on its sender's link.
    base::duration longest_queue_{};
};

class spread_simulation {
public:
    explicit spread_simulation(const spread_plan& plan)
        : plan_(plan), random_(plan.seed_), hosts_(plan.hosts_) {
        for (host_state& host : hosts_) {
            host.budget_ = policy::make_copy_budget(link_bytes_per_second, now_);
            host.next_poll_ = now_ + random_time(poll_interval);
        }
        hosts_.front().has_version_ = true;
    }

    spread_result run(base::duration limit) {
        if (plan_.greets_all_) {
            for (std::size_t other = 1; other < hosts_.size(); ++other) {
                send({message_kind::versions, 0, other, {}}, short_message_bytes);
            }
        }
        const base::instant end = now_ + limit;
        while (now_ < end && count_reached() < hosts_.size()) {
            now_ += tick_interval;
            deliver_due();
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                tick(host);
            }
        }
        return result();
    }

private:
    struct delivery {
        base::instant at_{};
        std::uint64_t order_ = 0;
        message message_;

        bool operator>(const delivery& other) const {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    static std::string name_of(std::size_t host) { return std::to_string(host); }

    base::duration random_time(base::duration below) {
        return base::duration(static_cast<std::int64_t>(
            base::random_below(random_, static_cast<std::uint64_t>(below.count()))));
    }

    std::size_t count_reached() const {
        return static_cast<std::size_t>(
            std::count_if(hosts_.begin(), hosts_.end(),
                          [](const host_state& host) { return host.has_version_; }));
    }

    void send(message sent, std::size_t bytes) {
        host_state& sender = hosts_[sent.from_];
        const base::instant begins = std::max(sender.link_free_at_, sending_at_);
        sender.longest_queue_ = std::max(sender.longest_queue_, begins - sending_at_);
        sender.link_free_at_ = begins + transfer_time(bytes);
        sender.bytes_out_ += bytes;
        deliveries_.push({sender.link_free_at_ + latency, ++sent_, std::move(sent)});
    }

    void deliver_due() {
        while (!deliveries_.empty() && deliveries_.top().at_ <= now_) {
            const delivery due = deliveries_.top();
            deliveries_.pop();
            sending_at_ = due.at_;
            receive(due.message_);
        }
        sending_at_ = now_;
    }

    void receive(const message& received) {
        host_state& host = hosts_[received.to_];
        const std::string peer = name_of(received.from_);
        switch (received.kind_) {
            case message_kind::versions:
                learn(received.to_, received.from_);
                break;
            case message_kind::pull:
                reply_to_pull(received);
                break;
            case message_kind::busy:
                if (!host.has_version_) {
                    policy::record_busy(host.pull_, peer, 1, received.other_sources_, random_,
                                        sending_at_);
                }
                break;
            case message_kind::copy:
            case message_kind::unchanged:
                host.has_version_ = true;
                policy::forget_sources_up_to(host.pull_, 1);
                last_reached_at_ = sending_at_;
                break;
        }
    }

    // A host learns the version of another one.
    void learn(std::size_t host, std::size_t peer) {
        if (!hosts_[host].has_version_ && hosts_[peer].has_version_) {
            policy::add_source(hosts_[host].pull_, name_of(peer), 1, sending_at_);
        }
    }

    void reply_to_pull(const message& pull) {
        host_state& host = hosts_[pull.to_];
        if (!host.has_version_ || hosts_[pull.from_].has_version_) {
            return;
        }
        const std::size_t bytes = hosts_.size() * line_bytes;
        message reply{message_kind::unchanged, pull.to_, pull.from_, {}};
        std::size_t reply_bytes = short_message_bytes;
        if (!plan_.same_lines_) {
            const bool claimed = policy::claim_copy(host.budget_, bytes, sending_at_);
            reply.kind_ = claimed ? message_kind::copy : message_kind::busy;
            reply_bytes = claimed ? bytes : short_message_bytes;
        }
        if (reply.kind_ == message_kind::busy) {
            reply.other_sources_ = policy::receivers_of(host.receivers_, 1);
        } else {
            policy::record_receiver(host.receivers_, 1, name_of(pull.from_));
        }
        send(std::move(reply), reply_bytes);
    }

    void tick(std::size_t number) {
        host_state& host = hosts_[number];
        if (now_ >= host.next_poll_) {
            host.next_poll_ = now_ + poll_interval;
            poll(number);
        }
        policy::expire_request(host.pull_, random_, now_);
        if (host.has_version_ || !policy::may_request(host.pull_, now_)) {
            return;
        }
        const auto& sources = host.pull_.sources_;
        const std::string source = sources[base::random_below(random_, sources.size())].peer_;
        policy::record_request(host.pull_, source, now_);
        send({message_kind::pull, number, std::stoul(source), {}}, short_message_bytes);
    }

    // Exchanges versions with some hosts, in both directions.
    void poll(std::size_t number) {
        for (std::size_t i = 0; i < polled_hosts; ++i) {
            const std::size_t peer = base::random_below(random_, hosts_.size());
            if (peer != number) {
                send({message_kind::versions, number, peer, {}}, short_message_bytes);
                learn(number, peer);
            }
        }
    }

    spread_result result() const {
        spread_result found;
        found.reached_ = count_reached();
        found.time_ = last_reached_at_ - base::instant{};
        for (const host_state& host : hosts_) {
            found.most_bytes_out_ = std::max(found.most_bytes_out_, host.bytes_out_);
            found.all_bytes_out_ += host.bytes_out_;
            found.longest_queue_ = std::max(found.longest_queue_, host.longest_queue_);
        }
        return found;
    }

    spread_plan plan_;
    base::random_engine random_;
    std::vector<host_state> hosts_;
    base::instant now_{};
    // Time at which the message that is being handled arrived.
    base::instant sending_at_{};
    base::instant last_reached_at_{};
    std::uint64_t sent_ = 0;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> deliveries_;
};

constexpr base::duration run_limit = base::seconds(60);
// Time within which a change is to be in force on all hosts.
constexpr base::duration apply_bound = base::seconds(3);
// Time without a reply after which a link counts as silent.
constexpr base::duration silence_bound = base::milliseconds(600);
// In larger fleets links are opened on demand, so a host that starts does not tell all others its
// version.
constexpr std::size_t max_hosts_with_all_links = 1024;

spread_plan plan_for(std::size_t hosts, std::uint64_t seed, bool same_lines) {
    return {hosts, seed, same_lines, hosts <= max_hosts_with_all_links};
}

void report(const spread_plan& plan, const spread_result& result) {
    INFO(plan.hosts_ << " hosts, seed " << plan.seed_ << ", same lines " << plan.same_lines_ << ": "
                     << base::whole_ms(result.time_) << " ms, most " << result.most_bytes_out_
                     << " bytes out of a host, all " << result.all_bytes_out_ << ", queue "
                     << base::whole_ms(result.longest_queue_) << " ms");
    CHECK(result.reached_ == plan.hosts_);
    CHECK(result.longest_queue_ < silence_bound);
}

}  // namespace

// Guards against a host that is unreachable for seconds because it sends a copy to every other one.
TEST_CASE("a version spreads without filling the link of the host that has it first") {
    const std::size_t hosts = GENERATE(234, 1000, 5000);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const spread_plan plan = plan_for(hosts, seed, false);
    const spread_result result = spread_simulation(plan).run(run_limit);
    report(plan, result);
    const double carried =
        link_bytes_per_second * std::chrono::duration<double>(result.time_).count();
    const auto list_bytes = static_cast<double>(hosts * line_bytes);
    // A quarter of a second at the share of the link that copies may take, and short messages.
    const double burst_bytes =
        link_bytes_per_second / 16 + static_cast<double>(hosts * short_message_bytes);
    CHECK(static_cast<double>(result.most_bytes_out_) < carried / 4 + burst_bytes + list_bytes);
}

// Guards against a change that is in force late on hosts that the platform does not reach.
TEST_CASE("a version reaches a fleet of hundreds of hosts in time") {
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    const spread_plan plan = plan_for(234, seed, false);
    const spread_result result = spread_simulation(plan).run(run_limit);
    report(plan, result);
    CHECK(result.time_ < apply_bound);
}

// Guards against copies of lines that all hosts have.
TEST_CASE("a version with the same lines spreads without copies") {
    const std::size_t hosts = GENERATE(234, 1000, 5000);
    const spread_plan plan = plan_for(hosts, 1, true);
    const spread_result result = spread_simulation(plan).run(run_limit);
    report(plan, result);
    CHECK(result.most_bytes_out_ < 3 * hosts * short_message_bytes);
}
