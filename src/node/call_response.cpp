// How a call responds to its caller: with a target's response, forwarded and, if it breaks off,
// continued from another target, or with a refusal.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "filter/forwarded_headers.h"
#include "node/call.h"
#include "node/reported_state.h"
#include "observe/json_output.h"
#include "policy/retry_after.h"

namespace dandelionridge::node {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int min_error_status = 400;
constexpr int min_server_error_status = 500;
// Credit is sent to the target proxy once at least this part of the window is due.
constexpr std::uint64_t credit_step_divisor = 8;

// Formats a time in seconds with three decimal places, at least 0.001.
std::string seconds_text(base::duration value) {
    const std::int64_t ms = std::max<std::int64_t>(1, base::whole_ms(value));
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + "." + fraction;
}

}  // namespace

void call::on_response_head(const wire::answer_head& head) {
    resolution_timer_.cancel();
    stop_awaiting_budget();
    attempt_->in_doubt_ = false;
    if (head.__isset.report) {
        owner_.record_report(head.report);
    }
    if (reports_leaving(owner_.dependencies_.headers_, head.headers)) {
        owner_.record_departure(attempt_->target_, attempt_->target_started_ms_);
    }
    if (head_sent_ && resuming_) {
        if (!continues_response(head)) {
            exclude_target();
            abort_response();
        }
        return;
    }
    if (head_sent_) {
        // The response is resent after a lost link: the bytes that the caller has are skipped.
        skip_bytes_ = forwarded_bytes_;
        start_rest_timer();
        return;
    }
    // After a lost link a failure that was received in part is sent again.
    incoming_failure_.reset();
    if (head.status >= min_server_error_status && context_.idempotent_ &&
        claim_whole_failure(head)) {
        incoming_failure_ = held_failure{head, {}, attempt_->target_};
        return;
    }
    if (head.status >= min_server_error_status &&
        continue_with_copy(policy::attempt_outcome::failed, false)) {
        return;
    }
    record_response_time();
    cancel_copy(copy_outcome::lost);
    forward_head(head);
}

// Claims memory for the window of the attempt in progress, beside a failure that is held.
void call::claim_response_window() {
    policy::response_memory& memory = owner_.dependencies_.response_memory_;
    const std::size_t held = held_failure_ ? held_failure_->body_.size() : 0;
    response_claim_.set(attempt_->target_, held);
    response_window_ = policy::response_window(memory, attempt_->target_);
    if (const auto buffer = context_.request_.response_buffer_bytes_) {
        response_window_ = std::min(response_window_, *buffer);
    }
    response_claim_.set(attempt_->target_, held + response_window_);
}

// Raises the window of a response that no longer waits for those before it to the usual size.
void call::widen_response_window() {
    context_.request_.response_buffer_bytes_.reset();
    const std::size_t window_while_waiting = response_window_;
    claim_response_window();
    if (response_window_ > window_while_waiting) {
        attempt_->link_->send_credit(
            attempt_->id_, static_cast<std::int32_t>(response_window_ - window_while_waiting));
    } else {
        // The credit of the smaller window was given already.
        const std::size_t claimed = response_claim_.bytes() - response_window_;
        response_window_ = window_while_waiting;
        response_claim_.set(attempt_->target_, claimed + response_window_);
    }
}

bool call::allows_run_ahead() const {
    return context_.idempotent_ && !has_body();
}

// Lets the target proxy send the whole body of a failure, which is held until a retry has ended.
// Returns false if the target may not claim as much memory: the failure is then forwarded.
bool call::claim_whole_failure(const wire::answer_head& head) {
    const policy::response_memory& memory = owner_.dependencies_.response_memory_;
    const bool has_body = head.__isset.length && context_.request_.method_ != "HEAD";
    const std::size_t length = has_body ? static_cast<std::size_t>(head.length) : 0;
    const std::size_t held = held_failure_ ? held_failure_->body_.size() : 0;
    const std::size_t needed = held + std::max(length, response_window_);
    if (needed <= response_claim_.bytes()) {
        return true;
    }
    const std::size_t missing = needed - response_claim_.bytes();
    if (policy::available_to(memory, attempt_->target_) < missing) {
        return false;
    }
    response_claim_.set(attempt_->target_, needed);
    attempt_->link_->send_credit(attempt_->id_, static_cast<std::int32_t>(missing));
    return true;
}

void call::forward_head(const wire::answer_head& head) {
    // The deadline applies only to the start of the response; a body may take longer as long as it
    // makes progress.
    deadline_timer_.cancel();
    record_resumable(head);
    if (nested_ && head.status >= min_error_status) {
        owner_.dependencies_.on_nested_call_failed_();
    }
    const config::header_policy& headers = owner_.dependencies_.headers_;
    const std::vector<std::string> allowed_headers =
        headers.forward_all_ ? std::vector<std::string>{}
                             : filter::response_headers_for(*context_.service_);
    net::http_response response;
    response.status_ = head.status;
    for (const wire::header_field& field : head.headers) {
        const bool forwarded = headers.forward_all_
                                   ? field.name != net::request_id_header
                                   : std::find(allowed_headers.begin(), allowed_headers.end(),
                                               field.name) != allowed_headers.end();
        if (forwarded) {
            response.headers_.push_back({field.name, field.value});
        }
    }
    response.headers_.push_back({std::string(net::request_id_header), request_id_});
    if (head.__isset.length) {
        response.length_ = static_cast<std::uint64_t>(head.length);
    }
    head_sent_ = true;
    exchange_.send_head(response);
}

void call::on_response_body(const wire::body_part& part) {
    if (incoming_failure_) {
        incoming_failure_->body_ += part.bytes;
        if (part.last) {
            held_failure_ = std::exchange(incoming_failure_, {});
            attempt_ended(policy::attempt_outcome::failed, filter::reason::target_failed);
        }
        return;
    }
    std::string_view bytes = part.bytes;
    const std::uint64_t skipped = std::min<std::uint64_t>(skip_bytes_, bytes.size());
    skip_bytes_ -= skipped;
    bytes.remove_prefix(skipped);
    forwarded_bytes_ += bytes.size();
    unsent_bytes_ += bytes.size();
    exchange_.send_body(bytes);
    if (!part.last) {
        return;
    }
    if (!part.whole) {
        exclude_target();
        resume_or_abort();
        return;
    }
    if (context_.request_.response_buffer_bytes_) {
        // The connection claims what still waits for its turn.
        response_claim_.set(attempt_->target_, 0);
    }
    owner_.locality_.record_response(context_.service_->name_, run_kind(),
                                     static_cast<double>(forwarded_bytes_));
    abandon_attempt();
    finish_response();
}

void call::finish_response() {
    finished_ = true;
    // The caller may take its time to read a response that is whole.
    deadline_timer_.cancel();
    owner_.dependencies_.metrics_.count_response(owner_.dependencies_.loop_.clock().now() -
                                                 started_at_);
    exchange_.finish();
}

// Forwards the target's own failure, because no retry gave a better response.
void call::forward_held_failure() {
    const held_failure failure = std::move(*held_failure_);
    held_failure_.reset();
    record_event("failure_passed_on", failure.target_, time_left());
    forward_head(failure.head_);
    exchange_.send_body(failure.body_);
    finish_response();
}

void call::on_sent(std::size_t bytes) {
    if (attempt_ == nullptr || !attempt_->written_) {
        return;
    }
    if (context_.request_.response_buffer_bytes_) {
        widen_response_window();
    }
    // Credit is given for body bytes that have left the buffer. `bytes` also includes the head and
    // chunk framing, which must not be credited.
    const std::uint64_t sent = std::min<std::uint64_t>(unsent_bytes_, bytes);
    credit_due_ += sent;
    unsent_bytes_ -= sent;
    if (credit_due_ >= response_window_ / credit_step_divisor) {
        attempt_->link_->send_credit(attempt_->id_, static_cast<std::int32_t>(credit_due_));
        credit_due_ = 0;
    }
}

void call::refuse_not_run(filter::reason reason) {
    const base::duration wait =
        min_wait_ == base::duration::max() ? default_retry_after : min_wait_;
    refuse({status_unavailable, filter::outcome::not_run, reason,
            policy::retry_after_delay(wait, time_left(), owner_.random_)});
}

void call::refuse_unknown(filter::reason reason) {
    refuse({status_gateway_timeout, filter::outcome::unknown, reason, {}});
}

void call::refuse(const filter::refusal& refusal) {
    finished_ = true;
    deadline_timer_.cancel();
    resolution_timer_.cancel();
    if (nested_) {
        owner_.dependencies_.on_nested_call_failed_();
    }
    owner_.dependencies_.metrics_.count_refusal(std::string(filter::to_text(refusal.outcome_)),
                                                std::string(filter::to_text(refusal.reason_)));
    record_event(
        "refused",
        std::to_string(refusal.status_) + " " + std::string(filter::to_text(refusal.reason_)),
        {"retry_after_ms", std::to_string(base::whole_ms(refusal.retry_after_))});
    net::http_response response;
    response.status_ = refusal.status_;
    response.headers_ = {
        {"content-type", "application/json"},
        {"x-dandelionridge-outcome", std::string(filter::to_text(refusal.outcome_))},
        {"x-dandelionridge-reason", std::string(filter::to_text(refusal.reason_))},
        {std::string(net::request_id_header), request_id_},
    };
    if (refusal.retry_after_ > base::duration::zero()) {
        const auto whole_seconds = (base::whole_ms(refusal.retry_after_) + 999) / 1000;
        const bool fractional = owner_.dependencies_.headers_.fractional_retry_after_;
        response.headers_.push_back({"retry-after", fractional ? seconds_text(refusal.retry_after_)
                                                               : std::to_string(whole_seconds)});
    }
    const nlohmann::json body = {
        {"outcome", filter::to_text(refusal.outcome_)},
        {"reason", filter::to_text(refusal.reason_)},
        {"remedy", filter::remedy_of(refusal.outcome_, refusal.reason_)},
        {"request_id", request_id_},
    };
    net::send_response(exchange_, std::move(response), observe::json_text(body) + "\n");
}

void call::record_event(const char* kind, const std::string& detail,
                        base::duration time_left) const {
    record_event(kind, detail, {"time_left_ms", std::to_string(base::whole_ms(time_left))});
}

// Records one event for a decision on this request, with one field that belongs to its kind.
void call::record_event(const char* kind, const std::string& detail,
                        observe::event_field field) const {
    const base::duration elapsed = owner_.dependencies_.loop_.clock().now() - started_at_;
    owner_.dependencies_.events_.record(
        owner_.dependencies_.loop_.clock().wall_ms(), kind,
        {{"request", request_id_},
         {"route", context_.route_ == nullptr ? "" : context_.route_->name_},
         {"organisation", context_.organisation_},
         {"detail", detail},
         std::move(field),
         {"elapsed_ms", std::to_string(base::whole_ms(elapsed))},
         {"attempts", std::to_string(attempts_)},
         {"refusals", std::to_string(refusals_)},
         {"rules", std::to_string(context_.rules_->version_)}});
}

// Records whether another target can continue the response if it breaks off: a successful response
// to an idempotent GET of the whole resource, with a length and a strong ETag.
void call::record_resumable(const wire::answer_head& head) {
    constexpr int status_ok = 200;
    const bool has_range = net::find_header(context_.request_.headers_, "range") != nullptr;
    if (context_.request_.method_ != "GET" || !context_.idempotent_ || has_range ||
        head.status != status_ok || !head.__isset.length) {
        return;
    }
    for (const wire::header_field& field : head.headers) {
        // A weak ETag begins with W/.
        if (field.name == "etag" && field.value.starts_with('"')) {
            resumable_etag_ = field.value;
            response_length_ = static_cast<std::uint64_t>(head.length);
        }
    }
}

// Returns true if the head is that of the missing rest of the response that broke off.
bool call::continues_response(const wire::answer_head& head) const {
    constexpr int status_partial = 206;
    const std::string expected = "bytes " + std::to_string(forwarded_bytes_) + "-" +
                                 std::to_string(response_length_ - 1) + "/" +
                                 std::to_string(response_length_);
    bool same_etag = false;
    bool same_range = false;
    for (const wire::header_field& field : head.headers) {
        same_etag = same_etag || (field.name == "etag" && field.value == resumable_etag_);
        same_range = same_range || (field.name == "content-range" && field.value == expected);
    }
    return head.status == status_partial && same_etag && same_range;
}

// Returns true if another target than that of the attempt in progress can continue the response.
bool call::can_resume_elsewhere() const {
    return !resumable_etag_.empty() && replayable() && attempts_ + 1 < context_.route_->attempts_ &&
           forwarded_bytes_ < response_length_ &&
           owner_.choose(context_.service_->name_, criteria(), targets_used(), region_limits())
               .has_value();
}

// Requests the rest of the response from another target if a strong ETag ensures that it is the
// same, or aborts the response.
void call::resume_or_abort() {
    const bool can_resume = !resumable_etag_.empty() && replayable() &&
                            attempts_ < context_.route_->attempts_ &&
                            forwarded_bytes_ < response_length_ && choose().has_value();
    if (!can_resume) {
        abort_response();
        return;
    }
    resuming_ = true;
    deadline_ = owner_.dependencies_.loop_.clock().now() + context_.service_->timeout_;
    owner_.dependencies_.metrics_.count_retry();
    start_attempt();
}

// Breaks the connection, so that the caller sees that the response is incomplete.
void call::abort_response() {
    finished_ = true;
    owner_.dependencies_.metrics_.count_broken_response();
    exchange_.abort();
}

}  // namespace dandelionridge::node
