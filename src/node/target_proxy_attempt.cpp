#include "node/target_proxy_attempt.h"

#include <algorithm>
#include <utility>

#include "net/http_writer.h"
#include "node/wire_attempt.h"
#include "policy/idle_connection.h"

namespace dandelionridge::node {

namespace {

constexpr int status_ok = 200;
constexpr int status_multiple_choices = 300;
constexpr int min_error_status = 400;
constexpr int status_misdirected = 421;

// A target that ends its run at the deadline still gets its own response through in this time.
constexpr base::duration response_margin = base::milliseconds(250);

// Credit of a caller proxy that names no window: it accepts a collected response at once.
constexpr std::int64_t unnamed_window_bytes =
    max_collected_response_bytes + policy::max_response_window_bytes;

}  // namespace

target_proxy_attempt::target_proxy_attempt(net::event_loop& loop, target_proxy_attempt_owner& owner,
                                           const config::header_policy& headers,
                                           policy::response_memory& memory, policy::ledger_key key,
                                           wire::attempt_begin begin)
    : loop_(loop),
      owner_(owner),
      headers_(headers),
      key_(key),
      begin_(std::move(begin)),
      deadline_(loop.clock().now() + base::milliseconds(begin_.deadline_ms)),
      timeout_timer_(loop),
      slot_timer_(loop),
      memory_(memory),
      claim_(memory) {
    request_body_ended_ = !has_request_body();
    response_credit_bytes_ =
        begin_.__isset.response_window ? begin_.response_window : unnamed_window_bytes;
}

void target_proxy_attempt::wait_until(base::instant latest_start) {
    start_timeout(latest_start - loop_.clock().now());
}

bool target_proxy_attempt::has_request_body() const {
    return begin_.chunked_body || (begin_.__isset.body_length && begin_.body_length > 0);
}

void target_proxy_attempt::start_timeout(base::duration timeout) {
    timeout_timer_.start(timeout, [this] {
        if (!running()) {
            owner_.on_wait_expired(*this);
            return;
        }
        request_.reset();
        // A target that has begun a response which nobody reads is not known to be late.
        const bool unread = response_dropped_ && response_.head_received_;
        end(unread ? attempt_result::cancelled : attempt_result::timed_out);
    });
}

void target_proxy_attempt::discard_response() {
    response_discarded_ = true;
    drop_response();
}

// The response is read on at once: while it is not read, the end of the run is not noticed either.
void target_proxy_attempt::drop_response() {
    if (std::exchange(response_dropped_, true)) {
        return;
    }
    std::string().swap(response_.body_);
    sent_bytes_ = 0;
    claim_.set(begin_.target_name, 0);
    awaits_link_ = false;
    reading_paused_ = false;
    if (running()) {
        request_->resume_response();
        start_timeout(std::max<base::duration>(deadline_ + response_margin - loop_.clock().now(),
                                               base::duration::zero()));
    }
}

// A target ends a request at its deadline, which it is told, whether its response was read or not.
void target_proxy_attempt::release_slot_if_paused() {
    const bool past_deadline = loop_.clock().now() >= deadline_ + response_margin;
    if (reading_paused_ && past_deadline && running() && !headers_.deadline_.empty() &&
        !std::exchange(slot_released_, true)) {
        owner_.on_slot_released(*this);
    }
}

bool target_proxy_attempt::expired() const {
    return loop_.clock().now() >= deadline_;
}

net::http_request target_proxy_attempt::make_request() const {
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
    const auto remaining_ms = base::whole_ms(deadline_ - loop_.clock().now());
    add(std::string(net::request_id_header), begin_.request_id);
    add(headers_.deadline_, std::to_string(remaining_ms));
    add(headers_.organisation_, begin_.organisation);
    add(headers_.caller_service_, begin_.caller_service);
    add(headers_.expected_target_, begin_.target_name);
    request.chunked_ = begin_.chunked_body;
    if (begin_.__isset.body_length) {
        request.body_length_ = static_cast<std::uint64_t>(begin_.body_length);
    }
    return request;
}

void target_proxy_attempt::run(net::http_client_pool& pool, base::duration max_idle_time) {
    pool_ = &pool;
    run_started_at_ = loop_.clock().now();
    pauses_at_start_ = loop_.pause_count();
    start_timeout(deadline_ - run_started_at_ + response_margin);
    start(pool, max_idle_time);
}

void target_proxy_attempt::start(net::http_client_pool& pool, base::duration max_idle_time) {
    request_ = pool.start(make_request(), max_idle_time, *this);
    if (has_request_body() && (request_body_ended_ || !unsent_request_body_.empty())) {
        request_->send_body(unsent_request_body_, request_body_ended_);
    }
}

void target_proxy_attempt::cancel() {
    request_.reset();
    end(attempt_result::cancelled);
}

void target_proxy_attempt::retire() {
    finished_ = true;
    timeout_timer_.cancel();
    slot_timer_.cancel();
    claim_.set(begin_.target_name, 0);
}

void target_proxy_attempt::on_request_body(const wire::body_part& part) {
    request_body_ended_ = request_body_ended_ || part.last;
    if (!request_left_host_ && !finished_) {
        unsent_request_body_ += part.bytes;
    }
    if (running()) {
        request_->send_body(part.bytes, part.last);
    }
}

void target_proxy_attempt::on_request_sent(std::size_t bytes) {
    request_left_host_ = true;
    unsent_request_body_ = {};
    if (!has_request_body()) {
        return;
    }
    send_body_credit(static_cast<std::int64_t>(bytes));
}

void target_proxy_attempt::send_body_credit(std::int64_t bytes) {
    wire::frame frame;
    frame.__isset.credit_ = true;
    frame.credit_.attempt = to_wire(key_.attempt_);
    frame.credit_.bytes = static_cast<std::int32_t>(bytes);
    owner_.send_to_caller_proxy(*this, frame);
}

void target_proxy_attempt::on_credit(std::int32_t bytes) {
    response_credit_bytes_ += bytes;
    if (response_.streaming_ || finished_) {
        continue_response();
    }
}

void target_proxy_attempt::on_response(const net::http_response& response) {
    response_.head_received_ = true;
    response_.head_.attempt = to_wire(key_.attempt_);
    response_.head_.status = response.status_;
    for (const net::http_header& header : response.headers_) {
        if (net::is_hop_by_hop_header(header.name_) || header.name_ == "content-length") {
            continue;
        }
        wire::header_field field;
        field.name = header.name_;
        field.value = header.value_;
        response_.head_.headers.push_back(std::move(field));
    }
    if (response.length_) {
        response_.head_.__set_length(static_cast<std::int64_t>(*response.length_));
    }
    owner_.on_target_response(*this, response);
}

// Switches to streaming because the response is too long to be collected, and sends what was
// collected so far.
void target_proxy_attempt::begin_streaming() {
    response_.streaming_ = true;
    slot_timer_.start(deadline_ + response_margin - loop_.clock().now(),
                      [this] { release_slot_if_paused(); });
    send_response_head();
    continue_response();
}

// Without a link, what is streamed would be lost.
void target_proxy_attempt::stream_or_end() {
    if (may_stream() && !response_discarded_ && !owner_.has_link(*this)) {
        awaits_link_ = true;
        request_->pause_response();
        return;
    }
    if (may_stream()) {
        begin_streaming();
        return;
    }
    if (exceeds_memory_share()) {
        owner_.on_memory_short(*this);
    }
    request_->detach();
    end(attempt_result::invalid_response);
}

void target_proxy_attempt::on_later_link() {
    if (std::exchange(awaits_link_, false) && running()) {
        begin_streaming();
    }
}

void target_proxy_attempt::on_response_body(std::string_view bytes) {
    if (response_dropped_) {
        return;
    }
    response_.body_ += bytes;
    if (response_.streaming_) {
        continue_response();
        return;
    }
    update_claim();
    if (response_.body_.size() > max_collected_response_bytes || exceeds_memory_share()) {
        stream_or_end();
    }
}

bool target_proxy_attempt::has_header(std::string_view name) const {
    const std::vector<wire::header_field>& fields = response_.head_.headers;
    return std::any_of(fields.begin(), fields.end(),
                       [&](const wire::header_field& field) { return field.name == name; });
}

bool target_proxy_attempt::lacks_response_proof() const {
    const int status = response_.head_.status;
    const bool successful = status >= status_ok && status < status_multiple_choices;
    return successful && !headers_.response_proof_.empty() && !has_header(headers_.response_proof_);
}

bool target_proxy_attempt::lacks_request_id() const {
    return headers_.echoes_request_id_ && !has_header(net::request_id_header);
}

bool target_proxy_attempt::target_reported_not_run() const {
    if (headers_.not_run_.empty() || lacks_request_id()) {
        return false;
    }
    const bool misdirected =
        response_.head_.status == status_misdirected && !headers_.expected_target_.empty();
    return misdirected || has_header(headers_.not_run_);
}

bool target_proxy_attempt::valid_response() const {
    return response_.complete_ && !lacks_response_proof() && !lacks_request_id() &&
           !target_reported_not_run();
}

// Errors are never streamed: bytes that are no response may go on without end, and an error is
// collected by the caller proxy as well.
bool target_proxy_attempt::may_stream() const {
    return response_.head_.status < min_error_status && !lacks_response_proof() &&
           !lacks_request_id();
}

// Names the length of a collected response that has none.
void target_proxy_attempt::set_response_length() {
    if (!response_.head_.__isset.length && begin_.method != "HEAD") {
        response_.head_.__set_length(static_cast<std::int64_t>(response_.body_.size()));
    }
}

void target_proxy_attempt::on_end(bool complete) {
    response_.ended_ = true;
    response_.complete_ = complete;
    if (response_.streaming_) {
        end(attempt_result::responded);
        return;
    }
    if (target_reported_not_run()) {
        end(attempt_result::not_run);
        return;
    }
    end(valid_response() ? attempt_result::responded : attempt_result::invalid_response);
}

// A request that may have arrived is not sent again from here: the caller proxy decides that,
// within its retry budget.
void target_proxy_attempt::on_failed(net::client_failure failure) {
    const auto idle_time = request_->idle_time();
    const bool dropped = idle_time && policy::was_dropped_while_idle(*idle_time);
    if (dropped) {
        owner_.on_connection_dropped(*this, *idle_time);
    }
    if (failure == net::client_failure::maybe_sent) {
        end(dropped ? attempt_result::connection_lost : attempt_result::invalid_response);
        return;
    }
    if (!idle_time || expired()) {
        end(attempt_result::not_run);
        return;
    }
    // Nothing of the request has left this host, so all of it goes out on a new connection.
    loop_.defer([old = std::shared_ptr<net::http_client_request>(std::move(request_))] {});
    start(*pool_, base::duration(-1));
}

void target_proxy_attempt::end(attempt_result result) {
    if (finished_) {
        return;
    }
    finished_ = true;
    timeout_timer_.cancel();
    slot_timer_.cancel();
    // Called before the response is sent, so that the report sent with it counts this run as ended.
    owner_.on_run_ended(*this, result);
    if (result != attempt_result::responded) {
        return;
    }
    if (!response_.streaming_ && !response_dropped_) {
        set_response_length();
        send_response_head();
    }
    continue_response();
}

}  // namespace dandelionridge::node
