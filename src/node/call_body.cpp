// How a call takes its request's body from the caller and passes it on, bounded by the guard's
// credit.
#include <algorithm>

#include "node/call.h"
#include "node/target_proxy_attempt.h"

namespace dandelionridge::node {

bool call::has_body() const {
    return context_.request_.chunked_ || context_.request_.body_length_.value_or(0) > 0;
}

// A short body is read before a target is asked, so that no slot waits for a slow caller.
bool call::body_buffered() const {
    return body_ended_ || context_.request_.body_length_.value_or(0) > request_window ||
           body_.size() >= static_cast<std::size_t>(request_window);
}

bool call::replayable() const {
    return body_offset_ == 0;
}

std::size_t call::unsent_body() const {
    const std::size_t sent = attempt_ == nullptr ? 0 : attempt_->body_sent_;
    return body_offset_ + body_.size() - sent;
}

void call::on_body(std::string_view bytes) {
    if (finished_) {
        return;
    }
    body_ += bytes;
    if (body_buffered()) {
        admit();
    }
    send_pending_body();
    if (unsent_body() >= static_cast<std::size_t>(request_window) && !body_paused_) {
        body_paused_ = true;
        exchange_.pause_body();
    }
}

void call::on_body_end() {
    if (finished_) {
        return;
    }
    body_ended_ = true;
    admit();
    send_pending_body();
}

void call::send_pending_body() {
    if (attempt_ == nullptr || !attempt_->written_ || !has_body()) {
        return;
    }
    while (attempt_->credit_ > 0 && !attempt_->body_ended_ && (unsent_body() > 0 || body_ended_)) {
        constexpr std::size_t piece = 16 * 1024;
        const std::size_t count =
            std::min({unsent_body(), piece, static_cast<std::size_t>(attempt_->credit_)});
        const std::size_t from = attempt_->body_sent_ - body_offset_;
        const bool last = body_ended_ && count == unsent_body();
        attempt_->link_->send_body(attempt_->id_, std::string_view(body_).substr(from, count),
                                   last);
        attempt_->body_sent_ += count;
        attempt_->credit_ -= static_cast<std::int64_t>(count);
        attempt_->body_ended_ = last;
    }
    const bool kept_whole =
        body_ended_ ? body_offset_ == 0 : body_.size() < static_cast<std::size_t>(request_window);
    if (!kept_whole) {
        body_.erase(0, attempt_->body_sent_ - body_offset_);
        body_offset_ = attempt_->body_sent_;
    }
    if (body_paused_ && unsent_body() < static_cast<std::size_t>(request_window) / 2) {
        body_paused_ = false;
        exchange_.resume_body();
    }
}

void call::on_credit(std::int32_t bytes) {
    attempt_->credit_ += bytes;
    send_pending_body();
}

}  // namespace dandelionridge::node
