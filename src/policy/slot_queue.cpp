#include "policy/slot_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "policy/refusal_margin.h"

namespace dandelionridge::policy {

namespace {

// When the queue becomes empty, the virtual times of organisations that are this far behind the
// queue's are evicted. Those organisations have started no request for this many rounds.
constexpr double organisation_expiry_rounds = 10'000;

constexpr int late_class = 2;

// Returns true if the request can still meet its objective.
bool on_time(const waiting_request& request, base::instant now) {
    return request.objective_at_ - now > request.run_duration_;
}

// Returns the class in which a request is served: 0 for nested requests, 1 for requests that can
// still meet their objective, 2 for late ones, 3 for background requests. Lower classes go first.
int priority_class(const waiting_request& request, base::instant now) {
    if (request.nested_) {
        return 0;
    }
    if (request.background_) {
        return 3;
    }
    return on_time(request, now) ? 1 : late_class;
}

// Returns the time for which a request can wait and still end before its deadline.
base::duration slack_of(const waiting_request& request, base::instant now) {
    return latest_start(request) - now;
}

// Requests of a lower rank are served first, those of the same rank in turn.
std::pair<int, int> rank_of(const waiting_request& request, base::instant now) {
    return {priority_class(request, now), request.priority_};
}

// Returns the longest time that those have waited which are served before a newly arrived request.
base::duration head_delay(const slot_queue& queue, const waiting_request& request,
                          base::instant now) {
    base::duration longest{};
    for (const waiting_request& other : queue.waiting_) {
        if (rank_of(other, now) <= rank_of(request, now)) {
            longest = std::max(longest, now - other.arrived_at_);
        }
    }
    return longest;
}

// Returns the virtual time at which a request would start. An organisation that was idle gains no
// credit: it starts at the queue's virtual time.
double virtual_start_time(const slot_queue& queue, const waiting_request& request) {
    const auto found = queue.organisation_virtual_times_.find(request.organisation_);
    return found == queue.organisation_virtual_times_.end()
               ? queue.virtual_time_
               : std::max(queue.virtual_time_, found->second);
}

// Requests are served in ascending order of this key.
auto sort_key(const slot_queue& queue, const waiting_request& request, base::instant now) {
    return std::tuple(rank_of(request, now), virtual_start_time(queue, request),
                      request.arrived_at_, request.id_);
}

// Advances the virtual times for a request that leaves the queue for a slot.
void record_start(slot_queue& queue, const waiting_request& request) {
    const double start_time = virtual_start_time(queue, request);
    queue.virtual_time_ = start_time;
    queue.organisation_virtual_times_[request.organisation_] = start_time + 1;
    if (queue.waiting_.empty()) {
        std::erase_if(queue.organisation_virtual_times_, [&](const auto& entry) {
            return entry.second + organisation_expiry_rounds < queue.virtual_time_;
        });
    }
}

}  // namespace

base::instant latest_start(const waiting_request& request) {
    const base::duration margin = refusal_margin(request.deadline_at_ - request.arrived_at_);
    return request.deadline_at_ - std::max(request.run_duration_, margin);
}

void push(slot_queue& queue, waiting_request request) {
    queue.waiting_.push_back(std::move(request));
}

std::optional<waiting_request> pop(slot_queue& queue, base::instant now) {
    if (queue.waiting_.empty()) {
        return std::nullopt;
    }
    const auto next =
        std::min_element(queue.waiting_.begin(), queue.waiting_.end(),
                         [&](const waiting_request& left, const waiting_request& right) {
                             return sort_key(queue, left, now) < sort_key(queue, right, now);
                         });
    const bool late = priority_class(*next, now) >= late_class;
    waiting_request next_request = std::move(*next);
    queue.waiting_.erase(next);
    if (late || queue.waiting_.empty()) {
        queue.late_starve_ = false;
    }
    record_start(queue, next_request);
    return next_request;
}

bool remove(slot_queue& queue, std::uint64_t id) {
    return std::erase_if(queue.waiting_,
                         [&](const waiting_request& request) { return request.id_ == id; }) > 0;
}

std::vector<std::uint64_t> remove_infeasible(slot_queue& queue, base::instant now) {
    std::vector<std::uint64_t> removed;
    std::erase_if(queue.waiting_, [&](const waiting_request& request) {
        const base::duration slack = slack_of(request, now);
        const bool late = priority_class(request, now) == late_class;
        const bool starves = late && now - request.arrived_at_ > slack;
        const bool infeasible = slack < base::duration::zero() || starves;
        queue.late_starve_ = queue.late_starve_ || starves;
        if (infeasible) {
            removed.push_back(request.id_);
        }
        return infeasible;
    });
    return removed;
}

std::vector<std::uint64_t> remove_late(slot_queue& queue,
                                       const std::function<base::duration(std::size_t)>& wait_of,
                                       base::instant now) {
    std::sort(queue.waiting_.begin(), queue.waiting_.end(),
              [&](const waiting_request& left, const waiting_request& right) {
                  return sort_key(queue, left, now) < sort_key(queue, right, now);
              });
    std::vector<std::uint64_t> removed;
    std::size_t ahead = 0;
    std::erase_if(queue.waiting_, [&](const waiting_request& request) {
        const bool late = slack_of(request, now) < wait_of(ahead);
        if (late) {
            removed.push_back(request.id_);
        } else {
            ++ahead;
        }
        return late;
    });
    return removed;
}

std::size_t count_ahead(const slot_queue& queue, const waiting_request& request,
                        base::instant now) {
    const auto rank = rank_of(request, now);
    return static_cast<std::size_t>(
        std::count_if(queue.waiting_.begin(), queue.waiting_.end(),
                      [&](const waiting_request& other) { return rank_of(other, now) <= rank; }));
}

bool can_end_in_time(const slot_queue& queue, const waiting_request& request, base::duration wait,
                     base::instant now) {
    const base::duration predicted_wait = std::max(wait, head_delay(queue, request, now));
    if (slack_of(request, now) < predicted_wait) {
        return false;
    }
    const bool stays_on_time =
        request.objective_at_ - now >= predicted_wait + request.run_duration_;
    return stays_on_time || !queue.late_starve_;
}

base::duration expected_wait(const slot_queue& queue, const waiting_request& request, int slots,
                             base::duration run, base::instant now) {
    const auto served_with = static_cast<std::int64_t>(count_ahead(queue, request, now)) + 1;
    return run * served_with / std::max(1, slots);
}

}  // namespace dandelionridge::policy
