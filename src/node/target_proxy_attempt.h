// One attempt at a guard: its wait for a slot, its run on the target, and its answer.
//
// The answer is collected before it is sent on, so that one that turns out broken can still become
// a failure that the entry may retry. Only what grows beyond a bound is passed on as it comes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "config/header_policy.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "policy/attempt_ledger.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Bytes of an answer's body that may be on their way to the entry once it is passed on as it comes.
inline constexpr std::int64_t response_window = 256 * 1024;

// Bytes of a request's body that may be on their way to the guard.
inline constexpr std::int64_t request_window = 64 * 1024;

// Longest answer body that is collected before it is sent.
inline constexpr std::size_t max_collected_response_bytes = 1024 * 1024;

// Longest answer body that a guard keeps for an entry that lost its link.
inline constexpr std::size_t max_kept_response_bytes = 64 * 1024;

enum class attempt_result {
    // The target's answer ended, whole or not.
    responded,
    // The target says that it did not run the request, or no byte reached it.
    not_run,
    // The target gave no answer that can be used.
    invalid_response,
    // The deadline passed while it ran.
    timed_out,
    // The entry wants no answer any more.
    cancelled,
};

class target_proxy_attempt;

// What a guard does for its attempts.
class target_proxy_attempt_owner {
public:
    virtual ~target_proxy_attempt_owner() = default;

    // Sends a frame to the attempt's entry, if there is a link for it.
    virtual void send_to_caller_proxy(const target_proxy_attempt& attempt,
                                      const wire::frame& frame) = 0;

    // The run is over; the attempt may be destroyed after this call, not within it.
    virtual void on_run_ended(target_proxy_attempt& attempt, attempt_result end) = 0;

    // The deadline passed while it waited for a slot.
    virtual void on_wait_expired(target_proxy_attempt& attempt) = 0;

    virtual wire::target_report report_of(const target_proxy_attempt& attempt) = 0;
};

// What is collected of an answer.
struct collected_response {
    wire::answer_head head_;
    std::string body_;
    bool head_received_ = false;
    bool ended_ = false;
    bool complete_ = false;
    // The head went out: what follows is passed on as it comes.
    bool streaming_ = false;
    // What was passed on is no longer kept.
    bool body_discarded_ = false;
};

class target_proxy_attempt final : public net::http_client_events {
public:
    target_proxy_attempt(net::event_loop& loop, target_proxy_attempt_owner& owner,
                         const config::header_policy& headers, policy::ledger_key key,
                         wire::attempt_begin begin);
    target_proxy_attempt(const target_proxy_attempt&) = delete;
    target_proxy_attempt& operator=(const target_proxy_attempt&) = delete;
    ~target_proxy_attempt() override = default;

    // Sends the request to the target, on a connection of the pool.
    void run(net::http_client_pool& pool);

    // Ends a run; the target sees its connection close.
    void cancel();

    // The guard has done with it: no timer of it calls the owner any more.
    void retire();

    void on_request_body(const wire::body_part& part);
    void on_credit(std::int32_t bytes);

    // Sends the answer once more. False if it isn't at hand whole.
    bool resend_response();

    // Asks for body bytes no longer: a part of the request's body will never come.
    bool body_incomplete() const { return !body_ended_; }

    // The entry is gone or wants no answer: what comes is dropped.
    void discard_response() { response_discarded_ = true; }
    bool response_discarded() const { return response_discarded_; }

    const policy::ledger_key& key() const { return key_; }
    const wire::attempt_begin& begin() const { return begin_; }
    const collected_response& response() const { return response_; }
    bool running() const { return request_ != nullptr; }
    bool expired() const;
    base::instant deadline() const { return deadline_; }
    base::instant began_run_at() const { return began_run_at_; }
    std::uint64_t queue_id() const { return queue_id_; }
    void set_queue_id(std::uint64_t id) { queue_id_ = id; }
    const std::string& target_key() const { return target_key_; }
    void set_target_key(std::string key) { target_key_ = std::move(key); }

    void on_response(const net::http_response& response) override;
    void on_response_body(std::string_view bytes) override;
    void on_end(bool complete) override;
    void on_failed(net::client_failure failure) override;
    void on_request_sent(std::size_t bytes) override;

private:
    void start(net::http_client_pool& pool, base::duration max_idle_age);
    bool start_again(net::client_failure failure);
    void expire_after(base::duration bound);
    void begin_streaming();
    void send_head();
    void send_body(std::string_view bytes, bool last, bool whole);
    void send_collected();
    void end(attempt_result how);
    bool lacks_seal() const;
    bool says_not_run() const;
    bool has_body() const;
    net::http_request make_request() const;

    net::event_loop& loop_;
    target_proxy_attempt_owner& owner_;
    const config::header_policy& headers_;
    policy::ledger_key key_;
    wire::attempt_begin begin_;
    base::instant deadline_;
    base::instant began_run_at_{};
    net::timer deadline_timer_;
    net::http_client_pool* pool_ = nullptr;
    std::unique_ptr<net::http_client_request> request_;
    std::string early_body_;
    bool body_ended_ = true;
    std::int64_t credit_ = response_window;
    std::uint64_t queue_id_ = 0;
    std::string target_key_;
    bool response_discarded_ = false;
    bool started_again_ = false;
    bool finished_ = false;
    collected_response response_;
};

}  // namespace dandelionridge::node
