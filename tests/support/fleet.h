// A small fleet of real processes with stubs for the platform and the targets.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/caller.h"
#include "support/local.h"
#include "support/platform_stub.h"
#include "support/process.h"
#include "support/relay.h"
#include "support/target_stub.h"

namespace dandelionridge::support {

struct fleet_target {
    std::string name_;
    std::string service_;
    std::string host_;
};

struct fleet_plan {
    // Zone of each host, in the order of the host names h1, h2, ...
    std::vector<std::string> host_zones_;
    std::vector<fleet_target> targets_;
    std::vector<std::string> rules_;
    // Hosts whose peer port the others reach through a relay.
    std::vector<std::string> relayed_hosts_{};
    // Lines appended to the [times] section of every settings file.
    std::string extra_settings_{};
};

// Return rule lines for a zone, an organisation with one key, and a service with one keyed route.
std::string zone_line(const std::string& zone);
std::vector<std::string> organisation_lines(const std::string& name, const std::string& key,
                                            const std::string& rate, int burst);
std::vector<std::string> service_lines(const std::string& name, const std::string& options);

class fleet {
public:
    // Starts the stubs and publishes the plan's rules and hosts. Hosts are started by start().
    explicit fleet(fleet_plan plan);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    // Starts a host's process and waits until it serves. Throws if it does not within 60 s.
    void start(const std::string& host);

    // Starts a host's process, sends it a signal while it reads its settings, and waits until it
    // serves. Throws if it does not within 60 s.
    void start_with_signal(const std::string& host, int signal);

    // Kills a host's process with SIGKILL.
    void kill(const std::string& host);

    // Starts all hosts and waits until each has a link to every host. Throws if one does not
    // within 60 s.
    void start_all();

    // Returns true if a host has an open link to every host.
    bool has_links_to_all(const std::string& host) const;

    process& host(const std::string& name) { return *processes_.at(name); }
    target_stub& target(const std::string& name) { return *targets_.at(name); }
    platform_stub& platform() { return *platform_; }
    relay& relay_of(const std::string& host) { return *relays_.at(host); }

    // Returns the "IP:PORT" of a host's listener for callers.
    std::string caller_address_of(const std::string& host) const;

    const base::address& target_address(const std::string& target) const {
        return target_addresses_.at(target);
    }

    // Returns the body of a host's admin listener's response at a path, empty if there is none.
    std::string admin(const std::string& host, const std::string& path) const;

    // Returns the number at a JSON pointer, such as "/guard/open", in a host's status, or -1 if
    // there is none.
    std::int64_t status_number(const std::string& host, const std::string& pointer) const;

    // Publishes the rules with the next version.
    void publish_rules(const std::vector<std::string>& lines);

    // Publishes the host list with the next version, with the given hosts in state "leaving".
    void publish_hosts(const std::vector<std::string>& leaving);

    const std::vector<std::string>& rules() const { return plan_.rules_; }
    std::vector<std::string> host_names() const;

    // Returns the number of runs at all targets by request id.
    std::map<std::string, int> all_runs() const;

    // Returns the number of runs of a request at all targets.
    int runs_of(const std::string& request_id) const;

    // Returns the text of a host's log.
    std::string log_of(const std::string& host) const;

private:
    void launch(const std::string& host);
    void run_program(const std::string& host, const std::string& settings);
    void wait_until_serving(const std::string& host) const;
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
