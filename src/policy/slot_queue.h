// Requests that wait for a slot of one target, and the order in which they are served.
//
// Pattern: deadline-aware priority queue with weighted fair sharing. Requests made by running
// requests go first, since each of those holds a slot elsewhere. Requests that can still meet their
// objective come next, then late ones, and background requests come last. Within each of these
// classes the order is by priority, then fair between organisations, then by arrival. The wait is
// predicted by the head-of-line delay, which holds while the target's speed changes, and by the
// requests that go before in the fair order: those that another organisation has waiting beyond its
// share do not count.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct waiting_request {
    std::uint64_t id_ = 0;
    std::string organisation_;
    // The request was made by a target while it runs another request.
    bool nested_ = false;
    bool background_ = false;
    // Share of the slots that the organisation gets, relative to the others with waiting requests.
    double weight_ = 1;
    // Within its class, a request with a lower value is served first; 0 is the highest priority.
    int priority_ = 0;
    base::instant arrived_at_{};
    // Time from which on a response is late; instant::max() if there is no objective.
    base::instant objective_at_ = base::instant::max();
    base::instant deadline_at_ = base::instant::max();
    // Expected duration of the request's run; zero if unknown.
    base::duration run_duration_{};
};

// Classes of waiting requests, in the order in which they are served.
enum class service_class {
    // Made by running requests.
    nested,
    // Those that can still meet their objective, and those that no longer can.
    on_time,
    late,
    background,
};

// Requests of a lower rank are served first, those of the same rank in fair turn.
struct service_rank {
    service_class class_ = service_class::on_time;
    int priority_ = 0;

    auto operator<=>(const service_rank&) const = default;
};

// The turn of an organisation among those that share the slots of one rank.
struct fair_turn {
    // Virtual time at which its next run may start: each run advances it by 1/weight, and the
    // organisation with the lowest one is served first.
    double virtual_time_ = 0;
    // Average time between its runs while it had requests waiting; zero if not known.
    base::duration interval_{};
    // Start of its last run, and whether other requests of it waited then.
    base::instant started_at_{};
    bool others_waited_ = false;
};

// How organisations share the slots that requests of one rank get.
struct fair_share {
    // By organisation.
    std::unordered_map<std::string, fair_turn> turns_;
    // Virtual start time of the run that was started last.
    double virtual_time_ = 0;
};

struct slot_queue {
    std::vector<waiting_request> waiting_;
    // Each rank has virtual times of its own: one shared with more urgent requests would run ahead
    // of the organisations that wait behind those, which then were served by arrival.
    std::map<service_rank, fair_share> shares_;
    // A late request was abandoned since one was last served: late requests get no slots now.
    bool late_starve_ = false;
};

// Returns the time until which a request can wait for its slot: a run that begins later does not
// end before the deadline, and a refusal that is sent later does not reach the caller before it.
base::instant latest_start(const waiting_request& request);

void push(slot_queue& queue, waiting_request request);

// Removes and returns the next request to serve, or returns nothing if none waits.
std::optional<waiting_request> pop(slot_queue& queue, base::instant now);

// Removes a request. Returns false if it was not in the queue.
bool remove(slot_queue& queue, std::uint64_t id);

// Removes the requests whose latest start has passed, and the late ones that have waited for longer
// than they still can: no slot was left for them. Returns their ids.
std::vector<std::uint64_t> remove_infeasible(slot_queue& queue, base::instant now);

// Removes the requests that cannot end before their deadline if the n-th request to be served,
// counted from 0, waits for `wait_of(n)`, and returns their ids.
std::vector<std::uint64_t> remove_late(slot_queue& queue,
                                       const std::function<base::duration(std::size_t)>& wait_of,
                                       base::instant now);

// Returns the number of waiting requests that are served before a newly arrived one if no further
// ones arrive.
std::size_t count_ahead(const slot_queue& queue, const waiting_request& request, base::instant now);

// Returns true if a newly arrived request will probably end before its deadline. `wait` is the time
// that it waits at least. It is also expected to wait for as long as the requests ahead of it have
// waited, and not to be served any more if it becomes late while late requests starve.
bool can_end_in_time(const slot_queue& queue, const waiting_request& request, base::duration wait,
                     base::instant now);

// Returns the expected time until a newly arrived request gets a slot, behind those that go before
// it, where `slots` requests run at a time and each takes `run`. Where requests of its organisation
// wait already, it takes at least as many of the organisation's turns as were observed.
base::duration expected_wait(const slot_queue& queue, const waiting_request& request, int slots,
                             base::duration run, base::instant now);

}  // namespace dandelionridge::policy
