// Hosts that exchange versions of the configuration over links that deliver at once.
#include "control/gossip.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/frame_codec.h"

using namespace dandelionridge;

namespace {

constexpr auto hosts_kind = control::config_value_kind::hosts;
constexpr base::duration platform_lead = base::milliseconds(850);
constexpr base::duration tick_interval = base::milliseconds(50);

std::string host_name(std::size_t number) {
    return "h" + std::to_string(number);
}

// Returns the host list of a fleet, in which each line is about as long as a target's entry.
std::vector<std::string> host_lines(std::size_t count) {
    std::vector<std::string> lines;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string ip =
            "10.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200);
        lines.push_back("host " + host_name(number) + " zone=z1 peers=" + ip + ":7070 targets=t" +
                        std::to_string(number) + ":s1:" + ip +
                        ":8080 padding=" + std::string(100, 'x'));
    }
    return lines;
}

// Parsers that take any lines and list the hosts that the lines name.
control::config_parsers lenient_parsers() {
    control::config_parsers parsers = control::line_parsers();
    parsers.hosts_ = [](std::int64_t version,
                        const std::vector<std::string>& lines) -> base::result<config::hosts_ptr> {
        std::vector<config::host_entry> hosts;
        for (const std::string& line : lines) {
            config::host_entry host;
            host.name_ = line.substr(5, line.find(' ', 5) - 5);
            host.zone_ = "z1";
            hosts.push_back(std::move(host));
        }
        return config::make_host_list(version, std::move(hosts), 0);
    };
    return parsers;
}

// A fleet of hosts without sockets. Each host counts the bytes that it sends.
class gossip_fleet {
public:
    explicit gossip_fleet(std::size_t count) {
        clock_.pause();
        for (std::size_t number = 0; number < count; ++number) {
            hosts_.push_back(std::make_unique<simulated_host>(*this, number));
        }
    }

    control::configuration& configuration_of(std::size_t number) {
        return hosts_[number]->configuration_;
    }

    std::size_t bytes_sent_by(std::size_t number) const { return hosts_[number]->bytes_sent_; }

    void offer_to(std::size_t number, std::int64_t version, const std::vector<std::string>& lines) {
        simulated_host& receiver = *hosts_[number];
        receiver.configuration_.offer_lines(hosts_kind, version, lines);
        receiver.on_accepted();
    }

    // Tells all others the versions of a host, as it does when it opens its links.
    void greet_all(std::size_t number) {
        const wire::config_versions versions = hosts_[number]->gossip_.versions();
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other != number) {
                hosts_[other]->gossip_.on_versions(host_name(number), versions,
                                                   reply_sender(other, number));
            }
        }
    }

    void run(base::duration time) {
        for (base::duration elapsed{}; elapsed < time; elapsed += tick_interval) {
            clock_.advance(tick_interval);
            for (const auto& host : hosts_) {
                host->gossip_.tick(true);
            }
        }
    }

private:
    struct simulated_host final : control::peer_sender {
        simulated_host(gossip_fleet& fleet, std::size_t number)
            : fleet_(fleet),
              number_(number),
              configuration_(lenient_parsers()),
              gossip_(fleet.clock_, configuration_, *this,
                      {host_name(number), "z1", base::seconds(1), false, platform_lead}) {}

        void on_accepted() {
            gossip_.on_accepted(hosts_kind);
            gossip_.on_hosts_changed();
        }

        void send(const std::string& peer, const wire::frame& frame) override {
            fleet_.deliver(number_, std::stoul(peer.substr(1)), frame);
        }
        bool reachable(const std::string& /*peer*/) const override { return true; }

        gossip_fleet& fleet_;
        std::size_t number_;
        control::configuration configuration_;
        control::gossip gossip_;
        std::size_t bytes_sent_ = 0;
    };

    control::frame_sender reply_sender(std::size_t from, std::size_t to) {
        return [this, from, to](const wire::frame& frame) { deliver(from, to, frame); };
    }

    void deliver(std::size_t from, std::size_t to, const wire::frame& frame) {
        hosts_[from]->bytes_sent_ += net::encode_frame(frame).size();
        simulated_host& receiver = *hosts_[to];
        if (frame.__isset.pull_) {
            receiver.gossip_.on_pull(frame.pull_, reply_sender(to, from));
        } else if (frame.__isset.update_) {
            const auto outcome = receiver.gossip_.on_update(frame.update_, reply_sender(to, from));
            if (outcome == control::offer_outcome::accepted) {
                receiver.on_accepted();
            }
        }
    }

    base::runtime_clock clock_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
};

// Returns the number of hosts that have a version of the host list in force.
std::size_t count_with(gossip_fleet& fleet, std::size_t hosts, std::int64_t version) {
    std::size_t count = 0;
    for (std::size_t number = 0; number < hosts; ++number) {
        count += fleet.configuration_of(number).version(hosts_kind) == version ? 1 : 0;
    }
    return count;
}

}  // namespace

// Guards against a restarted host that is unreachable for seconds: it read the same list at a later
// revision, and all others took all lines from it.
TEST_CASE("a version with the same lines is taken without a copy of them") {
    constexpr std::size_t count = 234;
    constexpr std::size_t restarted = 21;
    gossip_fleet fleet(count);
    const std::vector<std::string> lines = host_lines(count);
    for (std::size_t number = 0; number < count; ++number) {
        fleet.offer_to(number, number == restarted ? 2000 : 1000, lines);
    }
    fleet.greet_all(restarted);
    fleet.run(base::seconds(3));
    CHECK(count_with(fleet, count, 2000) == count);
    // 233 short replies; one copy of the lines is 40 kB.
    CHECK(fleet.bytes_sent_by(restarted) < 40'000);
}

// Guards against a whole list for a change of one entry: hosts read the same lines at different
// revisions, so the version of a delta's base is rarely one that the sender has had.
TEST_CASE("a host with the lines before the last change gets only the change") {
    gossip_fleet fleet(2);
    std::vector<std::string> lines = host_lines(200);
    fleet.offer_to(0, 1000, lines);
    fleet.offer_to(1, 1001, lines);
    lines.back() += "y";
    fleet.offer_to(1, 2000, lines);
    fleet.greet_all(1);
    fleet.run(base::seconds(3));
    CHECK(fleet.configuration_of(0).version(hosts_kind) == 2000);
    CHECK(fleet.configuration_of(0).state(hosts_kind).lines_.lines_ ==
          fleet.configuration_of(1).state(hosts_kind).lines_.lines_);
    CHECK(fleet.bytes_sent_by(1) < 1'000);
}
