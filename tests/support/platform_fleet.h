// Hosts on a simulated store: real feeds, decoders, configurations and gossip, with links that
// deliver at once, in the time that they take, or not at all.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "support/simulated_store.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::support {

// Why messages between a host and all others are lost.
enum class host_links { open, loses_sent, loses_received };

// What links carry, in bytes per second. 0: everything arrives at once.
struct link_rates {
    double host_ = 0;
    double store_ = 0;
};

class platform_fleet {
public:
    static constexpr base::duration tick = base::milliseconds(50);

    platform_fleet(std::size_t zones, std::size_t hosts_per_zone, std::uint64_t seed,
                   base::duration relaxed_lag, link_rates rates = {});
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;
    ~platform_fleet();

    std::size_t size() const { return hosts_.size(); }
    std::size_t zones() const { return zones_; }
    base::instant now() const { return clock_.now(); }
    simulated_store& store() { return store_; }
    std::size_t zone_of(std::size_t host) const { return host % zones_; }
    bool is_running(std::size_t host) const;
    bool reads_currently(std::size_t host) const;
    const control::configuration& configuration_of(std::size_t host) const;
    // Number of calls with current reads of all hosts so far.
    std::size_t current_calls() const;

    // Adds a host with its entry in the store. Returns its number.
    std::size_t add_host();

    // Writes or deletes the entry of a host's target. Returns the version of the host list.
    std::int64_t write_entry(std::size_t host, const std::string& state);
    std::int64_t erase_entry(std::size_t host);
    bool has_entry(std::size_t host) const;
    // Writes an entry with no host behind it. `same_address_as`: it names that host's address.
    void write_odd_entry(std::size_t number, const std::string& service, const std::string& zone,
                         std::optional<std::size_t> same_address_as);
    // Writes the next configuration, with so many more routes. Returns its version.
    std::int64_t change_rules(std::size_t added_routes = 0);

    // A killed host loses its process and its links are closed; a start gives it a new process. A
    // frozen one stands still, with its links.
    void kill(std::size_t host);
    void start(std::size_t host);
    void set_frozen(std::size_t host, bool frozen);
    void set_store_path(std::size_t host, store_path path);
    void set_links(std::size_t host, host_links links);

    // Lets one tick pass.
    void step();

    // Returns the name of a host's target in the host list.
    static std::string target_name(std::size_t host);

private:
    struct fleet_host;

    std::string entry_value(std::size_t host, const std::string& state) const;
    double host_link_rate() const;
    fleet_host* find(const std::string& name) const;
    void deliver(std::size_t from, const std::string& to, const wire::frame& frame);
    void deliver_now(std::size_t from, std::size_t to, const wire::frame& frame);
    void deliver_due_copies();

    // A copy of a configuration value on its way between two hosts.
    struct copy_in_transit {
        base::instant due_{};
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        wire::frame frame_;
    };

    base::runtime_clock clock_;
    link_rates rates_;
    simulated_store store_;
    std::size_t zones_ = 1;
    std::uint64_t seed_ = 0;
    std::vector<std::unique_ptr<fleet_host>> hosts_;
    std::map<std::string, std::size_t> numbers_;
    std::int64_t entry_sequence_ = 0;
    std::int64_t rules_version_ = 0;
    std::size_t route_count_ = 0;
    std::vector<copy_in_transit> copies_;
};

}  // namespace dandelionridge::support
