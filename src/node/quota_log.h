// Records the quota's decisions as events, a bounded number per second.
#pragma once

#include <cstddef>

#include "control/quota_events.h"
#include "observe/event.h"

namespace dandelionridge::node {

// Number of events of the quota that are recorded per second and process. The next event after
// dropped ones says how many they were.
inline constexpr std::size_t max_quota_events_per_second = 50;

class quota_log final : public control::quota_observer {
public:
    quota_log(const base::runtime_clock& clock, observe::event_log& events);

    bool takes_events() const override;
    void on_refusal(const control::quota_refusal& refusal) override;
    void on_owner_change(const control::quota_owner_change& change) override;

private:
    void record(std::string_view kind, std::vector<observe::event_field> fields);

    const base::runtime_clock& clock_;
    observe::event_log& events_;
    base::instant second_began_at_{};
    std::size_t recorded_in_second_ = 0;
    std::size_t dropped_ = 0;
};

}  // namespace dandelionridge::node
