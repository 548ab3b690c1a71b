// Hosts without sockets that exchange versions of the configuration over links which deliver at
// once. Each host counts the bytes that it sends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/configuration.h"
#include "control/gossip.h"

namespace dandelionridge::support {

// What is wrong with the links of one host.
enum class link_fault {
    none,
    // What the host sends is lost, or what it is sent.
    loses_sent,
    loses_received,
    loses_all,
    // Every second message to or from it has to be sent again, which takes a while.
    repeats_half,
    // Other hosts know that they have no link to it.
    closed,
};

struct gossip_fleet_options {
    // Host N is in zone "z1" to "zZ", by turns.
    std::size_t zones_ = 1;
    base::duration interval_ = base::seconds(1);
    base::duration platform_lead_ = base::milliseconds(850);
    double link_bytes_per_second_ = 12e6 / 8;
    // The hosts have found that there is no process where the list names more hosts than there are.
    bool finds_missing_hosts_ = false;
};

inline constexpr base::duration gossip_tick = base::milliseconds(50);

class gossip_fleet {
public:
    explicit gossip_fleet(std::size_t count, gossip_fleet_options options = {});
    gossip_fleet(const gossip_fleet&) = delete;
    gossip_fleet& operator=(const gossip_fleet&) = delete;
    ~gossip_fleet();

    std::size_t size() const { return hosts_.size(); }
    control::configuration& configuration_of(std::size_t number);
    bool watches_platform(std::size_t number) const;
    // Returns true if the host reads the platform currently, for others or for itself.
    bool reads_currently(std::size_t number) const;
    std::size_t bytes_sent_by(std::size_t number) const;
    // Number of pulls that a host was sent.
    std::size_t pulls_at(std::size_t number) const;
    bool has(std::size_t number, control::config_value_kind kind, std::int64_t version) const;
    // Number of hosts with a version in force.
    std::size_t count_with(control::config_value_kind kind, std::int64_t version) const;
    std::string zone_of(std::size_t number) const;

    void offer_to(std::size_t number, control::config_value_kind kind, std::int64_t version,
                  const std::vector<std::string>& lines);

    // Tells all others the versions of a host, as it does when it opens its links.
    void greet_all(std::size_t number);

    void set_link_fault(std::size_t number, link_fault fault);
    // A host that is frozen neither receives nor sends, nor asks others.
    void freeze(std::size_t number);
    // The platform refuses a host's calls, and the host knows it.
    void refuse_platform(std::size_t number);
    // The platform confirms nothing more to a host.
    void silence_platform(std::size_t number);
    // A host rejects all further versions.
    void reject_versions(std::size_t number);

    // Lets time pass. Watching hosts whose platform answers confirm what is in force.
    void run(base::duration time);

private:
    struct simulated_host;

    control::frame_sender reply_sender(std::size_t from, std::size_t to);
    void deliver(std::size_t from, std::size_t to, const wire::frame& frame);
    struct delayed_message {
        base::instant due_{};
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        wire::frame frame_;
    };

    bool is_lost(std::size_t from, std::size_t to) const;
    bool is_repeated(std::size_t from, std::size_t to);
    void handle_delayed();
    void handle(std::size_t from, std::size_t to, const wire::frame& frame);

    gossip_fleet_options options_;
    base::runtime_clock clock_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::vector<delayed_message> delayed_;
    // Messages over links that repeat some.
    std::size_t repeating_messages_ = 0;
};

// Returns the name of a host, "hN".
std::string gossip_host_name(std::size_t number);

// Returns the lines of a list of hosts in so many zones, by turns. Each is about as long as a
// target's entry.
std::vector<std::string> gossip_host_lines(std::size_t count, std::size_t zones = 1);

}  // namespace dandelionridge::support
