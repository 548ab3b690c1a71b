// A small fleet of real processes with stand-ins for the platform and the targets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/caller.h"
#include "support/platform_stub.h"
#include "support/process.h"
#include "support/relay.h"
#include "support/target_stub.h"

namespace dandelionridge::support {

// Waits until a condition holds. False after a minute, which no test takes for a pass.
bool wait_for(const std::function<bool()>& condition);

struct fleet_target {
    std::string name_;
    std::string service_;
    std::string host_;
};

struct fleet_plan {
    // Zone of each host; host names are h1, h2, ...
    std::vector<std::string> host_zones_;
    std::vector<fleet_target> targets_;
    std::vector<std::string> rules_;
    // Hosts whose peer port is reached through a relay.
    std::vector<std::string> relayed_hosts_{};
    // Lines added to every settings file.
    std::string extra_settings_{};
};

// Rule lines for a zone, an organisation with one key, or a service with one keyed route.
std::string zone_line(const std::string& zone);
std::vector<std::string> organisation_lines(const std::string& name, const std::string& key,
                                            const std::string& rate, int burst);
std::vector<std::string> service_lines(const std::string& name, const std::string& options);

class fleet {
public:
    // Starts the stand-ins; hosts are started by start().
    explicit fleet(fleet_plan plan);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    // Starts a host's process; waits until it serves.
    void start(const std::string& host);

    // Starts a host's process and sends it a signal while it reads its settings.
    void start_with_signal(const std::string& host, int signal);

    // Ends a host's process without warning.
    void kill(const std::string& host);
    // Starts all hosts and waits until each has a link to all.
    void start_all();

    // True if a host has an open link to every host.
    bool has_links_to_all(const std::string& host) const;

    process& host(const std::string& name) { return *processes_.at(name); }
    target_stub& target(const std::string& name) { return *targets_.at(name); }
    platform_stub& platform() { return *platform_; }
    relay& relay_of(const std::string& host) { return *relays_.at(host); }

    // "IP:PORT" of a host's listener for callers.
    std::string caller_address_of(const std::string& host) const;

    const base::address& target_address(const std::string& target) const {
        return target_addresses_.at(target);
    }

    // What a host's admin listener answers at a path.
    std::string admin(const std::string& host, const std::string& path) const;

    // A number in a host's status, named by its path, such as "/guard/open".
    std::int64_t status_number(const std::string& host, const std::string& pointer) const;

    // Publishes the rules with the next version.
    void publish_rules(const std::vector<std::string>& lines);

    // Publishes the host list with the next version; hosts named are shown as leaving.
    void publish_hosts(const std::vector<std::string>& leaving);

    const std::vector<std::string>& rules() const { return plan_.rules_; }
    std::vector<std::string> host_names() const;

    // Runs at all targets by request id.
    std::map<std::string, int> all_runs() const;

    // Runs of a request at all targets.
    int runs_of(const std::string& request_id) const;

    // Text of a host's log.
    std::string log_of(const std::string& host) const;

private:
    void launch(const std::string& host);
    void run_program(const std::string& host, const std::string& settings);
    void wait_until_serving(const std::string& host) const;
    std::string ip(std::size_t number) const;
    std::string ip_of(const std::string& host) const;
    std::string write_settings(const std::string& host, const std::string& zone) const;
    std::string zone_of(const std::string& host) const;
    std::uint16_t peer_port_of(const std::string& host) const;

    fleet_plan plan_;
    std::string directory_;
    std::int64_t rules_version_ = 0;
    std::int64_t hosts_version_ = 0;
    std::unique_ptr<platform_stub> platform_;
    std::map<std::string, std::unique_ptr<target_stub>> targets_;
    std::map<std::string, base::address> target_addresses_;
    std::map<std::string, std::unique_ptr<relay>> relays_;
    std::map<std::string, std::unique_ptr<process>> processes_;
};

}  // namespace dandelionridge::support
