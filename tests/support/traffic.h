// Callers that send a mixed load and check every response.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"

namespace dandelionridge::support {

struct traffic_counts {
    // Requests for which a connection was established.
    std::uint64_t requests_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t not_run_ = 0;
    // The outcome was reported as unknown, or the response was visibly incomplete.
    std::uint64_t unknown_ = 0;
    // A wrong status or body, a "not_run" for a request that ran, or a complete response to a
    // request that did not run.
    std::uint64_t incorrect_responses_ = 0;
    // Non-idempotent requests that ran more than once.
    std::uint64_t ran_twice_ = 0;
};

struct traffic_plan {
    // Keys of the callers. Each key is used by one caller thread per caller proxy.
    std::vector<std::string> keys_;
    // Host names.
    std::vector<std::string> caller_proxies_;
    // Services for idempotent reads, non-idempotent posts, and downloads. If a name is empty, no
    // such requests are sent.
    std::string read_service_;
    std::string post_service_;
    std::string download_service_;
    std::uint64_t download_bytes_ = 200'000;
};

// Runs one caller thread for each key at each caller proxy. A caller that cannot connect uses
// the next caller proxy.
class traffic {
public:
    traffic(fleet& fleet, traffic_plan plan);
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;
    ~traffic();

    // Number of requests so far whose responses were checked.
    std::uint64_t requests() const { return requests_; }

    // Stops the callers, and compares the responses they received with the runs of the targets.
    traffic_counts finish();

    // Returns one line for each response that was incorrect and each request that ran more than
    // once.
    std::vector<std::string> violations() const;

    // Returns how many requests were refused for each reason.
    std::map<std::string, std::uint64_t> refusals_by_reason() const;

private:
    struct sent_post {
        std::string id_;
        bool reported_not_run_ = false;
        bool complete_ = false;
    };

    void run(std::size_t caller_index);
    void send_one(caller& caller, std::size_t caller_index, std::uint64_t sequence,
                  std::size_t& caller_proxy_index);
    void check_response(const caller_response& response, const sent_post& post,
                        const std::string& expected, const std::string& request_description);

    fleet& fleet_;
    traffic_plan plan_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    mutable std::mutex mutex_;
    traffic_counts counts_;
    std::vector<sent_post> posts_;
    std::vector<std::string> violations_;
    std::map<std::string, std::uint64_t> refusals_by_reason_;
    std::vector<std::thread> threads_;
};

}  // namespace dandelionridge::support
