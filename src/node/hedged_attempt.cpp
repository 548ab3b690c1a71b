#include "node/hedged_attempt.h"

#include <utility>

namespace dandelionridge::node {

namespace {

constexpr int min_server_error_status = 500;

}  // namespace

hedged_attempt::hedged_attempt(peer_link& link, std::string target, std::size_t window,
                               copy_listener& listener)
    : link_(link), target_(std::move(target)), window_(window), listener_(listener) {}

void hedged_attempt::start(wire::attempt_begin begin) {
    link_.start(std::move(begin), *this);
}

void hedged_attempt::cancel() {
    link_.cancel(*this);
}

void hedged_attempt::hand_over(attempt_events& events) {
    link_.replace_listener(*this, events);
}

void hedged_attempt::on_written(policy::attempt_id attempt) {
    id_ = attempt;
    written_ = true;
}

void hedged_attempt::on_response_head(const wire::answer_head& head) {
    if (head.status < min_server_error_status) {
        listener_.on_copy_response(head);
        return;
    }
    if (head.__isset.report) {
        listener_.on_copy_report(head.report);
    }
    // A body without a known length could be longer than the window, beyond which the target would
    // wait for credit while it holds its slot.
    if (!head.__isset.length || static_cast<std::size_t>(head.length) > window_) {
        cancel();
        listener_.on_copy_ended(copy_end::server_error);
        return;
    }
    failure_ = server_error{head, {}};
}

void hedged_attempt::on_response_body(const wire::body_part& part) {
    if (!failure_) {
        return;
    }
    failure_->body_ += part.bytes;
    if (!part.last) {
        return;
    }
    if (!part.whole) {
        failure_.reset();
    }
    listener_.on_copy_ended(copy_end::server_error);
}

void hedged_attempt::on_credit(std::int32_t /*bytes*/) {}

void hedged_attempt::on_refused(const wire::attempt_refused& refusal) {
    listener_.on_copy_refused(refusal);
    const bool busy = refusal.reason == wire::refusal_reason::target_busy ||
                      refusal.reason == wire::refusal_reason::overload;
    listener_.on_copy_ended(busy ? copy_end::target_busy : copy_end::not_run);
}

void hedged_attempt::on_failed(const wire::attempt_failed& failure) {
    if (failure.__isset.report) {
        listener_.on_copy_report(failure.report);
    }
    failure_.reset();
    listener_.on_copy_ended(copy_end::failed);
}

void hedged_attempt::on_not_run() {
    listener_.on_copy_ended(copy_end::not_run);
}

void hedged_attempt::on_not_sent() {
    listener_.on_copy_ended(copy_end::not_run);
}

void hedged_attempt::on_in_doubt(link_loss /*loss*/) {
    failure_.reset();
    cancel();
    listener_.on_copy_ended(copy_end::failed);
}

void hedged_attempt::on_response_expected() {}

void hedged_attempt::on_unknown() {
    failure_.reset();
    listener_.on_copy_ended(copy_end::failed);
}

}  // namespace dandelionridge::node
