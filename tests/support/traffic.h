// Callers that send a mixed load and judge every answer.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"

namespace dandelionridge::support {

struct traffic_counts {
    std::uint64_t requests_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t not_run_ = 0;
    // Said to be unknown, or broken off visibly.
    std::uint64_t unknown_ = 0;
    // An answer with a wrong body, or a "not run" that ran.
    std::uint64_t incorrect_responses_ = 0;
    // Non-idempotent requests that ran more than once.
    std::uint64_t ran_twice_ = 0;
};

struct traffic_plan {
    // Keys to send, one caller thread a key and entry.
    std::vector<std::string> keys_;
    std::vector<std::string> caller_proxies_;
    // Services: idempotent reads, non-idempotent posts, downloads. Empty ones are left out.
    std::string read_service_;
    std::string post_service_;
    std::string download_service_;
    std::uint64_t download_bytes_ = 200'000;
};

// One caller thread for each key at each entry. A caller that cannot connect goes to the next
// entry.
class traffic {
public:
    traffic(fleet& fleet, traffic_plan plan);
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;
    ~traffic();

    std::uint64_t requests() const { return requests_; }

    // Stops the callers, and compares what they heard with what the targets ran.
    traffic_counts finish();

    // One line for each answer that was neither whole nor truthful.
    std::vector<std::string> violations() const;

private:
    struct sent_post {
        std::string id_;
        bool said_not_run_ = false;
        bool complete_ = false;
    };

    void run(std::size_t number);
    void send_one(caller& caller, std::size_t number, std::uint64_t turn,
                  std::size_t& caller_proxy);
    void check_response(const caller_response& response, const sent_post& post,
                        const std::string& expected, const std::string& what);

    fleet& fleet_;
    traffic_plan plan_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    mutable std::mutex mutex_;
    traffic_counts counts_;
    std::vector<sent_post> posts_;
    std::vector<std::string> violations_;
    std::vector<std::thread> threads_;
};

}  // namespace dandelionridge::support
