#include "node/guard_attempt.h"

#include <utility>

#include "net/http_wire.h"
#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_misdirected = 421;

// Longest time that a target may send nothing in the middle of an answer that is passed on.
constexpr base::duration progress_bound = base::seconds(10);

// Longest time that an entry may take no more of an answer: its caller does not read.
constexpr base::duration stalled_entry_bound = base::seconds(60);

// A kept connection is taken for a request that must not run twice only if it answered this short
// a while ago: where the target closes it meanwhile, nobody can tell whether the request ran.
constexpr base::duration fresh_for_non_idempotent = base::milliseconds(1500);
constexpr base::duration fresh_for_idempotent = base::seconds(5);

}  // namespace

guard_attempt::guard_attempt(net::event_loop& loop, guard_attempt_owner& owner,
                             const config::header_policy& headers, policy::ledger_key key,
                             wire::attempt_begin begin)
    : loop_(loop),
      owner_(owner),
      headers_(headers),
      key_(key),
      begin_(std::move(begin)),
      deadline_(loop.clock().now() + base::milliseconds(begin_.deadline_ms)),
      deadline_timer_(loop) {
    body_ended_ = !has_body();
    expire_after(base::milliseconds(begin_.deadline_ms));
}

bool guard_attempt::has_body() const {
    return begin_.chunked_body || (begin_.__isset.body_length && begin_.body_length > 0);
}

void guard_attempt::expire_after(base::duration bound) {
    deadline_timer_.start(bound, [this] {
        if (!running()) {
            owner_.on_wait_expired(*this);
            return;
        }
        request_.reset();
        end(attempt_end::timed_out);
    });
}

bool guard_attempt::expired() const {
    return loop_.clock().now() >= deadline_;
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
    const auto add = [&](const std::string& name, std::string value) {
        if (!name.empty() && !value.empty()) {
            request.headers_.push_back({name, std::move(value)});
        }
    };
    const auto left = base::whole_ms(deadline_ - loop_.clock().now());
    add("x-request-id", begin_.request_id);
    add(headers_.deadline_, std::to_string(left));
    add(headers_.organisation_, begin_.organisation);
    add(headers_.caller_service_, begin_.caller_service);
    add(headers_.expected_target_, begin_.target_name);
    request.chunked_ = begin_.chunked_body;
    if (begin_.__isset.body_length) {
        request.body_length_ = static_cast<std::uint64_t>(begin_.body_length);
    }
    return request;
}

void guard_attempt::run(net::http_client_pool& pool) {
    pool_ = &pool;
    began_run_at_ = loop_.clock().now();
    start(pool, begin_.idempotent ? fresh_for_idempotent : fresh_for_non_idempotent);
}

void guard_attempt::start(net::http_client_pool& pool, base::duration freshness) {
    request_ = pool.start(make_request(), freshness, *this);
    if (has_body() && (body_ended_ || !early_body_.empty())) {
        request_->send_body(std::exchange(early_body_, {}), body_ended_);
    }
}

// A kept connection that the target had dropped meanwhile: a request without a body that may run
// twice, or that never left, goes out once more on a new connection.
bool guard_attempt::start_again(net::client_failure failure) {
    const bool safe = failure == net::client_failure::never_sent || begin_.idempotent;
    if (!request_->reused() || started_again_ || !safe || has_body()) {
        return false;
    }
    started_again_ = true;
    loop_.defer([ended = std::shared_ptr<net::http_client_request>(std::move(request_))] {});
    start(*pool_, base::duration(-1));
    return true;
}

void guard_attempt::cancel() {
    request_.reset();
    end(attempt_end::cancelled);
}

void guard_attempt::retire() {
    over_ = true;
    deadline_timer_.cancel();
}

void guard_attempt::on_request_body(const wire::body_part& part) {
    body_ended_ = body_ended_ || part.last;
    if (running()) {
        request_->send_body(part.bytes, part.last);
    } else if (!over_) {
        early_body_ += part.bytes;
    }
}

void guard_attempt::on_request_sent(std::size_t bytes) {
    if (!has_body()) {
        return;
    }
    wire::frame frame;
    frame.__isset.credit_ = true;
    frame.credit_.attempt = to_wire(key_.attempt_);
    frame.credit_.bytes = static_cast<std::int32_t>(bytes);
    owner_.send_to_entry(*this, frame);
}

void guard_attempt::on_credit(std::int32_t bytes) {
    credit_ += bytes;
    if (credit_ > 0 && running() && kept_.streaming_) {
        request_->resume_answer();
        expire_after(progress_bound);
    }
}

void guard_attempt::on_answer(const net::http_answer& answer) {
    kept_.headed_ = true;
    kept_.head_.attempt = to_wire(key_.attempt_);
    kept_.head_.status = answer.status_;
    for (const net::http_header& header : answer.headers_) {
        if (net::is_hop_header(header.name_) || header.name_ == "content-length") {
            continue;
        }
        wire::header_field field;
        field.name = header.name_;
        field.value = header.value_;
        kept_.head_.headers.push_back(std::move(field));
    }
    if (answer.length_) {
        kept_.head_.__set_length(static_cast<std::int64_t>(*answer.length_));
    }
}

void guard_attempt::send_head() {
    kept_.head_.__set_report(owner_.report_of(*this));
    wire::frame frame;
    frame.__isset.head_ = true;
    frame.head_ = kept_.head_;
    owner_.send_to_entry(*this, frame);
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

// The answer is too long to be collected: from here on it is passed on.
void guard_attempt::begin_streaming() {
    kept_.streaming_ = true;
    kept_.overflown_ = true;
    send_head();
    send_body(std::exchange(kept_.body_, {}), false, true);
    credit_ = answer_window;
    expire_after(progress_bound);
}

void guard_attempt::on_answer_body(std::string_view bytes) {
    if (!kept_.streaming_) {
        kept_.body_ += bytes;
        if (kept_.body_.size() > longest_collected_answer && !lacks_seal()) {
            begin_streaming();
        }
        return;
    }
    credit_ -= static_cast<std::int64_t>(bytes.size());
    if (credit_ <= 0) {
        request_->pause_answer();
        expire_after(stalled_entry_bound);
    } else {
        expire_after(progress_bound);
    }
    send_body(bytes, false, true);
}

bool guard_attempt::lacks_seal() const {
    const int status = kept_.head_.status;
    if (headers_.seal_.empty() || status < status_ok || status >= status_redirect) {
        return false;
    }
    for (const wire::header_field& field : kept_.head_.headers) {
        if (field.name == headers_.seal_) {
            return false;
        }
    }
    return true;
}

bool guard_attempt::says_not_run() const {
    if (headers_.not_run_.empty()) {
        return false;
    }
    if (kept_.head_.status == status_misdirected && !headers_.expected_target_.empty()) {
        return true;
    }
    for (const wire::header_field& field : kept_.head_.headers) {
        if (field.name == headers_.not_run_) {
            return true;
        }
    }
    return false;
}

void guard_attempt::send_collected() {
    if (!kept_.head_.__isset.length && begin_.method != "HEAD") {
        kept_.head_.__set_length(static_cast<std::int64_t>(kept_.body_.size()));
    }
    send_head();
    send_body(kept_.body_, true, true);
}

void guard_attempt::on_end(bool whole) {
    kept_.ended_ = true;
    kept_.whole_ = whole;
    if (kept_.streaming_) {
        send_body({}, true, whole);
        end(attempt_end::answered);
        return;
    }
    if (says_not_run()) {
        end(attempt_end::not_run);
        return;
    }
    if (!whole || lacks_seal()) {
        end(attempt_end::broken);
        return;
    }
    end(attempt_end::answered);
}

void guard_attempt::on_failed(net::client_failure failure) {
    if (start_again(failure)) {
        return;
    }
    end(failure == net::client_failure::never_sent ? attempt_end::not_run : attempt_end::broken);
}

bool guard_attempt::resend_answer() {
    const bool at_hand = kept_.ended_ && kept_.whole_ && !kept_.overflown_;
    if (at_hand) {
        send_collected();
    }
    return at_hand;
}

void guard_attempt::end(attempt_end how) {
    if (over_) {
        return;
    }
    over_ = true;
    deadline_timer_.cancel();
    // The report that goes with the answer should count this run as over.
    owner_.on_run_ended(*this, how);
    if (how == attempt_end::answered && !kept_.streaming_) {
        send_collected();
    }
}

}  // namespace dandelionridge::node
