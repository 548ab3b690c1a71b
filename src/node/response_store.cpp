#include "node/response_store.h"

#include <utility>

namespace dandelionridge::node {

namespace {

constexpr std::size_t max_attempts = 4096;

}  // namespace

bool response_store::should_keep(const target_proxy_attempt& attempt) {
    const collected_response& response = attempt.response();
    return response.ended_ && !response.streaming_ && !attempt.response_discarded();
}

void response_store::add(std::unique_ptr<target_proxy_attempt> attempt, base::instant now) {
    bytes_ += attempt->response().body_.size();
    const policy::ledger_key key = attempt->key();
    insertion_order_.push_back({key, now});
    attempts_.emplace(key, std::move(attempt));
    while (exceeds_bounds(now)) {
        evict_oldest();
    }
}

bool response_store::exceeds_bounds(base::instant now) const {
    return bytes_ > max_bytes_ || insertion_order_.size() > max_attempts ||
           (!insertion_order_.empty() && now - insertion_order_.front().added_at_ > max_age_);
}

target_proxy_attempt* response_store::find(const policy::ledger_key& key) const {
    const auto found = attempts_.find(key);
    return found == attempts_.end() ? nullptr : found->second.get();
}

void response_store::evict_oldest() {
    const auto oldest = attempts_.find(insertion_order_.front().key_);
    insertion_order_.pop_front();
    bytes_ -= oldest->second->response().body_.size();
    attempts_.erase(oldest);
}

}  // namespace dandelionridge::node
