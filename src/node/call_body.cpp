// How a call reads its request's body from the caller and forwards it, limited by the target
// proxy's credit. The body is kept while it fits in the request window, so that the request can be
// retried.
#include <algorithm>
#include <utility>

#include "node/call.h"
#include "node/target_proxy_attempt.h"

namespace dandelionridge::node {

bool call::has_body() const {
    return context_.request_.chunked_ || context_.request_.body_length_.value_or(0) > 0;
}

// Returns true once enough of the body is buffered to start an attempt. A body that fits in the
// request window is read whole before that, so that no slot is held for a slow caller.
bool call::body_buffered() const {
    return body_ended_ || context_.request_.body_length_.value_or(0) > request_window_bytes ||
           body_.size() >= static_cast<std::size_t>(request_window_bytes);
}

// Returns true if the body is sent to that target only once the attempt has a slot there, provided
// that the target proxy grants credit for it.
bool call::body_waits(const chosen_target& chosen) const {
    return has_body() &&
           policy::body_waits_for_slot({context_.idempotent_, context_.request_.body_length_,
                                        chosen.distance_, fits_in_window()});
}

// Returns true if the whole body is, or will be, buffered at once.
bool call::fits_in_window() const {
    const std::uint64_t length =
        body_ended_ ? body_.size()
                    : context_.request_.body_length_.value_or(request_window_bytes + 1);
    return replayable() && length <= static_cast<std::uint64_t>(request_window_bytes);
}

// Returns true if the body is still buffered from its beginning.
bool call::replayable() const {
    return body_offset_ == 0;
}

// Returns the number of buffered bytes that the attempt in progress has not sent.
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
    if (unsent_body() >= static_cast<std::size_t>(request_window_bytes) && !body_paused_) {
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
        constexpr std::size_t max_part_bytes = 16 * 1024;
        const std::size_t part_bytes =
            std::min({unsent_body(), max_part_bytes, static_cast<std::size_t>(attempt_->credit_)});
        const std::size_t offset = attempt_->body_sent_ - body_offset_;
        const bool last = body_ended_ && part_bytes == unsent_body();
        attempt_->link_->send_body(attempt_->id_,
                                   std::string_view(body_).substr(offset, part_bytes), last);
        attempt_->body_sent_ += part_bytes;
        attempt_->credit_ -= static_cast<std::int64_t>(part_bytes);
        attempt_->body_ended_ = last;
    }
    const bool fully_buffered = body_ended_
                                    ? body_offset_ == 0
                                    : body_.size() < static_cast<std::size_t>(request_window_bytes);
    if (!fully_buffered) {
        body_.erase(0, attempt_->body_sent_ - body_offset_);
        body_offset_ = attempt_->body_sent_;
    }
    if (body_paused_ && unsent_body() < static_cast<std::size_t>(request_window_bytes) / 2) {
        body_paused_ = false;
        exchange_.resume_body();
    }
}

void call::on_credit(std::int32_t bytes) {
    if (std::exchange(attempt_->body_waits_, false)) {
        owner_.locality_.record_body_granted();
    }
    attempt_->credit_ += bytes;
    send_pending_body();
}

}  // namespace dandelionridge::node
