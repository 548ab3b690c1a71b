#include "policy/sent_attempts.h"

#include <cassert>

namespace dandelionridge::policy {

namespace {

// Marks all attempts as sent on a lost link. Returns those that were not marked before.
std::vector<attempt_id> mark_attempts_lost(sent_attempts& state) {
    std::vector<attempt_id> lost;
    for (auto& [attempt, sent] : state.unsettled_) {
        if (!sent.link_lost_) {
            sent.link_lost_ = true;
            lost.push_back(attempt);
        }
    }
    return lost;
}

}  // namespace

std::int64_t allocate_link_number(sent_attempts& state) {
    mark_link_lost(state);
    return ++state.last_link_;
}

link_opening confirm_link(sent_attempts& state, std::int64_t target_proxy_boot) {
    state.current_link_ = open_link{state.last_link_, target_proxy_boot, 1};
    link_opening opening;
    for (auto it = state.unsettled_.begin(); it != state.unsettled_.end();) {
        const auto& [attempt, sent] = *it;
        assert(sent.link_lost_);
        if (sent.target_proxy_boot_ != target_proxy_boot) {
            opening.unknown_.push_back(attempt);
            it = state.unsettled_.erase(it);
            continue;
        }
        if (opening.resolve_requests_.empty() ||
            opening.resolve_requests_.back().link_ != attempt.link_) {
            opening.resolve_requests_.push_back({attempt.link_, target_proxy_boot, {}});
        }
        opening.resolve_requests_.back().sequences_.push_back(attempt.sequence_);
        ++it;
    }
    return opening;
}

void record_response_expected(sent_attempts& state, attempt_id attempt) {
    const auto found = state.unsettled_.find(attempt);
    if (found != state.unsettled_.end()) {
        found->second.link_lost_ = false;
    }
}

std::vector<attempt_id> mark_link_lost(sent_attempts& state) {
    state.current_link_.reset();
    return mark_attempts_lost(state);
}

std::optional<attempt_id> register_attempt(sent_attempts& state) {
    if (!state.current_link_) {
        return std::nullopt;
    }
    const attempt_id attempt{state.current_link_->number_, state.current_link_->next_sequence_};
    ++state.current_link_->next_sequence_;
    state.unsettled_.emplace(attempt, sent_attempt{state.current_link_->target_proxy_boot_, false});
    return attempt;
}

bool settle_attempt(sent_attempts& state, attempt_id attempt) {
    return state.unsettled_.erase(attempt) > 0;
}

}  // namespace dandelionridge::policy
