#include "policy/slot_queue.h"

#include <algorithm>
#include <compare>
#include <string_view>
#include <utility>

#include "policy/refusal_margin.h"

namespace dandelionridge::policy {

namespace {

// When the queue becomes empty, the virtual times of organisations that are this far behind the
// queue's are evicted. Those organisations have started no request for this many rounds.
constexpr double organisation_expiry_rounds = 10'000;

// Weight of the latest interval between an organisation's runs in their average, as a divisor. A
// change of the other organisations' load shows within about as many runs.
constexpr int turn_averaging_divisor = 8;

// Returns true if the request can still meet its objective.
bool on_time(const waiting_request& request, base::instant now) {
    return request.objective_at_ - now > request.run_duration_;
}

service_class class_of(const waiting_request& request, base::instant now) {
    if (request.nested_) {
        return service_class::nested;
    }
    if (request.background_) {
        return service_class::background;
    }
    return on_time(request, now) ? service_class::on_time : service_class::late;
}

// Returns the time for which a request can wait and still end before its deadline.
base::duration slack_of(const waiting_request& request, base::instant now) {
    return latest_start(request) - now;
}

service_rank rank_of(const waiting_request& request, base::instant now) {
    return {class_of(request, now), request.priority_};
}

// Returns the longest time that those have waited which are served before a newly arrived request.
// Within its rank only its own organisation's count: the oldest requests of one that sends more
// than its share wait for their own turn.
base::duration head_delay(const slot_queue& queue, const waiting_request& request,
                          base::instant now) {
    const service_rank rank = rank_of(request, now);
    base::duration longest{};
    for (const waiting_request& other : queue.waiting_) {
        const service_rank other_rank = rank_of(other, now);
        if (other_rank < rank ||
            (other_rank == rank && other.organisation_ == request.organisation_)) {
            longest = std::max(longest, now - other.arrived_at_);
        }
    }
    return longest;
}

// Returns the virtual time at which the organisation's next request of that rank would start. An
// organisation that was idle gains no credit: it starts at the rank's virtual time.
double next_virtual_start(const slot_queue& queue, const service_rank& rank,
                          const std::string& organisation) {
    const auto share = queue.shares_.find(rank);
    if (share == queue.shares_.end()) {
        return 0;
    }
    const auto found = share->second.turns_.find(organisation);
    return found == share->second.turns_.end()
               ? share->second.virtual_time_
               : std::max(share->second.virtual_time_, found->second.virtual_time_);
}

// Requests are served in ascending order of this key.
struct service_key {
    service_rank rank_;
    double virtual_start_ = 0;
    base::instant arrived_at_{};
    std::uint64_t id_ = 0;

    auto operator<=>(const service_key&) const = default;
};

// Returns the key with which a request is compared if it is the next one of its organisation and
// rank.
service_key next_key(const slot_queue& queue, const waiting_request& request, base::instant now) {
    const service_rank rank = rank_of(request, now);
    return {rank, next_virtual_start(queue, rank, request.organisation_), request.arrived_at_,
            request.id_};
}

// Sorts the waiting requests into the order in which they will be served.
void sort_by_service(slot_queue& queue, base::instant now) {
    std::vector<std::pair<service_key, waiting_request>> keyed;
    keyed.reserve(queue.waiting_.size());
    for (waiting_request& request : queue.waiting_) {
        const service_key key = next_key(queue, request, now);
        keyed.emplace_back(key, std::move(request));
    }
    const auto by_key = [](const auto& left, const auto& right) {
        return left.first < right.first;
    };
    std::sort(keyed.begin(), keyed.end(), by_key);
    std::map<std::pair<service_rank, std::string>, double> virtual_starts;
    for (auto& [key, request] : keyed) {
        const auto [next, first] =
            virtual_starts.emplace(std::pair(key.rank_, request.organisation_), key.virtual_start_);
        key.virtual_start_ = next->second;
        next->second += 1 / request.weight_;
    }
    std::sort(keyed.begin(), keyed.end(), by_key);
    std::transform(keyed.begin(), keyed.end(), queue.waiting_.begin(),
                   [](auto& entry) { return std::move(entry.second); });
}

// Returns the number of waiting requests of that rank and organisation.
std::size_t count_own(const slot_queue& queue, const service_rank& rank,
                      const std::string& organisation, base::instant now) {
    return static_cast<std::size_t>(std::count_if(
        queue.waiting_.begin(), queue.waiting_.end(), [&](const waiting_request& other) {
            return other.organisation_ == organisation && rank_of(other, now) == rank;
        }));
}

// Advances the turn of an organisation whose request of that rank leaves the queue for a slot.
void record_start(slot_queue& queue, const waiting_request& request, const service_rank& rank,
                  base::instant now) {
    const double start_time = next_virtual_start(queue, rank, request.organisation_);
    fair_share& share = queue.shares_[rank];
    share.virtual_time_ = start_time;
    fair_turn& turn = share.turns_[request.organisation_];
    const base::duration interval = now - turn.started_at_;
    if (!turn.others_waited_) {
        turn.interval_ = base::duration::zero();
    } else if (turn.interval_ == base::duration::zero()) {
        turn.interval_ = interval;
    } else {
        turn.interval_ += (interval - turn.interval_) / turn_averaging_divisor;
    }
    turn.virtual_time_ = start_time + 1 / request.weight_;
    turn.started_at_ = now;
    turn.others_waited_ = count_own(queue, rank, request.organisation_, now) > 0;
    if (queue.waiting_.empty()) {
        std::erase_if(share.turns_, [&](const auto& entry) {
            return entry.second.virtual_time_ + organisation_expiry_rounds < share.virtual_time_;
        });
    }
}

// Returns the time that a newly arrived request waits for the turns of the requests of its own
// organisation and rank that wait already; zero if none does or their turns are not known.
base::duration turn_wait(const slot_queue& queue, const waiting_request& request,
                         base::instant now) {
    const service_rank rank = rank_of(request, now);
    const auto share = queue.shares_.find(rank);
    const std::size_t own = count_own(queue, rank, request.organisation_, now);
    if (share == queue.shares_.end() || own == 0) {
        return {};
    }
    const auto turn = share->second.turns_.find(request.organisation_);
    if (turn == share->second.turns_.end() || !turn->second.others_waited_) {
        return {};
    }
    return turn->second.interval_ * static_cast<std::int64_t>(own + 1);
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
                             return next_key(queue, left, now) < next_key(queue, right, now);
                         });
    const service_rank rank = rank_of(*next, now);
    const bool late = class_of(*next, now) >= service_class::late;
    waiting_request next_request = std::move(*next);
    queue.waiting_.erase(next);
    if (late || queue.waiting_.empty()) {
        queue.late_starve_ = false;
    }
    record_start(queue, next_request, rank, now);
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
        const bool late = class_of(request, now) == service_class::late;
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
    sort_by_service(queue, now);
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
    const service_rank rank = rank_of(request, now);
    std::size_t ahead = 0;
    // Waiting requests of this rank, by organisation, with the organisation's weight.
    std::map<std::string_view, std::pair<std::size_t, double>> same_rank;
    for (const waiting_request& other : queue.waiting_) {
        const service_rank other_rank = rank_of(other, now);
        if (other_rank < rank) {
            ++ahead;
        } else if (other_rank == rank) {
            auto& [count, weight] = same_rank[other.organisation_];
            ++count;
            weight = other.weight_;
        }
    }
    const auto own = same_rank.find(request.organisation_);
    const std::size_t own_waiting = own == same_rank.end() ? 0 : own->second.first;
    const double start = next_virtual_start(queue, rank, request.organisation_) +
                         static_cast<double>(own_waiting) / request.weight_;
    for (const auto& [organisation, waiting] : same_rank) {
        const auto& [count, weight] = waiting;
        if (organisation == request.organisation_) {
            ahead += count;
            continue;
        }
        // Of those with the same virtual start time the one that arrived first is served first.
        const double lead = start - next_virtual_start(queue, rank, std::string(organisation));
        ahead += lead < 0 ? 0 : std::min(count, static_cast<std::size_t>(lead * weight) + 1);
    }
    return ahead;
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
    return std::max(run * served_with / std::max(1, slots), turn_wait(queue, request, now));
}

}  // namespace dandelionridge::policy
