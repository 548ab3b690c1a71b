#include "policy/config_pull.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

constexpr std::size_t max_sources = 16;
// Time after which the reply to a request is overdue. Where only one source is known, it doubles
// with each failure, at most this many times, so that a slow link is not sent the same copy again
// and again.
constexpr base::duration request_timeout = base::seconds(1);
// The first request is repeated at another source after this time: a peer that has just failed must
// not delay a change beyond its bound.
constexpr base::duration first_request_timeout = base::milliseconds(400);
constexpr int max_timeout_doublings = 3;
// Mean delay of the next request after a failure or a busy reply. It doubles likewise.
constexpr base::duration mean_retry_delay = base::milliseconds(100);
constexpr int max_delay_doublings = 3;

base::duration doubled(base::duration value, int times, int max_times) {
    return value * (1 << std::min(times, max_times));
}

// Returns a random delay, so that the processes that were told the same do not return together.
base::duration retry_delay(int repeats, base::random_engine& random) {
    const base::duration longest = 2 * doubled(mean_retry_delay, repeats, max_delay_doublings);
    const auto below = static_cast<std::uint64_t>(longest.count());
    return base::duration(static_cast<std::int64_t>(base::random_below(random, below)));
}

void remove_source(config_pull& pull, const std::string& peer) {
    // The only known source is asked again: it may be the only one there is.
    if (pull.sources_.size() > 1) {
        std::erase_if(pull.sources_,
                      [&](const config_pull::source& known) { return known.peer_ == peer; });
    }
}

void end_request(config_pull& pull, const std::string& peer) {
    if (pull.outstanding_ && pull.outstanding_->peer_ == peer) {
        pull.outstanding_.reset();
    }
}

}  // namespace

void add_source(config_pull& pull, const std::string& peer, std::int64_t version,
                base::instant now) {
    if (!pull.behind_since_) {
        pull.behind_since_ = now;
    }
    std::erase_if(pull.sources_,
                  [&](const config_pull::source& known) { return known.peer_ == peer; });
    if (pull.sources_.size() == max_sources) {
        pull.sources_.erase(pull.sources_.begin());
    }
    pull.sources_.push_back({peer, version});
}

bool may_request(const config_pull& pull, base::instant now) {
    return pull.behind_since_ && !pull.outstanding_ && now >= pull.next_request_at_;
}

void record_request(config_pull& pull, const std::string& peer, base::instant now) {
    pull.outstanding_ = {peer, now};
}

void expire_request(config_pull& pull, base::random_engine& random, base::instant now) {
    if (!pull.outstanding_) {
        return;
    }
    const bool has_other_source = pull.sources_.size() > 1;
    const int doublings = has_other_source ? 0 : pull.failures_;
    const base::duration timeout = has_other_source && pull.failures_ == 0
                                       ? first_request_timeout
                                       : doubled(request_timeout, doublings, max_timeout_doublings);
    if (now - pull.outstanding_->sent_at_ >= timeout) {
        const std::string peer = pull.outstanding_->peer_;
        record_failure(pull, peer, random, now);
    }
}

void record_failure(config_pull& pull, const std::string& peer, base::random_engine& random,
                    base::instant now) {
    end_request(pull, peer);
    remove_source(pull, peer);
    pull.next_request_at_ = now + retry_delay(pull.failures_, random);
    ++pull.failures_;
}

void record_busy(config_pull& pull, const std::string& peer, std::int64_t version,
                 std::span<const std::string> other_sources, base::random_engine& random,
                 base::instant now) {
    if (!pull.outstanding_ || pull.outstanding_->peer_ != peer) {
        return;
    }
    end_request(pull, peer);
    for (const std::string& other : other_sources) {
        add_source(pull, other, version, now);
    }
    pull.next_request_at_ = now + retry_delay(pull.busy_replies_, random);
    ++pull.busy_replies_;
}

void record_no_source(config_pull& pull, const std::string& peer) {
    end_request(pull, peer);
    std::erase_if(pull.sources_,
                  [&](const config_pull::source& known) { return known.peer_ == peer; });
}

void record_reply(config_pull& pull, const std::string& peer) {
    end_request(pull, peer);
    pull.failures_ = 0;
    pull.busy_replies_ = 0;
}

void forget_sources_up_to(config_pull& pull, std::int64_t version) {
    std::erase_if(pull.sources_,
                  [&](const config_pull::source& known) { return known.version_ <= version; });
    if (pull.sources_.empty()) {
        pull = {};
    }
}

}  // namespace dandelionridge::policy
