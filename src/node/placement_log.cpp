#include "node/placement_log.h"

#include <utility>

namespace dandelionridge::node {

namespace {

constexpr base::duration line_interval = base::seconds(1);

}  // namespace

const char* to_text(placement_cause cause) {
    switch (cause) {
        case placement_cause::evacuated:
            return "evacuated";
        case placement_cause::cold:
            return "cold";
        case placement_cause::warmup_bound:
            return "warmup_bound";
        case placement_cause::region:
            return "region";
    }
    return "";
}

placement_log::placement_log(net::event_loop& loop, observe::event_log& events, std::string event,
                             std::string counter, std::string help)
    : loop_(loop),
      events_(events),
      event_(std::move(event)),
      counter_(std::move(counter)),
      help_(std::move(help)) {}

void placement_log::record(placement_cause cause, const std::string& target) {
    cause_state& state = causes_.at(static_cast<std::size_t>(cause));
    ++state.total_;
    const base::instant now = loop_.clock().now();
    if (state.line_written_ && now - state.last_line_at_ < line_interval) {
        return;
    }
    events_.log(event_, {{"cause", to_text(cause)},
                         {"target", target},
                         {"count", std::to_string(state.total_ - state.logged_)}});
    state.logged_ = state.total_;
    state.line_written_ = true;
    state.last_line_at_ = now;
}

observe::labelled_counter placement_log::counter() const {
    observe::labelled_counter counter{counter_, help_, "cause", {}};
    for (std::size_t i = 0; i < causes_.size(); ++i) {
        counter.values_.emplace(to_text(static_cast<placement_cause>(i)), causes_.at(i).total_);
    }
    return counter;
}

}  // namespace dandelionridge::node
