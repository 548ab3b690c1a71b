// The demonstration: a fleet of six hosts in three zones under load, with a frozen host, a change
// of rules, a withdrawn key and a planned stop. Counts come from callers and targets.
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

constexpr std::uint64_t requests_a_phase = 600;
// Longer than a process may stand still without closing its links.
constexpr std::chrono::seconds frozen_time(4);

void append(std::vector<std::string>& lines, const std::vector<std::string>& more) {
    lines.insert(lines.end(), more.begin(), more.end());
}

fleet_plan make_plan() {
    fleet_plan plan;
    plan.host_zones_ = {"z1", "z1", "z2", "z2", "z3", "z3"};
    for (int host = 1; host <= 6; ++host) {
        const std::string number = std::to_string(host);
        plan.targets_.push_back({"catalogue-" + number, "catalogue", "h" + number});
        plan.targets_.push_back({"scheduling-" + number, "scheduling", "h" + number});
        plan.targets_.push_back({"drawings-" + number, "drawings", "h" + number});
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

void say(const std::string& what) {
    std::cout << what << std::endl;
}

// Lets the callers send that many more requests.
bool let_pass(const traffic& traffic, std::uint64_t count) {
    const std::uint64_t until = traffic.requests() + count;
    return wait_for([&] { return traffic.requests() >= until; });
}

// True once a key is refused at every running entry.
bool key_refused(const fleet& fleet, const std::vector<std::string>& entries,
                 const std::string& key) {
    caller caller;
    for (const std::string& entry : entries) {
        const auto answer = caller.send({.url_ = fleet.caller_address_of(entry) + "/catalogue/x",
                                         .headers_ = {"Authorization: Bearer " + key}});
        if (answer.status_ != 401) {
            return false;
        }
    }
    return true;
}

bool run(fleet& fleet, traffic& traffic) {
    bool fine = let_pass(traffic, requests_a_phase);
    say("demo: h3 freezes");
    fleet.host("h3").send_signal(SIGSTOP);
    std::this_thread::sleep_for(frozen_time);
    fine = let_pass(traffic, requests_a_phase) && fine;
    say("demo: h3 thaws");
    fleet.host("h3").send_signal(SIGCONT);
    fine = let_pass(traffic, requests_a_phase) && fine;
    say("demo: the rules change, and the key of 'leaver' is withdrawn");
    std::vector<std::string> rules = fleet.rules();
    std::erase_if(rules, [](const std::string& line) { return line.starts_with("key leaver"); });
    rules.push_back("route booking match=*/booking service=scheduling # the demo");
    fleet.publish_rules(rules);
    const bool refused = wait_for([&] {
        return key_refused(fleet, {"h1", "h2", "h4", "h5"}, "key-of-leaver");
    });
    say(refused ? "demo: the withdrawn key is refused everywhere"
                : "demo: the withdrawn key is still accepted somewhere");
    fine = let_pass(traffic, requests_a_phase) && refused && fine;
    say("demo: h6 is stopped");
    fleet.host("h6").send_signal(SIGTERM);
    const int status = fleet.host("h6").wait();
    say("demo: h6 ended with status " + std::to_string(status));
    return let_pass(traffic, requests_a_phase) && status == 0 && fine;
}

}  // namespace

int main() {
    fleet fleet(make_plan());
    fleet.start_all();
    say("demo: 6 hosts in 3 zones serve");
    traffic_plan plan;
    plan.keys_ = {"key-of-kampylos", "key-of-khongor"};
    plan.caller_proxies_ = {"h1", "h2", "h3", "h4", "h5", "h6"};
    plan.read_service_ = "catalogue";
    plan.post_service_ = "scheduling";
    plan.download_service_ = "drawings";
    traffic traffic(fleet, plan);
    const bool fine = run(fleet, traffic);
    const traffic_counts counts = traffic.finish();
    for (const std::string& complaint : traffic.violations()) {
        say("demo: " + complaint);
    }
    std::cout << "demo: " << counts.requests_ << " requests, " << counts.complete_
              << " whole answers, " << counts.not_run_ << " refused not run, " << counts.unknown_
              << " outcome unknown, " << counts.incorrect_responses_ << " wrong, "
              << counts.ran_twice_ << " doubled" << std::endl;
    return fine && counts.incorrect_responses_ == 0 && counts.ran_twice_ == 0 ? 0 : 1;
}
