// A fleet on narrow links, in which what one host sends to all others must not fill its link.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

constexpr std::size_t host_count = 40;
constexpr std::size_t restarted_host = 1;
constexpr const char* hosts_version = "/configuration/hosts/version";

// The whole host list, sent to every host, takes about 6 s of one host's link.
constexpr narrow_links links{.bytes_per_second_ = 256'000, .entry_padding_bytes_ = 800};

// The same rate in the settings, and the share of it that copies of the list may take.
constexpr const char* link_settings = "[limits]\nlink_mbps = 2.048\n";
constexpr double copies_share = 0.25;
constexpr int slots = 20;

// What a restart may cost beside the average rate of each host: a few whole lists.
constexpr std::size_t max_whole_lists = 4;
constexpr double control_bytes_per_second = 5'000;

constexpr std::chrono::milliseconds time_between_requests(20);
// Requests through the restarted host after the list is in force everywhere.
constexpr int later_requests = 100;

using steady_clock = std::chrono::steady_clock;

std::size_t list_bytes(const store_fleet& fleet) {
    std::size_t bytes = 0;
    for (std::size_t host = 1; host <= host_count; ++host) {
        bytes += store_fleet::entry_key(host).size() + fleet.entry_value(host, "ready").size();
    }
    return bytes;
}

// Returns what hosts may send in a time after one of them was restarted.
double allowed_bytes(std::size_t list, std::size_t hosts, std::chrono::duration<double> time) {
    return static_cast<double>(max_whole_lists * list) +
           control_bytes_per_second * static_cast<double>(hosts) * time.count();
}

std::size_t bytes_out(store_fleet& fleet) {
    return fleet.relay_of(restarted_host).forwarded(relay_direction::to_caller_proxy);
}

// Returns the bytes that all hosts have sent to others so far.
std::size_t bytes_of_all(store_fleet& fleet) {
    std::size_t bytes = 0;
    for (std::size_t host = 1; host <= host_count; ++host) {
        bytes += fleet.relay_of(host).forwarded(relay_direction::to_caller_proxy) +
                 fleet.relay_of(host).forwarded(relay_direction::to_target_proxy);
    }
    return bytes;
}

// Returns the number of links that any host has lost as silent so far.
std::size_t silent_links(const store_fleet& fleet) {
    std::size_t count = 0;
    for (std::size_t host = 1; host <= host_count; ++host) {
        std::istringstream log(fleet.log_of(host));
        for (std::string line; std::getline(log, line);) {
            const bool lost = line.find("\"link_lost\"") != std::string::npos;
            count += lost && line.find("\"silent\"") != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

bool in_force_everywhere(const store_fleet& fleet, std::int64_t version) {
    for (std::size_t host = 1; host <= host_count; ++host) {
        if (fleet.status_number(host, hosts_version) < version) {
            return false;
        }
    }
    return true;
}

// A caller that sends requests through one host, one after the other.
class paced_caller {
public:
    paced_caller(const store_fleet& fleet, std::size_t host)
        : fleet_(fleet), host_(host), thread_([this] { run(); }) {}
    paced_caller(const paced_caller&) = delete;
    paced_caller& operator=(const paced_caller&) = delete;
    ~paced_caller() { stop(); }

    int answered() const { return answered_; }

    // Ends the requests and returns one line for each that did not get 200.
    const std::vector<std::string>& stop() {
        stopped_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
        return failures_;
    }

private:
    void run() {
        caller caller;
        for (int i = 0; !stopped_; ++i) {
            const std::string id = "h" + std::to_string(host_) + "-" + std::to_string(i);
            const caller_response response =
                caller.send(fleet_.request_to("orders", host_, id, i % 4 == 0 ? "POST" : "GET"));
            if (response.complete_ && response.status_ == 200) {
                ++answered_;
            } else {
                failures_.push_back(id + ": " + std::to_string(response.status_) + " " +
                                    response.outcome() + " " + response.reason());
            }
            std::this_thread::sleep_for(time_between_requests);
        }
    }

    const store_fleet& fleet_;
    std::size_t host_;
    std::atomic<bool> stopped_ = false;
    std::atomic<int> answered_ = 0;
    std::vector<std::string> failures_;
    std::thread thread_;
};

// What a restart of one host has cost.
struct restart_result {
    // One line for each request that did not get 200.
    std::vector<std::string> failures_;
    std::size_t silent_links_ = 0;
    // Sent to other hosts by the restarted host, on links that the others have opened, and by all.
    std::size_t bytes_ = 0;
    std::size_t bytes_of_all_ = 0;
    std::chrono::duration<double> time_{};
};

// Restarts a host beside traffic, with a change to the platform in between that gives it a later
// list than the others have, and waits until all have that list.
restart_result restart_beside_traffic(store_fleet& fleet, const std::function<void()>& change) {
    const std::int64_t version_before = fleet.status_number(restarted_host, hosts_version);
    const std::size_t lost_before = silent_links(fleet);
    paced_caller second(fleet, 2);
    paced_caller third(fleet, 3);
    REQUIRE(wait_for([&] { return second.answered() > 20 && third.answered() > 20; }));

    fleet.host(restarted_host).send_signal(SIGTERM);
    REQUIRE(fleet.host(restarted_host).wait() == 0);
    change();
    const std::size_t bytes_before = bytes_out(fleet);
    const std::size_t bytes_of_all_before = bytes_of_all(fleet);
    const auto started_at = steady_clock::now();
    fleet.start(restarted_host);
    paced_caller first(fleet, restarted_host);
    REQUIRE(wait_for(
        [&] { return fleet.status_number(restarted_host, hosts_version) > version_before; }));
    CHECK(wait_for([&] { return in_force_everywhere(fleet, version_before + 1); }));
    const int answered_before = first.answered();
    CHECK(wait_for([&] { return first.answered() >= answered_before + later_requests; }));

    restart_result result;
    for (paced_caller* caller : {&first, &second, &third}) {
        const std::vector<std::string>& failures = caller->stop();
        result.failures_.insert(result.failures_.end(), failures.begin(), failures.end());
    }
    result.time_ = steady_clock::now() - started_at;
    result.bytes_ = bytes_out(fleet) - bytes_before;
    result.bytes_of_all_ = bytes_of_all(fleet) - bytes_of_all_before;
    result.silent_links_ = silent_links(fleet) - lost_before;
    return result;
}

std::string to_text(const restart_result& result, std::size_t list) {
    std::ostringstream text;
    text << result.bytes_ << " bytes out of the restarted host, " << result.bytes_of_all_
         << " out of all, in " << result.time_.count() << " s; a list of " << list << " bytes";
    return text.str();
}

}  // namespace

// Guards against: a restarted host read the list at a higher version than all others had it, sent
// all lines to each of them at once, and lost its links and its callers' requests behind them.
TEST_CASE("a restart on narrow links loses no link and no request", "[spread]") {
    store_fleet fleet(std::vector<std::string>(host_count, "orders"), slots, "", links);
    fleet.start_all();
    const restart_result result = restart_beside_traffic(fleet, [&] {
        fleet.put("op/note", "raises the revision, and leaves the entries as they are");
    });
    const std::size_t list = list_bytes(fleet);
    INFO(to_text(result, list));
    CAPTURE(result.failures_);
    CHECK(result.failures_.empty());
    CHECK(result.silent_links_ == 0);
    CHECK(static_cast<double>(result.bytes_) < allowed_bytes(list, 1, result.time_));
    // What the restarted host sends on links that it has opened counts here.
    CHECK(static_cast<double>(result.bytes_of_all_) <
          allowed_bytes(list, host_count, result.time_));
}

// Guards against: the only host that had read a changed list sent it to all others at once, and
// lost its links and its callers' requests behind them.
TEST_CASE("a list that one host alone has read spreads over narrow links", "[spread]") {
    store_fleet fleet(std::vector<std::string>(host_count, "orders"), slots, link_settings, links);
    fleet.start_all();
    const restart_result result = restart_beside_traffic(fleet, [&] {
        constexpr std::size_t changed_host = 5;
        fleet.restart_target(changed_host);
        fleet.store_of(restarted_host)
            .put(store_fleet::entry_key(changed_host), fleet.entry_value(changed_host, "ready"));
    });
    const std::size_t list = list_bytes(fleet);
    INFO(to_text(result, list));
    CAPTURE(result.failures_);
    CHECK(result.failures_.empty());
    CHECK(result.silent_links_ == 0);
    const double copies =
        copies_share * static_cast<double>(links.bytes_per_second_) * result.time_.count();
    CHECK(static_cast<double>(result.bytes_) < allowed_bytes(list, 1, result.time_) + copies);
}
