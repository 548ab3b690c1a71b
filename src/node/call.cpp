#include "node/call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "filter/chain.h"
#include "filter/header_list.h"
#include "node/guard_attempt.h"

namespace dandelionridge::node {

namespace {

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr base::duration short_retry = base::seconds(1);
constexpr std::uint64_t credit_step = 32 * 1024;
constexpr base::duration longest_quota_wait = base::milliseconds(500);

std::string request_id_of(const net::http_request& request, base::random_engine& random) {
    constexpr std::size_t longest = 128;
    const std::string* given = net::find_header(request.headers_, "x-request-id");
    return given != nullptr && given->size() <= longest ? *given : base::random_token(random);
}

filter::reason to_reason(wire::refusal_reason reason) {
    switch (reason) {
        case wire::refusal_reason::key_withdrawn:
            return filter::reason::key_invalid;
        case wire::refusal_reason::configuration_stale:
        case wire::refusal_reason::configuration_lag:
            return filter::reason::configuration_stale;
        case wire::refusal_reason::deadline:
            return filter::reason::deadline;
        case wire::refusal_reason::overload:
        case wire::refusal_reason::target_busy:
            return filter::reason::overload;
        default:
            return filter::reason::no_target;
    }
}

}  // namespace

call::call(entry& owner, net::http_exchange& exchange, net::http_request request)
    : owner_(owner),
      exchange_(exchange),
      request_id_(request_id_of(request, owner.random_)),
      began_(owner.loop_.clock().now()),
      deadline_timer_(owner.loop_) {
    context_.rules_ = owner.configuration_.rules();
    context_.request_ = std::move(request);
    context_.confirmed_age_ = owner.identity_.freshness_age_();
    context_.freshness_bound_ = owner.settings_.freshness_bound_;
    owner_.metrics_.count_request();
    begin();
}

call::~call() {
    owner_.quota_.withdraw(*this);
    leave_attempt();
}

void call::begin() {
    if (!owner_.taking()) {
        refuse(
            {status_unavailable, filter::outcome::not_run, filter::reason::stopping, short_retry});
        return;
    }
    if (!owner_.identity_.settled_()) {
        refuse(
            {status_unavailable, filter::outcome::not_run, filter::reason::starting, short_retry});
        return;
    }
    if (const filter::verdict refused = filter::run_chain(context_)) {
        refuse(*refused);
        return;
    }
    deadline_ = began_ + context_.service_->timeout_;
    deadline_timer_.start(context_.service_->timeout_, [this] { on_deadline(); });
    policy::earn_retry(owner_.retries_);
    if (context_.organisation_.empty()) {
        on_admitted();
        return;
    }
    const base::duration patience = std::min(longest_quota_wait, context_.service_->timeout_ / 2);
    owner_.quota_.admit(context_.organisation_, patience, *this);
}

void call::on_admitted() {
    start_attempt();
}

void call::on_over_rate(base::duration retry_after) {
    refuse({status_too_many, filter::outcome::not_run, filter::reason::over_rate, retry_after});
}

void call::on_no_owner() {
    refuse({status_unavailable, filter::outcome::not_run, filter::reason::quota_unavailable,
            short_retry});
}

base::duration call::time_left() const {
    return deadline_ - owner_.loop_.clock().now();
}

void call::start_attempt() {
    const auto chosen = owner_.choose(context_.service_->name_, tried_);
    if (!chosen) {
        if (head_sent_) {
            break_answer();
        } else if (maybe_ran_) {
            refuse_unknown(filter::reason::target_failed);
        } else {
            refuse_not_run(filter::reason::no_target);
        }
        return;
    }
    ++attempts_;
    tried_.insert(chosen->target_->name_);
    attempt_ = std::make_unique<current_attempt>();
    attempt_->link_ = &owner_.links_.to(*chosen->host_);
    attempt_->target_ = chosen->target_->name_;
    ++owner_.in_flight_[attempt_->target_];
    guard_link& link = *attempt_->link_;
    link.start(describe(*chosen->target_), *this);
}

wire::attempt_begin call::describe(const config::target_entry& target) const {
    wire::attempt_begin begin;
    begin.request_id = request_id_;
    begin.organisation = context_.organisation_;
    begin.key_id = context_.key_id_;
    begin.rules_version = context_.rules_->version_;
    begin.service_name = context_.service_->name_;
    begin.target_name = target.name_;
    begin.method = context_.request_.method_;
    begin.path = context_.request_.path_;
    begin.deadline_ms = static_cast<std::int32_t>(base::whole_ms(time_left()));
    begin.idempotent = context_.idempotent_;
    if (context_.request_.body_length_) {
        begin.__set_body_length(static_cast<std::int64_t>(*context_.request_.body_length_));
    }
    const auto pass = [&](const std::string& name) {
        if (const std::string* value = net::find_header(context_.request_.headers_, name)) {
            wire::header_field field;
            field.name = name;
            field.value = *value;
            begin.headers.push_back(std::move(field));
        }
    };
    std::for_each(filter::request_headers().begin(), filter::request_headers().end(), pass);
    std::for_each(context_.service_->headers_.begin(), context_.service_->headers_.end(), pass);
    if (resuming_) {
        const auto add = [&](const char* name, const std::string& value) {
            wire::header_field field;
            field.name = name;
            field.value = value;
            begin.headers.push_back(std::move(field));
        };
        add("range", "bytes=" + std::to_string(forwarded_) + "-");
        add("if-range", resumable_etag_);
    }
    wire::header_field host;
    host.name = "host";
    host.value = context_.request_.host_;
    begin.headers.push_back(std::move(host));
    return begin;
}

// Forgets the attempt under way; its guard is told to cancel it.
void call::leave_attempt() {
    if (attempt_ == nullptr) {
        return;
    }
    const std::unique_ptr<current_attempt> left = std::move(attempt_);
    left->link_->withdraw(*this);
    int& count = owner_.in_flight_[left->target_];
    if (--count == 0) {
        owner_.in_flight_.erase(left->target_);
    }
}

void call::on_written(policy::attempt_id attempt) {
    attempt_->id_ = attempt;
    attempt_->written_ = true;
    attempt_->credit_ = request_window;
    push_body();
}

bool call::replayable() const {
    return context_.request_.body_length_.value_or(0) <=
               static_cast<std::uint64_t>(request_window) ||
           body_offset_ == 0;
}

std::size_t call::unsent_body() const {
    const std::size_t sent = attempt_ == nullptr ? 0 : attempt_->body_sent_;
    return body_offset_ + body_.size() - sent;
}

void call::on_body(std::string_view bytes) {
    if (over_) {
        return;
    }
    body_ += bytes;
    push_body();
    if (unsent_body() >= static_cast<std::size_t>(request_window) && !body_paused_) {
        body_paused_ = true;
        exchange_.pause_body();
    }
}

void call::on_body_end() {}

void call::push_body() {
    if (attempt_ == nullptr || !attempt_->written_) {
        return;
    }
    while (attempt_->credit_ > 0 && unsent_body() > 0) {
        constexpr std::size_t piece = 16 * 1024;
        const std::size_t count =
            std::min({unsent_body(), piece, static_cast<std::size_t>(attempt_->credit_)});
        const std::size_t from = attempt_->body_sent_ - body_offset_;
        const std::uint64_t end = attempt_->body_sent_ + count;
        const bool last = end == context_.request_.body_length_.value_or(0);
        attempt_->link_->send_body(attempt_->id_, std::string_view(body_).substr(from, count),
                                   last);
        attempt_->body_sent_ += count;
        attempt_->credit_ -= static_cast<std::int64_t>(count);
    }
    const bool kept_whole =
        context_.request_.body_length_.value_or(0) <= static_cast<std::uint64_t>(request_window);
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
    push_body();
}

void call::on_answer_head(const wire::answer_head& head) {
    // A body may take its time as long as it moves; the deadline is for its beginning.
    deadline_timer_.cancel();
    if (head_sent_ && resuming_) {
        if (!continues_answer(head)) {
            leave_attempt();
            break_answer();
        }
        return;
    }
    if (head_sent_) {
        // The answer is sent once more after a lost link: what the caller has is passed over.
        skip_ = forwarded_;
        return;
    }
    note_resumable(head);
    net::http_answer answer;
    answer.status_ = head.status;
    for (const wire::header_field& field : head.headers) {
        answer.headers_.push_back({field.name, field.value});
    }
    answer.headers_.push_back({"x-request-id", request_id_});
    if (head.__isset.length) {
        answer.length_ = static_cast<std::uint64_t>(head.length);
    }
    head_sent_ = true;
    exchange_.send_head(answer);
}

void call::on_answer_body(const wire::body_part& part) {
    std::string_view bytes = part.bytes;
    const std::uint64_t skipped = std::min<std::uint64_t>(skip_, bytes.size());
    skip_ -= skipped;
    bytes.remove_prefix(skipped);
    forwarded_ += bytes.size();
    uncredited_ += bytes.size();
    exchange_.send_body(bytes);
    if (!part.last) {
        return;
    }
    leave_attempt();
    if (!part.whole) {
        resume_or_break();
        return;
    }
    over_ = true;
    owner_.metrics_.count_answer(owner_.loop_.clock().now() - began_);
    exchange_.finish();
}

void call::on_sent(std::size_t bytes) {
    if (attempt_ == nullptr || !attempt_->written_) {
        return;
    }
    // What has left the buffer may be replaced; framing of chunks is not counted.
    const std::uint64_t free = std::min<std::uint64_t>(uncredited_, bytes);
    credit_due_ += free;
    uncredited_ -= free;
    if (credit_due_ >= credit_step) {
        attempt_->link_->send_credit(attempt_->id_, static_cast<std::int32_t>(credit_due_));
        credit_due_ = 0;
    }
}

void call::on_refused(const wire::attempt_refused& refusal) {
    if (refusal.reason == wire::refusal_reason::draining) {
        owner_.set_draining(attempt_->link_->peer());
    }
    attempt_ended(policy::attempt_outcome::not_run, to_reason(refusal.reason));
}

void call::on_failed(const wire::attempt_failed& failure) {
    const bool lost = failure.reason == wire::failure_reason::answer_lost;
    attempt_ended(policy::attempt_outcome::unknown,
                  lost ? filter::reason::answer_lost : filter::reason::target_failed);
}

void call::on_not_run() {
    attempt_ended(policy::attempt_outcome::not_run, filter::reason::no_target);
}

void call::on_unknown() {
    attempt_ended(policy::attempt_outcome::unknown, filter::reason::answer_lost);
}

void call::on_in_doubt() {
    if (head_sent_ && context_.idempotent_) {
        leave_attempt();
        resume_or_break();
        return;
    }
    if (!head_sent_) {
        attempt_ended(policy::attempt_outcome::in_doubt, filter::reason::answer_lost);
        return;
    }
    // The guard is asked for the rest, but not for ever.
    deadline_timer_.start(context_.service_->timeout_, [this] { on_deadline(); });
}

void call::attempt_ended(policy::attempt_outcome outcome, filter::reason why) {
    if (head_sent_) {
        leave_attempt();
        resume_or_break();
        return;
    }
    policy::retry_question question;
    question.outcome_ = outcome;
    question.idempotent_ = context_.idempotent_;
    question.replayable_ = replayable();
    question.attempts_ = attempts_;
    question.maybe_ran_before_ = maybe_ran_;
    question.other_target_ = owner_.choose(context_.service_->name_, tried_).has_value();
    question.time_left_ = time_left();
    switch (policy::decide_retry(owner_.retries_, question)) {
        case policy::retry_decision::retry:
            maybe_ran_ = maybe_ran_ || outcome != policy::attempt_outcome::not_run;
            leave_attempt();
            owner_.metrics_.count_retry();
            start_attempt();
            return;
        case policy::retry_decision::wait:
            return;
        case policy::retry_decision::refuse_not_run:
            leave_attempt();
            refuse_not_run(why);
            return;
        case policy::retry_decision::refuse_unknown:
            leave_attempt();
            refuse_unknown(why);
            return;
    }
}

void call::on_deadline() {
    const bool written = attempt_ != nullptr && attempt_->written_;
    leave_attempt();
    owner_.quota_.withdraw(*this);
    if (head_sent_) {
        break_answer();
    } else if (written || maybe_ran_) {
        refuse_unknown(filter::reason::deadline);
    } else {
        refuse_not_run(filter::reason::deadline);
    }
}

void call::refuse_not_run(filter::reason why) {
    const int status = why == filter::reason::key_invalid ? 401 : status_unavailable;
    refuse({status, filter::outcome::not_run, why, short_retry});
}

void call::refuse_unknown(filter::reason why) {
    refuse({status_gateway_timeout, filter::outcome::unknown, why, {}});
}

void call::refuse(const filter::refusal& refusal) {
    over_ = true;
    deadline_timer_.cancel();
    owner_.metrics_.count_refusal(std::string(filter::to_text(refusal.outcome_)),
                                  std::string(filter::to_text(refusal.reason_)));
    net::http_answer answer;
    answer.status_ = refusal.status_;
    answer.headers_ = {
        {"content-type", "application/json"},
        {"x-dandelionridge-outcome", std::string(filter::to_text(refusal.outcome_))},
        {"x-dandelionridge-reason", std::string(filter::to_text(refusal.reason_))},
        {"x-request-id", request_id_},
    };
    if (refusal.retry_after_ > base::duration::zero()) {
        const auto whole_seconds = (base::whole_ms(refusal.retry_after_) + 999) / 1000;
        answer.headers_.push_back({"retry-after", std::to_string(whole_seconds)});
    }
    const nlohmann::json body = {
        {"outcome", filter::to_text(refusal.outcome_)},
        {"reason", filter::to_text(refusal.reason_)},
        {"remedy", filter::remedy_of(refusal.reason_)},
        {"request_id", request_id_},
    };
    net::send_answer(exchange_, std::move(answer), body.dump() + "\n");
}

// Remembers whether another target can continue the answer if this one breaks off.
void call::note_resumable(const wire::answer_head& head) {
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
            answer_length_ = static_cast<std::uint64_t>(head.length);
        }
    }
}

// True if the head belongs to the rest of the very answer that broke off.
bool call::continues_answer(const wire::answer_head& head) const {
    constexpr int status_partial = 206;
    const std::string expected = "bytes " + std::to_string(forwarded_) + "-" +
                                 std::to_string(answer_length_ - 1) + "/" +
                                 std::to_string(answer_length_);
    bool same_etag = false;
    bool same_range = false;
    for (const wire::header_field& field : head.headers) {
        same_etag = same_etag || (field.name == "etag" && field.value == resumable_etag_);
        same_range = same_range || (field.name == "content-range" && field.value == expected);
    }
    return head.status == status_partial && same_etag && same_range;
}

// Fetches the rest from another target if it surely is the same, or breaks the answer off.
void call::resume_or_break() {
    const bool possible = !resumable_etag_.empty() && attempts_ < policy::most_attempts &&
                          forwarded_ < answer_length_ &&
                          owner_.choose(context_.service_->name_, tried_).has_value();
    if (!possible) {
        break_answer();
        return;
    }
    resuming_ = true;
    deadline_ = owner_.loop_.clock().now() + context_.service_->timeout_;
    owner_.metrics_.count_retry();
    start_attempt();
}

// The caller has part of an answer that will never be whole: the break must be seen.
void call::break_answer() {
    over_ = true;
    owner_.metrics_.count_broken_answer();
    exchange_.abort();
}

}  // namespace dandelionridge::node
