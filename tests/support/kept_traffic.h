// Callers that use kept connections all the time and record how each of their requests ended.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/caller.h"
#include "support/kept_caller.h"

namespace dandelionridge::support {

struct kept_exchange {
    std::string id_;
    exchange_end end_ = exchange_end::not_connected;
    int status_ = 0;
    std::string outcome_;
};

struct kept_traffic_plan {
    std::size_t callers_ = 1;
    // Returns the request with that ID. Called on the callers' threads.
    std::function<caller_request(std::size_t caller, const std::string& id)> request_;
    // A caller waits for a time between these two before each request.
    std::chrono::milliseconds min_pause_{0};
    std::chrono::milliseconds max_pause_{0};
    unsigned int seed_ = 1;
};

// Runs one thread for each caller.
class kept_traffic {
public:
    explicit kept_traffic(kept_traffic_plan plan);
    kept_traffic(const kept_traffic&) = delete;
    kept_traffic& operator=(const kept_traffic&) = delete;
    ~kept_traffic();

    // Returns the number of requests that have ended.
    std::size_t requests() const { return requests_; }

    // Waits until that many more requests have ended. Returns false if they have not within 60 s.
    bool wait_for_requests(std::size_t count) const;

    // Stops the callers and returns all requests, but those that could not be sent.
    std::vector<kept_exchange> finish();

    // Returns how many connections were established. Call it after finish().
    std::size_t connections() const { return connections_; }

private:
    void run(std::size_t caller_index);

    kept_traffic_plan plan_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> requests_ = 0;
    std::atomic<std::size_t> connections_ = 0;
    std::mutex mutex_;
    std::vector<kept_exchange> exchanges_;
    std::vector<std::thread> threads_;
};

// Returns the IDs of the requests that ended in that way.
std::vector<std::string> ids_ended(const std::vector<kept_exchange>& exchanges, exchange_end end);

}  // namespace dandelionridge::support
