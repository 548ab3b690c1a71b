// How an attempt sends its response to the caller proxy, by the credit that it gives, and holds the
// reading of its target back to that pace.
#include <algorithm>
#include <utility>

#include "node/target_proxy_attempt.h"
#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

// Maximum time without bytes from the target during a streamed response.
constexpr base::duration body_progress_timeout = base::seconds(10);

// Maximum time without credit from the caller proxy for the rest of a response. A longer time means
// that the caller does not read.
constexpr base::duration stalled_caller_timeout = base::seconds(60);

// Maximum number of bytes in one frame of a response's body.
constexpr std::size_t max_part_bytes = 64 * 1024;

}  // namespace

void target_proxy_attempt::send_response_head() {
    response_.head_.__set_report(owner_.make_report_for(*this));
    wire::frame frame;
    frame.__isset.head_ = true;
    frame.head_ = response_.head_;
    owner_.send_to_caller_proxy(*this, frame);
}

// Returns false if no link to the caller proxy is open.
bool target_proxy_attempt::send_response_body(std::string_view bytes, bool last) {
    wire::frame frame;
    frame.__isset.body_ = true;
    frame.body_.attempt = to_wire(key_.attempt_);
    frame.body_.bytes.assign(bytes);
    frame.body_.last = last;
    frame.body_.whole = !last || response_.complete_;
    return owner_.send_to_caller_proxy(*this, frame);
}

// Sends the next bytes of the body, and its end together with the last of them. Returns false if no
// link to the caller proxy is open.
bool target_proxy_attempt::send_response_part(std::size_t max_bytes) {
    const std::string_view part = std::string_view(response_.body_).substr(sent_bytes_, max_bytes);
    last_part_sent_ = response_.ended_ && part.size() == unsent_bytes();
    sent_bytes_ += part.size();
    return send_response_body(part, last_part_sent_);
}

// Sends as much of the response's body as the caller proxy accepts.
void target_proxy_attempt::send_with_credit() {
    while (response_credit_bytes_ > 0 && unsent_bytes() > 0) {
        const auto credit = static_cast<std::size_t>(response_credit_bytes_);
        const std::size_t sent_before = sent_bytes_;
        const bool linked = send_response_part(std::min(max_part_bytes, credit));
        response_credit_bytes_ -= static_cast<std::int64_t>(sent_bytes_ - sent_before);
        if (!linked && finished_) {
            // The response is sent again if the caller proxy asks for it on another link.
            last_part_sent_ = true;
            return;
        }
    }
    if (response_.ended_ && unsent_bytes() == 0 && !last_part_sent_) {
        send_response_part(0);
    }
    if (response_.streaming_) {
        release_sent_bytes();
    }
    update_claim();
}

void target_proxy_attempt::release_sent_bytes() {
    response_.body_.erase(0, std::exchange(sent_bytes_, 0));
    if (response_.body_.size() < response_.body_.capacity() / 2) {
        response_.body_.shrink_to_fit();
    }
}

// Sends what the caller proxy accepts by now, and reads on or ends the attempt once all is sent.
void target_proxy_attempt::continue_response() {
    if (!response_dropped_) {
        send_with_credit();
    }
    if (running()) {
        if (!response_dropped_) {
            update_reading();
        }
    } else if (last_part_sent_ || response_dropped_) {
        timeout_timer_.cancel();
        owner_.on_response_sent(*this);
    } else {
        start_stall_timeout();
    }
}

// Reads on while all that was received of a streamed response is sent.
void target_proxy_attempt::update_reading() {
    reading_paused_ = unsent_bytes() > 0;
    if (reading_paused_) {
        request_->pause_response();
        start_timeout(stalled_caller_timeout);
        release_slot_if_paused();
    } else {
        request_->resume_response();
        start_timeout(body_progress_timeout);
    }
}

void target_proxy_attempt::start_stall_timeout() {
    timeout_timer_.start(stalled_caller_timeout, [this] { owner_.on_response_stalled(*this); });
}

// Returns true if the target holds as much memory as it may, and this response more than it may in
// any case.
bool target_proxy_attempt::exceeds_memory_share() const {
    return claim_.bytes() > policy::min_response_bytes &&
           policy::available_to(memory_, begin_.target_name) == 0;
}

void target_proxy_attempt::update_claim() {
    claim_.set(begin_.target_name, response_.body_.capacity());
}

bool target_proxy_attempt::resend_response() {
    const bool available =
        response_.ended_ && valid_response() && !response_.streaming_ && !response_dropped_;
    if (!available) {
        return false;
    }
    send_response_head();
    sent_bytes_ = 0;
    do {
        send_response_part(max_part_bytes);
    } while (unsent_bytes() > 0);
    return true;
}

}  // namespace dandelionridge::node
