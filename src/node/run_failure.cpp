#include "node/run_failure.h"

#include <utility>

namespace dandelionridge::node {

namespace {

constexpr std::size_t max_kept_failures = 4;

std::string describe(const run_failure& failure) {
    std::string text = failure.request_id_ + " " + std::string(to_text(failure.cause_)) +
                       " after " + std::to_string(base::whole_ms(failure.run_duration_)) + " ms";
    if (failure.since_failed_call_ != base::duration::max()) {
        text += ", a call failed " + std::to_string(base::whole_ms(failure.since_failed_call_)) +
                " ms before";
    }
    return text;
}

}  // namespace

std::string_view to_text(run_failure_cause cause) {
    switch (cause) {
        case run_failure_cause::server_error:
            return "server_error";
        case run_failure_cause::invalid_response:
            return "invalid_response";
        case run_failure_cause::ended_overdue:
            return "ended_overdue";
        case run_failure_cause::overdue:
            break;
    }
    return "overdue";
}

void run_failures::add(run_failure failure) {
    failures_.push_back(std::move(failure));
    if (failures_.size() > max_kept_failures) {
        failures_.pop_front();
    }
}

std::string run_failures::to_text() const {
    std::string text;
    for (const run_failure& failure : failures_) {
        text += (text.empty() ? "" : "; ") + describe(failure);
    }
    return text;
}

}  // namespace dandelionridge::node
