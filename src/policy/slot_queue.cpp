#include "policy/slot_queue.h"

#include <algorithm>
#include <tuple>

namespace dandelionridge::policy {

namespace {

// Organisations that have had no turn for this many turns are forgotten.
constexpr double turn_memory = 10'000;

bool on_time(const waiting_request& request, base::instant now) {
    return request.objective_at_ - now > request.run_duration_;
}

// Lower goes first.
int lane_of(const waiting_request& request, base::instant now) {
    if (request.nested_) {
        return 0;
    }
    if (request.background_) {
        return 3;
    }
    return on_time(request, now) ? 1 : 2;
}

double turn_of(const slot_queue& queue, const waiting_request& request) {
    const auto found = queue.organisation_virtual_times_.find(request.organisation_);
    return found == queue.organisation_virtual_times_.end()
               ? queue.virtual_time_
               : std::max(queue.virtual_time_, found->second);
}

auto order_of(const slot_queue& queue, const waiting_request& request, base::instant now) {
    return std::tuple(lane_of(request, now), request.priority_, turn_of(queue, request),
                      request.arrived_at_, request.id_);
}

void note_turn(slot_queue& queue, const waiting_request& request) {
    const double turn = turn_of(queue, request);
    queue.virtual_time_ = turn;
    queue.organisation_virtual_times_[request.organisation_] = turn + 1;
    if (queue.waiting_.empty()) {
        std::erase_if(queue.organisation_virtual_times_, [&](const auto& entry) {
            return entry.second + turn_memory < queue.virtual_time_;
        });
    }
}

}  // namespace

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
                             return order_of(queue, left, now) < order_of(queue, right, now);
                         });
    waiting_request taken = std::move(*next);
    queue.waiting_.erase(next);
    note_turn(queue, taken);
    return taken;
}

bool remove(slot_queue& queue, std::uint64_t id) {
    return std::erase_if(queue.waiting_,
                         [&](const waiting_request& one) { return one.id_ == id; }) > 0;
}

std::vector<std::uint64_t> remove_infeasible(slot_queue& queue, base::instant now) {
    std::vector<std::uint64_t> taken;
    std::erase_if(queue.waiting_, [&](const waiting_request& one) {
        const bool hopeless = one.deadline_at_ - now < one.run_duration_;
        if (hopeless) {
            taken.push_back(one.id_);
        }
        return hopeless;
    });
    return taken;
}

base::duration expected_wait(const slot_queue& queue, const waiting_request& request, int slots,
                             base::duration run, base::instant now) {
    const auto place = std::tuple(lane_of(request, now), request.priority_);
    const auto ahead = std::count_if(
        queue.waiting_.begin(), queue.waiting_.end(), [&](const waiting_request& one) {
            return std::tuple(lane_of(one, now), one.priority_) <= place;
        });
    return run * (ahead + 1) / std::max(1, slots);
}

}  // namespace dandelionridge::policy
