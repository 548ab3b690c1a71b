// Lends retries between hosts. A host that has used its share of the fleet's retry budget asks
// others, one after the other, to charge a retry to theirs.
//
// Pattern: work sharing by random probing. In a large fleet each share allows about one retry in a
// window, and most of them are not needed where they are. The lender charges the retry before it
// replies, so a lost or late reply costs a retry and never adds one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "base/random.h"
#include "control/configuration.h"
#include "control/peer_sender.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

// Receives the result of one request for a retry. Only one of its functions is called, at most
// once.
class retry_loan_listener {
public:
    virtual ~retry_loan_listener() = default;

    // Another host has charged the retry to its share of the budget. It must be used at once.
    virtual void on_retry_lent() = 0;

    // No host that was asked has a retry left.
    virtual void on_no_retry_lent() = 0;
};

// This host's share of the retry budget.
class retry_lender {
public:
    virtual ~retry_lender() = default;

    // Charges a retry of a request to the service for another host. Returns false if this host's
    // share of the budget does not allow it.
    virtual bool lend_retry(const std::string& service) = 0;
};

// How a host replied to a request for a retry.
enum class loan_reply { lent, denied, none };
inline constexpr std::size_t loan_reply_count = 3;

std::string_view to_text(loan_reply reply);

class retry_loans {
public:
    retry_loans(const base::runtime_clock& clock, const configuration& configuration,
                peer_sender& peers, std::string host,
                base::random_engine random = base::make_random_engine());

    // Asks other hosts for a retry of a request to the service. Returns false if there is no host
    // to ask; otherwise the listener must outlive the result or be cancelled.
    bool request(const std::string& service, retry_loan_listener& listener);

    // Withdraws a listener: it is not called any more.
    void cancel(retry_loan_listener& listener);

    // Returns the reply to a request of another host, whose retry `lender` charges.
    static wire::retry_loan on_request(const wire::retry_loan_request& request,
                                       retry_lender& lender);

    void on_reply(const wire::retry_loan& reply);

    // Asks the next host in place of one whose reply is overdue.
    void tick();

    // Number of replies, indexed by loan_reply.
    const std::array<std::uint64_t, loan_reply_count>& replies() const { return replies_; }

private:
    struct pending_request {
        std::string service_;
        retry_loan_listener* listener_ = nullptr;
        std::set<std::string> asked_hosts_;
        base::instant reply_due_at_{};
        // No other host is asked after this time.
        base::instant ends_at_{};
    };

    bool ask_next(pending_request request);
    std::optional<std::string> pick_host(const std::set<std::string>& asked);
    void count(loan_reply reply);

    const base::runtime_clock& clock_;
    const configuration& configuration_;
    peer_sender& peers_;
    std::string host_;
    base::random_engine random_;
    // By the number of the request that awaits a reply.
    std::unordered_map<std::int64_t, pending_request> pending_;
    std::int64_t next_request_id_ = 1;
    std::array<std::uint64_t, loan_reply_count> replies_{};
};

}  // namespace dandelionridge::control
