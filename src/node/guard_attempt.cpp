#include "node/guard_attempt.h"

#include <utility>

#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

// Longest time that a target may send nothing in the middle of an answer.
constexpr base::duration progress_bound = base::seconds(10);

// Longest time that an entry may take no more of an answer: its caller does not read.
constexpr base::duration stalled_entry_bound = base::seconds(60);

}  // namespace

guard_attempt::guard_attempt(net::event_loop& loop, guard_attempt_owner& owner,
                             policy::ledger_key key, wire::attempt_begin begin)
    : loop_(loop),
      owner_(owner),
      key_(key),
      begin_(std::move(begin)),
      deadline_(loop.clock().now() + base::milliseconds(begin_.deadline_ms)),
      deadline_timer_(loop) {
    expire_after(base::milliseconds(begin_.deadline_ms));
}

void guard_attempt::expire_after(base::duration bound) {
    deadline_timer_.start(bound, [this] {
        if (running()) {
            request_.reset();
            end(attempt_end::timed_out);
        } else {
            owner_.on_wait_expired(*this);
        }
    });
}

bool guard_attempt::expired() const {
    return loop_.clock().now() >= deadline_;
}

bool guard_attempt::body_incomplete() const {
    return body_received_ < (begin_.__isset.body_length ? begin_.body_length : 0);
}

net::http_request guard_attempt::make_request() const {
    net::http_request request;
    request.method_ = begin_.method;
    request.path_ = begin_.path;
    for (const wire::header_field& header : begin_.headers) {
        if (header.name == "host") {
            request.host_ = header.value;
        } else {
            request.headers_.push_back({header.name, header.value});
        }
    }
    const auto left = base::whole_ms(deadline_ - loop_.clock().now());
    request.headers_.push_back({"x-request-id", begin_.request_id});
    request.headers_.push_back({"x-deadline-ms", std::to_string(left)});
    if (!begin_.organisation.empty()) {
        request.headers_.push_back({"x-organisation", begin_.organisation});
    }
    if (begin_.__isset.body_length) {
        request.body_length_ = static_cast<std::uint64_t>(begin_.body_length);
    }
    return request;
}

void guard_attempt::run(const base::address& target, std::span<const std::string> answer_headers) {
    request_ =
        net::http_client_request::start(loop_, target, make_request(), answer_headers, *this);
    if (!early_body_.empty()) {
        request_->send_body(std::exchange(early_body_, {}));
    }
}

void guard_attempt::cancel() {
    request_.reset();
    end(attempt_end::cancelled);
}

void guard_attempt::on_request_body(const wire::body_part& part) {
    body_received_ += static_cast<std::int64_t>(part.bytes.size());
    if (running()) {
        request_->send_body(part.bytes);
    } else if (!over_) {
        early_body_ += part.bytes;
    }
}

void guard_attempt::on_request_sent(std::size_t bytes) {
    wire::frame frame;
    frame.__isset.credit_ = true;
    frame.credit_.attempt = to_wire(key_.attempt_);
    frame.credit_.bytes = static_cast<std::int32_t>(bytes);
    owner_.send_to_entry(*this, frame);
}

void guard_attempt::on_credit(std::int32_t bytes) {
    credit_ += bytes;
    if (credit_ > 0 && running()) {
        request_->resume_answer();
        expire_after(progress_bound);
    }
}

void guard_attempt::on_answer(const net::http_answer& answer) {
    // From here on the answer may take its time as long as it moves.
    expire_after(progress_bound);
    kept_.headed_ = true;
    kept_.head_.attempt = to_wire(key_.attempt_);
    kept_.head_.status = answer.status_;
    kept_.head_.in_flight = in_flight_;
    for (const net::http_header& header : answer.headers_) {
        wire::header_field field;
        field.name = header.name_;
        field.value = header.value_;
        kept_.head_.headers.push_back(std::move(field));
    }
    if (answer.length_) {
        kept_.head_.__set_length(static_cast<std::int64_t>(*answer.length_));
    }
    send_head();
}

void guard_attempt::send_head() {
    wire::frame frame;
    frame.__isset.head_ = true;
    frame.head_ = kept_.head_;
    owner_.send_to_entry(*this, frame);
}

void guard_attempt::keep(std::string_view bytes) {
    if (begin_.idempotent || kept_.overflown_) {
        return;
    }
    if (kept_.body_.size() + bytes.size() > longest_kept_answer) {
        kept_.overflown_ = true;
        kept_.body_ = std::string();
        return;
    }
    kept_.body_ += bytes;
}

void guard_attempt::send_body(std::string_view bytes, bool last, bool whole) {
    wire::frame frame;
    frame.__isset.body_ = true;
    frame.body_.attempt = to_wire(key_.attempt_);
    frame.body_.bytes.assign(bytes);
    frame.body_.last = last;
    frame.body_.whole = whole;
    owner_.send_to_entry(*this, frame);
}

void guard_attempt::on_answer_body(std::string_view bytes) {
    keep(bytes);
    credit_ -= static_cast<std::int64_t>(bytes.size());
    if (credit_ <= 0) {
        request_->pause_answer();
        expire_after(stalled_entry_bound);
    } else {
        expire_after(progress_bound);
    }
    send_body(bytes, false, true);
}

void guard_attempt::on_end(bool whole) {
    kept_.ended_ = true;
    kept_.whole_ = whole;
    send_body({}, true, whole);
    end(attempt_end::answered);
}

void guard_attempt::on_failed(net::client_failure failure) {
    end(failure == net::client_failure::never_sent ? attempt_end::not_sent : attempt_end::broken);
}

void guard_attempt::resend_answer() {
    credit_ = answer_window;
    if (!kept_.headed_) {
        return;
    }
    send_head();
    credit_ -= static_cast<std::int64_t>(kept_.body_.size());
    send_body(kept_.body_, kept_.ended_, kept_.whole_);
    if (credit_ > 0 && running()) {
        request_->resume_answer();
    }
}

void guard_attempt::end(attempt_end how) {
    if (over_) {
        return;
    }
    over_ = true;
    deadline_timer_.cancel();
    owner_.on_run_ended(*this, how);
}

}  // namespace dandelionridge::node
