// What the quota reports of its decisions, for logs and metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "policy/quota.h"

namespace dandelionridge::control {

// What kept a request from getting a token.
enum class quota_refusal_cause {
    // The owner had no token for it.
    owner_limit,
    // No owner granted tokens, and this host's own share of the rate had none for it.
    own_share,
    // An owner had begun to act and granted nothing yet.
    handover,
    // The request for tokens had no reply yet when the request had waited as long as it may.
    no_reply,
    // The requests that get tokens before it, more urgent ones among them, use up all that come in
    // its time.
    others_ahead,
};

// Number of values of quota_refusal_cause.
inline constexpr std::size_t quota_refusal_cause_count = 5;

std::string_view to_text(quota_refusal_cause cause);

// A request that was refused, and the inputs of that decision.
struct quota_refusal {
    std::string_view organisation_;
    // Host from which tokens were requested last; empty if no owner could be asked.
    std::string_view owner_;
    std::size_t owner_rank_ = 0;
    quota_refusal_cause cause_ = quota_refusal_cause::owner_limit;
    // The hosts that this host reaches; not set if an owner decided or the event is not recorded.
    std::optional<policy::host_reachability> reachability_;
    // Tokens that waiting requests lack, including this one.
    std::size_t waiting_ = 0;
    int priority_ = 0;
    base::duration retry_after_{};
    // Time since the request was to be admitted.
    base::duration waited_{};
};

// A host begins or ends to act as owner of an organisation's tokens.
struct quota_owner_change {
    std::string_view organisation_;
    bool acting_ = false;
    // The process was stalled; otherwise the reachability decided.
    bool stalled_ = false;
    policy::host_reachability reachability_{};
};

class quota_observer {
public:
    virtual ~quota_observer() = default;

    // Returns false if further events are only counted for now.
    virtual bool takes_events() const = 0;
    virtual void on_refusal(const quota_refusal& refusal) = 0;
    virtual void on_owner_change(const quota_owner_change& change) = 0;
};

// Counts of the tokens that this host as an owner was asked for, and of the requests that it
// refused as a caller proxy.
struct quota_counters {
    // Tokens granted.
    std::uint64_t granted_tokens_ = 0;
    // Tokens requested and not granted, by policy::grant_cause.
    std::array<std::uint64_t, policy::grant_cause_count> missing_tokens_{};
    // Requests refused, by quota_refusal_cause.
    std::array<std::uint64_t, quota_refusal_cause_count> refused_requests_{};
};

}  // namespace dandelionridge::control
