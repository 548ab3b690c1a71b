#include "node/hedging_control.h"

namespace dandelionridge::node {

namespace {

// Number of copies that are recorded as events per second and process. The next event after
// dropped ones says how many they were.
constexpr std::size_t max_copy_events_per_second = 50;

// Time after which the response times of a route without requests are removed.
constexpr base::duration kind_retention = base::seconds(600);

}  // namespace

std::string_view to_text(copy_outcome outcome) {
    switch (outcome) {
        case copy_outcome::won:
            return "won";
        case copy_outcome::lost:
            return "lost";
        case copy_outcome::took_over:
            return "took_over";
        case copy_outcome::refused:
            return "refused";
        case copy_outcome::failed:
            return "failed";
        case copy_outcome::abandoned:
            return "abandoned";
        case copy_outcome::over_share:
            return "over_share";
        case copy_outcome::over_retry_budget:
            return "over_retry_budget";
        case copy_outcome::overload:
            return "overload";
        case copy_outcome::no_target:
            break;
    }
    return "no_target";
}

hedging_control::hedging_control(net::event_loop& loop, const config::settings& settings,
                                 observe::event_log& events)
    : loop_(loop), settings_(settings), events_(events) {}

void hedging_control::record_request(const std::string& service) {
    if (settings_.hedging_max_share_ > 0) {
        policy::credit_request(budgets_[service], settings_.hedging_max_share_);
    }
}

void hedging_control::record_slot_refusal(const std::string& service) {
    if (settings_.hedging_max_share_ > 0) {
        policy::record_slot_refusal(budgets_[service], loop_.clock().now());
    }
}

void hedging_control::record_response_time(const std::string& service, const std::string& route,
                                           base::duration elapsed) {
    if (settings_.hedging_max_share_ <= 0) {
        return;
    }
    const base::instant now = loop_.clock().now();
    const auto [found, added] = kinds_.try_emplace({service, route});
    found->second.used_at_ = now;
    policy::record_response_time(found->second.times_, elapsed, now);
    if (added) {
        std::erase_if(kinds_, [&](const auto& entry) {
            return now - entry.second.used_at_ > kind_retention;
        });
    }
}

std::optional<base::duration> hedging_control::delay_of(const std::string& service,
                                                        const std::string& route) const {
    const auto found = kinds_.find({service, route});
    if (settings_.hedging_max_share_ <= 0 || found == kinds_.end()) {
        return std::nullopt;
    }
    return policy::hedging_delay(found->second.times_, loop_.clock().now());
}

bool hedging_control::has_copy(const std::string& service) const {
    const auto found = budgets_.find(service);
    return found != budgets_.end() && policy::has_copy(found->second, settings_.hedging_max_share_);
}

void hedging_control::charge_copy(const std::string& service) {
    policy::charge_copy(budgets_[service]);
}

bool hedging_control::is_overloaded(const std::string& service,
                                    std::span<const policy::candidate> candidates) const {
    const auto found = budgets_.find(service);
    return policy::is_overloaded(found == budgets_.end() ? policy::hedging_budget{} : found->second,
                                 candidates, loop_.clock().now());
}

void hedging_control::record_copy(copy_outcome outcome, std::vector<observe::event_field> fields) {
    ++outcomes_[outcome];
    const base::instant now = loop_.clock().now();
    if (now - second_began_at_ >= base::seconds(1)) {
        second_began_at_ = now;
        recorded_in_second_ = 0;
    }
    if (recorded_in_second_ >= max_copy_events_per_second) {
        ++dropped_;
        return;
    }
    ++recorded_in_second_;
    fields.push_back({"outcome", std::string(to_text(outcome))});
    if (dropped_ > 0) {
        fields.push_back({"dropped", std::to_string(std::exchange(dropped_, 0))});
    }
    events_.record(loop_.clock().wall_ms(), "hedged", std::move(fields));
}

observe::labelled_counter hedging_control::copies() const {
    observe::labelled_counter counter{
        "dandelionridge_hedged_copies_total",
        "Copies of hedged requests: those sent, what became of them, and why none was sent.",
        "event",
        {{"sent", sent_}, {"cut", cut_}}};
    for (const auto& [outcome, count] : outcomes_) {
        counter.values_.emplace(to_text(outcome), count);
    }
    return counter;
}

}  // namespace dandelionridge::node
