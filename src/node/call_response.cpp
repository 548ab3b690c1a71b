// What a caller gets: a target's answer, passed on or continued from another target, or a refusal.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "filter/forwarded_headers.h"
#include "node/call.h"
#include "policy/retry_after.h"

namespace dandelionridge::node {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_error = 400;
constexpr int first_server_error = 500;
constexpr std::uint64_t credit_step = 32 * 1024;

// Seconds with three places.
std::string seconds_text(base::duration value) {
    const std::int64_t ms = std::max<std::int64_t>(1, base::whole_ms(value));
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + "." + fraction;
}

}  // namespace

void call::on_response_head(const wire::answer_head& head) {
    if (head.__isset.report) {
        owner_.record_report(head.report);
    }
    if (head_sent_ && resuming_) {
        if (!continues_response(head)) {
            exclude_target();
            abort_response();
        }
        return;
    }
    if (head_sent_) {
        // The answer is sent once more after a lost link: what the caller has is passed over.
        skip_bytes_ = forwarded_bytes_;
        return;
    }
    if (head.status >= first_server_error && context_.idempotent_) {
        holding_failure_ = true;
        failure_ = held_failure{head, {}};
        return;
    }
    forward_head(head);
}

void call::forward_head(const wire::answer_head& head) {
    // A body may take its time as long as it moves; the deadline is for its beginning.
    deadline_timer_.cancel();
    record_resumable(head);
    if (nested_ && head.status >= first_error) {
        owner_.dependencies_.on_failed_call_();
    }
    const config::header_policy& headers = owner_.dependencies_.headers_;
    const std::vector<std::string> listed = headers.forward_all_
                                                ? std::vector<std::string>{}
                                                : filter::response_headers_for(*context_.service_);
    net::http_response answer;
    answer.status_ = head.status;
    for (const wire::header_field& field : head.headers) {
        const bool passes = headers.forward_all_ ? field.name != request_id_header
                                                 : std::find(listed.begin(), listed.end(),
                                                             field.name) != listed.end();
        if (passes) {
            answer.headers_.push_back({field.name, field.value});
        }
    }
    answer.headers_.push_back({std::string(request_id_header), request_id_});
    if (head.__isset.length) {
        answer.length_ = static_cast<std::uint64_t>(head.length);
    }
    head_sent_ = true;
    exchange_.send_head(answer);
}

void call::on_response_body(const wire::body_part& part) {
    if (holding_failure_) {
        failure_->body_ += part.bytes;
        if (part.last) {
            holding_failure_ = false;
            attempt_ended(policy::attempt_outcome::failed, filter::reason::target_failed);
        }
        return;
    }
    std::string_view bytes = part.bytes;
    const std::uint64_t skipped = std::min<std::uint64_t>(skip_bytes_, bytes.size());
    skip_bytes_ -= skipped;
    bytes.remove_prefix(skipped);
    forwarded_bytes_ += bytes.size();
    uncredited_bytes_ += bytes.size();
    exchange_.send_body(bytes);
    if (!part.last) {
        return;
    }
    if (!part.whole) {
        exclude_target();
        resume_or_abort();
        return;
    }
    abandon_attempt();
    finish_response();
}

void call::finish_response() {
    finished_ = true;
    owner_.dependencies_.metrics_.count_response(owner_.dependencies_.loop_.clock().now() - began_);
    exchange_.finish();
}

// No attempt did better than the target's own failure.
void call::forward_held_failure() {
    const held_failure failure = std::move(*failure_);
    failure_.reset();
    record("failure_passed_on", context_.service_->name_, time_left());
    forward_head(failure.head_);
    exchange_.send_body(failure.body_);
    finish_response();
}

void call::on_sent(std::size_t bytes) {
    if (attempt_ == nullptr || !attempt_->written_) {
        return;
    }
    // What has left the buffer may be replaced; framing of chunks is not counted.
    const std::uint64_t free = std::min<std::uint64_t>(uncredited_bytes_, bytes);
    credit_due_ += free;
    uncredited_bytes_ -= free;
    if (credit_due_ >= credit_step) {
        attempt_->link_->send_credit(attempt_->id_, static_cast<std::int32_t>(credit_due_));
        credit_due_ = 0;
    }
}

void call::refuse_not_run(filter::reason why) {
    const int status =
        why == filter::reason::key_invalid ? status_unauthorized : status_unavailable;
    const base::duration wait = min_wait_ == base::duration::max() ? short_retry_delay : min_wait_;
    refuse({status, filter::outcome::not_run, why,
            policy::retry_after_delay(wait, time_left(), owner_.random_)});
}

void call::refuse_unknown(filter::reason why) {
    refuse({status_gateway_timeout, filter::outcome::unknown, why, {}});
}

void call::refuse(const filter::refusal& refusal) {
    finished_ = true;
    deadline_timer_.cancel();
    if (nested_) {
        owner_.dependencies_.on_failed_call_();
    }
    owner_.dependencies_.metrics_.count_refusal(std::string(filter::to_text(refusal.outcome_)),
                                                std::string(filter::to_text(refusal.reason_)));
    record("refused",
           std::to_string(refusal.status_) + " " + std::string(filter::to_text(refusal.reason_)),
           refusal.retry_after_);
    net::http_response answer;
    answer.status_ = refusal.status_;
    answer.headers_ = {
        {"content-type", "application/json"},
        {"x-dandelionridge-outcome", std::string(filter::to_text(refusal.outcome_))},
        {"x-dandelionridge-reason", std::string(filter::to_text(refusal.reason_))},
        {std::string(request_id_header), request_id_},
    };
    if (refusal.retry_after_ > base::duration::zero()) {
        const auto whole_seconds = (base::whole_ms(refusal.retry_after_) + 999) / 1000;
        const bool fractions = owner_.dependencies_.headers_.fractional_retry_after_;
        answer.headers_.push_back({"retry-after", fractions ? seconds_text(refusal.retry_after_)
                                                            : std::to_string(whole_seconds)});
    }
    const nlohmann::json body = {
        {"outcome", filter::to_text(refusal.outcome_)},
        {"reason", filter::to_text(refusal.reason_)},
        {"remedy", filter::remedy_of(refusal.reason_)},
        {"request_id", request_id_},
    };
    net::send_response(exchange_, std::move(answer), body.dump() + "\n");
}

// One line a decision on this request.
void call::record(const char* kind, const std::string& detail, base::duration number) const {
    const base::duration age = owner_.dependencies_.loop_.clock().now() - began_;
    owner_.dependencies_.events_.record(
        owner_.dependencies_.loop_.clock().wall_ms(), kind,
        {{"request", request_id_},
         {"route", context_.route_ == nullptr ? "" : context_.route_->name_},
         {"organisation", context_.organisation_},
         {"detail", detail},
         {"ms", std::to_string(base::whole_ms(number))},
         {"age_ms", std::to_string(base::whole_ms(age))},
         {"attempts", std::to_string(attempts_)},
         {"refusals", std::to_string(refusals_)},
         {"rules", std::to_string(context_.rules_->version_)}});
}

// Remembers whether another target can continue the answer if this one breaks off.
void call::record_resumable(const wire::answer_head& head) {
    constexpr int status_ok = 200;
    const bool ranged = net::find_header(context_.request_.headers_, "range") != nullptr;
    if (context_.request_.method_ != "GET" || !context_.idempotent_ || ranged ||
        head.status != status_ok || !head.__isset.length) {
        return;
    }
    for (const wire::header_field& field : head.headers) {
        // A weak one begins with W/.
        if (field.name == "etag" && field.value.starts_with('"')) {
            resumable_etag_ = field.value;
            response_length_ = static_cast<std::uint64_t>(head.length);
        }
    }
}

// True if the head belongs to the rest of the very answer that broke off.
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

// Fetches the rest from another target if it surely is the same, or breaks the answer off.
void call::resume_or_abort() {
    const bool possible = !resumable_etag_.empty() && attempts_ < context_.route_->attempts_ &&
                          forwarded_bytes_ < response_length_ && choose().has_value();
    if (!possible) {
        abort_response();
        return;
    }
    resuming_ = true;
    deadline_ = owner_.dependencies_.loop_.clock().now() + context_.service_->timeout_;
    owner_.dependencies_.metrics_.count_retry();
    start_attempt();
}

// The caller has part of an answer that will never be whole: the break must be seen.
void call::abort_response() {
    finished_ = true;
    owner_.dependencies_.metrics_.count_broken_response();
    exchange_.abort();
}

}  // namespace dandelionridge::node
