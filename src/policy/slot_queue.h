// Requests that wait for a slot of one target, and which of them goes next.
//
// Pattern: deadline-aware priority queue with weighted fair sharing. Calls of running requests go
// first, since each holds a slot elsewhere; then what can still be on time, by priority, in turn
// between organisations; then what is late, the longest waiting first; background work goes last.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct waiting_request {
    std::uint64_t id_ = 0;
    std::string organisation_;
    // Made by a target while it runs another request.
    bool nested_ = false;
    bool background_ = false;
    // 0 is served first.
    int priority_ = 0;
    base::instant arrived_at_{};
    // An answer is late from here on; never if there is no objective.
    base::instant objective_at_ = base::instant::max();
    base::instant deadline_at_ = base::instant::max();
    // Time that its run is expected to take.
    base::duration run_duration_{};
};

struct slot_queue {
    std::vector<waiting_request> waiting_;
    // Runs that each organisation began, in the time of a queue in which all have their turn.
    std::unordered_map<std::string, double> organisation_virtual_times_;
    double virtual_time_ = 0;
};

void push(slot_queue& queue, waiting_request request);

// The next request to serve, or nothing if none waits.
std::optional<waiting_request> pop(slot_queue& queue, base::instant now);

// Takes a request out. False if it did not wait.
bool remove(slot_queue& queue, std::uint64_t id);

// Takes out those that cannot end before their deadline any more.
std::vector<std::uint64_t> remove_infeasible(slot_queue& queue, base::instant now);

// Time that a request would wait behind those that go before it, where `slots` run at a time and
// a run takes `run`.
base::duration expected_wait(const slot_queue& queue, const waiting_request& request, int slots,
                             base::duration run, base::instant now);

}  // namespace dandelionridge::policy
