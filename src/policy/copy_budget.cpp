#include "policy/copy_budget.h"

namespace dandelionridge::policy {

namespace {

// Share of the link that copies of the configuration may take.
constexpr double link_share = 0.25;
// Time at that share that may be sent at once.
constexpr double burst_seconds = 0.25;
constexpr std::size_t max_receivers = 4;

}  // namespace

token_bucket make_copy_budget(double link_bytes_per_second, base::instant now) {
    const double rate = link_bytes_per_second * link_share;
    return make_bucket(rate, static_cast<std::int64_t>(rate * burst_seconds), now);
}

bool claim_copy(token_bucket& budget, std::size_t bytes, base::instant now) {
    return overdraw(budget, static_cast<double>(bytes), now);
}

void record_receiver(copy_receivers& receivers, std::int64_t version, const std::string& peer) {
    if (version != receivers.version_) {
        receivers.version_ = version;
        receivers.peers_.clear();
    }
    receivers.peers_.push_back(peer);
    if (receivers.peers_.size() > max_receivers) {
        receivers.peers_.pop_front();
    }
}

std::vector<std::string> receivers_of(const copy_receivers& receivers, std::int64_t version) {
    if (version != receivers.version_) {
        return {};
    }
    return {receivers.peers_.begin(), receivers.peers_.end()};
}

}  // namespace dandelionridge::policy
