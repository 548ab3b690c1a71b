#include "node/answer_store.h"

#include <utility>

namespace dandelionridge::node {

namespace {

constexpr std::size_t most_bytes = 16 * 1024 * 1024;
constexpr std::size_t most_attempts = 4096;

}  // namespace

bool answer_store::keeps(const guard_attempt& attempt) {
    const kept_answer& kept = attempt.kept();
    return !attempt.begin().idempotent && kept.ended_ && !kept.overflown_;
}

void answer_store::add(std::unique_ptr<guard_attempt> attempt) {
    bytes_ += attempt->kept().body_.size();
    const policy::ledger_key key = attempt->key();
    order_.push_back(key);
    attempts_.emplace(key, std::move(attempt));
    while (bytes_ > most_bytes || order_.size() > most_attempts) {
        drop_oldest();
    }
}

guard_attempt* answer_store::find(const policy::ledger_key& key) const {
    const auto found = attempts_.find(key);
    return found == attempts_.end() ? nullptr : found->second.get();
}

void answer_store::drop_oldest() {
    const auto oldest = attempts_.find(order_.front());
    order_.pop_front();
    bytes_ -= oldest->second->kept().body_.size();
    attempts_.erase(oldest);
}

}  // namespace dandelionridge::node
