// Demonstrates a fleet of six hosts in three zones under load, with a frozen host, a change of
// rules, a withdrawn key and a planned stop. The counts printed at the end are those of the callers
// and targets. Exits with 1 if a step failed, a response was incorrect, or a request ran twice.
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"
#include "support/traffic.h"

namespace {

using namespace dandelionridge::support;

constexpr std::uint64_t requests_per_phase = 600;
// Longer than net::pause_threshold (2 s), so that the process closes its links when it resumes.
constexpr std::chrono::seconds freeze_duration(4);

void append(std::vector<std::string>& lines, const std::vector<std::string>& added) {
    lines.insert(lines.end(), added.begin(), added.end());
}

fleet_plan make_plan() {
    fleet_plan plan;
    plan.host_zones_ = {"z1", "z1", "z2", "z2", "z3", "z3"};
    for (int host = 1; host <= 6; ++host) {
        const std::string host_number = std::to_string(host);
        plan.targets_.push_back({"catalogue-" + host_number, "catalogue", "h" + host_number});
        plan.targets_.push_back({"scheduling-" + host_number, "scheduling", "h" + host_number});
        plan.targets_.push_back({"drawings-" + host_number, "drawings", "h" + host_number});
    }
    for (const char* zone : {"z1", "z2", "z3"}) {
        plan.rules_.push_back(zone_line(zone));
    }
    append(plan.rules_, organisation_lines("kampylos", "key-of-kampylos", "100000/s", 100000));
    append(plan.rules_, organisation_lines("khongor", "key-of-khongor", "100000/s", 100000));
    append(plan.rules_, organisation_lines("leaver", "key-of-leaver", "100000/s", 100000));
    append(plan.rules_, service_lines("catalogue", "slots=5 timeout=10s"));
    append(plan.rules_, service_lines("scheduling", "slots=5 timeout=10s"));
    append(plan.rules_, service_lines("drawings", "slots=5 timeout=10s"));
    return plan;
}

void print_line(const std::string& text) {
    std::cout << text << std::endl;
}

// Waits until the callers have sent `count` more requests. Returns false if they do not within 60
// s.
bool wait_for_requests(const traffic& traffic, std::uint64_t count) {
    const std::uint64_t min_requests = traffic.requests() + count;
    return wait_for([&] { return traffic.requests() >= min_requests; });
}

// Returns true if every given caller proxy refuses a key.
bool key_refused_everywhere(const fleet& fleet, const std::vector<std::string>& caller_proxies,
                            const std::string& key) {
    caller caller;
    for (const std::string& caller_proxy : caller_proxies) {
        const auto response =
            caller.send({.url_ = fleet.caller_address_of(caller_proxy) + "/catalogue/x",
                         .headers_ = {"Authorization: Bearer " + key}});
        if (response.status_ != 401) {
            return false;
        }
    }
    return true;
}

bool run(fleet& fleet, traffic& traffic) {
    bool succeeded = wait_for_requests(traffic, requests_per_phase);
    print_line("demo: h3 is frozen");
    fleet.host("h3").send_signal(SIGSTOP);
    std::this_thread::sleep_for(freeze_duration);
    succeeded = wait_for_requests(traffic, requests_per_phase) && succeeded;
    print_line("demo: h3 resumes");
    fleet.host("h3").send_signal(SIGCONT);
    succeeded = wait_for_requests(traffic, requests_per_phase) && succeeded;
    print_line("demo: the rules change, and the key of 'leaver' is withdrawn");
    std::vector<std::string> rules = fleet.rules();
    std::erase_if(rules, [](const std::string& line) { return line.starts_with("key leaver"); });
    rules.push_back("route booking match=*/booking service=scheduling # the demo");
    fleet.publish_rules(rules);
    const bool refused = wait_for([&] {
        return key_refused_everywhere(fleet, {"h1", "h2", "h4", "h5"}, "key-of-leaver");
    });
    print_line(refused ? "demo: the withdrawn key is refused everywhere"
                       : "demo: the withdrawn key is still accepted somewhere");
    succeeded = wait_for_requests(traffic, requests_per_phase) && refused && succeeded;
    print_line("demo: h6 is stopped");
    fleet.host("h6").send_signal(SIGTERM);
    const int exit_status = fleet.host("h6").wait();
    print_line("demo: h6 ended with status " + std::to_string(exit_status));
    return wait_for_requests(traffic, requests_per_phase) && exit_status == 0 && succeeded;
}

}  // namespace

int main() {
    fleet fleet(make_plan());
    fleet.start_all();
    print_line("demo: 6 hosts in 3 zones serve");
    traffic_plan plan;
    plan.keys_ = {"key-of-kampylos", "key-of-khongor"};
    plan.caller_proxies_ = {"h1", "h2", "h3", "h4", "h5", "h6"};
    plan.read_service_ = "catalogue";
    plan.post_service_ = "scheduling";
    plan.download_service_ = "drawings";
    traffic traffic(fleet, plan);
    const bool succeeded = run(fleet, traffic);
    const traffic_counts counts = traffic.finish();
    for (const std::string& violation : traffic.violations()) {
        print_line("demo: " + violation);
    }
    std::cout << "demo: " << counts.requests_ << " requests, " << counts.complete_
              << " whole answers, " << counts.not_run_ << " refused not run, " << counts.unknown_
              << " outcome unknown, " << counts.incorrect_responses_ << " wrong, "
              << counts.ran_twice_ << " doubled" << std::endl;
    return succeeded && counts.incorrect_responses_ == 0 && counts.ran_twice_ == 0 ? 0 : 1;
}
