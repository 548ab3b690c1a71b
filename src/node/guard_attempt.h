// One attempt at a guard: its wait for a slot, its run on the target, and its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "policy/guard_ledger.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Bytes of an answer's body that may be on their way to the entry.
inline constexpr std::int64_t answer_window = 256 * 1024;

// Bytes of a request's body that may be on their way to the guard.
inline constexpr std::int64_t request_window = 64 * 1024;

// Longest answer body that a guard keeps for an entry that lost its link.
inline constexpr std::size_t longest_kept_answer = 64 * 1024;

enum class attempt_end {
    // The target's answer ended, whole or not.
    answered,
    // No byte reached the target.
    not_sent,
    // The target closed without an answer.
    broken,
    // The deadline passed while it ran.
    timed_out,
    // The entry wants no answer any more.
    cancelled,
};

class guard_attempt;

// What a guard does for its attempts.
class guard_attempt_owner {
public:
    virtual ~guard_attempt_owner() = default;

    // Sends a frame to the attempt's entry, if there is a link for it.
    virtual void send_to_entry(const guard_attempt& attempt, const wire::frame& frame) = 0;

    // The run is over; the attempt may be destroyed after this call, not within it.
    virtual void on_run_ended(guard_attempt& attempt, attempt_end end) = 0;

    // The deadline passed while it waited for a slot.
    virtual void on_wait_expired(guard_attempt& attempt) = 0;
};

// What is kept of an answer until its entry surely has it.
struct kept_answer {
    wire::answer_head head_;
    std::string body_;
    bool headed_ = false;
    bool ended_ = false;
    bool whole_ = false;
    // The body was longer than what is kept.
    bool overflown_ = false;
};

class guard_attempt final : public net::http_client_events {
public:
    guard_attempt(net::event_loop& loop, guard_attempt_owner& owner, policy::ledger_key key,
                  wire::attempt_begin begin);
    guard_attempt(const guard_attempt&) = delete;
    guard_attempt& operator=(const guard_attempt&) = delete;
    ~guard_attempt() override = default;

    // Sends the request to the target. Names of answer headers must outlive the attempt.
    void run(const base::address& target, std::span<const std::string> answer_headers);

    // Ends a run; the target sees its connection close.
    void cancel();

    void on_request_body(const wire::body_part& part);
    void on_credit(std::int32_t bytes);

    // Sends what is kept of the answer once more, and what follows after it.
    void resend_answer();

    // Asks for body bytes no longer: a part of the request's body will never come.
    bool body_incomplete() const;

    const policy::ledger_key& key() const { return key_; }
    const wire::attempt_begin& begin() const { return begin_; }
    const kept_answer& kept() const { return kept_; }
    bool running() const { return request_ != nullptr; }
    bool expired() const;
    std::uint64_t queue_id() const { return queue_id_; }
    void set_queue_id(std::uint64_t id) { queue_id_ = id; }
    void set_in_flight(int count) { in_flight_ = count; }

    void on_answer(const net::http_answer& answer) override;
    void on_answer_body(std::string_view bytes) override;
    void on_end(bool whole) override;
    void on_failed(net::client_failure failure) override;
    void on_request_sent(std::size_t bytes) override;

private:
    void expire_after(base::duration bound);
    void keep(std::string_view bytes);
    void send_head();
    void send_body(std::string_view bytes, bool last, bool whole);
    void end(attempt_end how);
    net::http_request make_request() const;

    net::event_loop& loop_;
    guard_attempt_owner& owner_;
    policy::ledger_key key_;
    wire::attempt_begin begin_;
    base::instant deadline_;
    net::timer deadline_timer_;
    std::unique_ptr<net::http_client_request> request_;
    std::string early_body_;
    std::int64_t body_received_ = 0;
    std::int64_t credit_ = answer_window;
    std::uint64_t queue_id_ = 0;
    int in_flight_ = 0;
    bool over_ = false;
    kept_answer kept_;
};

}  // namespace dandelionridge::node
