// The state of hedged requests at a caller proxy: the observed response times, what is left of the
// operator's share, and the counts and log lines of copies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "net/event_loop.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/hedging.h"

namespace dandelionridge::node {

// What became of a copy, or why none was sent when it was due.
enum class copy_outcome {
    // The copy's response was the first.
    won,
    // The first attempt's response was the first.
    lost,
    // The first attempt failed, and the request goes on with the copy.
    took_over,
    // The copy's target refused it, or it did not run for another reason.
    refused,
    // The copy ran and failed, or its link was lost.
    failed,
    // The request ended without a response of either.
    abandoned,
    // Not sent: the operator's share is used up.
    over_share,
    // Not sent: the service's retry budget is used up, or requests wait for it.
    over_retry_budget,
    // Not sent: the service is overloaded.
    overload,
    // Not sent: no target may get it.
    no_target,
};

std::string_view to_text(copy_outcome outcome);

class hedging_control {
public:
    hedging_control(net::event_loop& loop, const config::settings& settings,
                    observe::event_log& events);

    // Counts a request to a service towards the operator's share.
    void record_request(const std::string& service);

    // Records that a target of a service refused a request for lack of a free slot.
    void record_slot_refusal(const std::string& service);

    // Records the response time of a first attempt.
    void record_response_time(const std::string& service, const std::string& route,
                              base::duration elapsed);

    // Returns the delay after which a copy of a request is sent; nothing if hedging is off or too
    // few response times are known.
    std::optional<base::duration> delay_of(const std::string& service,
                                           const std::string& route) const;

    bool has_copy(const std::string& service) const;
    void charge_copy(const std::string& service);
    bool is_overloaded(const std::string& service,
                       std::span<const policy::candidate> candidates) const;

    // Counts a copy as sent.
    void count_sent() { ++sent_; }

    // Counts a copy that was due but not sent.
    void count_unsent(copy_outcome cause) { ++outcomes_[cause]; }

    // Counts a response or run of a loser that was cancelled.
    void count_cut() { ++cut_; }

    // Counts what became of a copy, and records it as an event, a bounded number per second.
    void record_copy(copy_outcome outcome, std::vector<observe::event_field> fields);

    // Returns the number of copies by what became of them, with those sent and the losers that were
    // cancelled.
    observe::labelled_counter copies() const;

private:
    struct kind_state {
        policy::response_times times_;
        base::instant used_at_{};
    };

    net::event_loop& loop_;
    const config::settings& settings_;
    observe::event_log& events_;
    // Keyed by service.
    std::map<std::string, policy::hedging_budget> budgets_;
    // Keyed by service and route.
    std::map<std::pair<std::string, std::string>, kind_state> kinds_;
    std::map<copy_outcome, std::uint64_t> outcomes_;
    std::uint64_t sent_ = 0;
    std::uint64_t cut_ = 0;
    base::instant second_began_at_{};
    std::size_t recorded_in_second_ = 0;
    std::size_t dropped_ = 0;
};

}  // namespace dandelionridge::node
