// One attempt in the target proxy: its wait for a slot, its run on the target, and its response.
//
// The response is collected before it is sent to the caller proxy, so that an incomplete or invalid
// one can still be reported as a failure that the caller proxy may retry. Only a response that
// grows beyond a bound, or for which memory is short, is streamed, and only if it is not known to
// be invalid. Either way the body is sent by the caller proxy's credit.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "config/header_policy.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "policy/attempt_ledger.h"
#include "policy/response_memory.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Maximum number of bytes of a request body that may be in flight to the target proxy.
inline constexpr std::int64_t request_window_bytes = 64 * 1024;

// A response body that grows beyond this size is streamed instead of collected; that of an error,
// or of a response that may not be the target's, ends the run as invalid.
inline constexpr std::size_t max_collected_response_bytes = 1024 * 1024;

// How a run ended.
enum class attempt_result {
    // The target's response is complete, or was streamed and has ended, complete or not.
    responded,
    // The target reported that it did not run the request, or no byte of it was sent.
    not_run,
    // The target gave no usable response.
    invalid_response,
    // The target closed a kept connection before it responded, probably while it was idle.
    connection_lost,
    // The deadline, or a timeout of a streamed response, passed during the run.
    timed_out,
    // The caller proxy no longer wants a response, or its link was lost.
    cancelled,
};

class target_proxy_attempt;

// Receives the frames and events of an attempt; implemented by the target proxy.
class target_proxy_attempt_owner {
public:
    virtual ~target_proxy_attempt_owner() = default;

    // Sends a frame to the attempt's caller proxy. Returns false if no link to it is open.
    virtual bool send_to_caller_proxy(const target_proxy_attempt& attempt,
                                      const wire::frame& frame) = 0;

    // Returns true if a link is open on which the attempt's caller proxy expects its response.
    virtual bool has_link(const target_proxy_attempt& attempt) = 0;

    // Called when the head of the target's response has arrived.
    virtual void on_target_response(const target_proxy_attempt& attempt,
                                    const net::http_response& response) = 0;

    // Called when the run has ended. Unless it ended with a response, the attempt may be destroyed
    // after this call, but not during it.
    virtual void on_run_ended(target_proxy_attempt& attempt, attempt_result result) = 0;

    // Called when a run has ended with a response and all of that was sent, or nobody wants it. The
    // attempt may be destroyed after this call, but not during it.
    virtual void on_response_sent(target_proxy_attempt& attempt) = 0;

    // Called when the caller proxy has given no credit for the rest of the response for a long
    // time. The attempt may be destroyed after this call, but not during it.
    virtual void on_response_stalled(target_proxy_attempt& attempt) = 0;

    // Called when the target has no more work with a run although its response is not read yet: its
    // deadline has passed and the caller does not read. The run no longer holds a slot.
    virtual void on_slot_released(target_proxy_attempt& attempt) = 0;

    // Called when a response that cannot be streamed holds more than its target may.
    virtual void on_memory_short(const target_proxy_attempt& attempt) = 0;

    // Called when the attempt has waited for a slot until its latest start.
    virtual void on_wait_expired(target_proxy_attempt& attempt) = 0;

    // Called when a connection to the attempt's target was found closed after it had been idle.
    virtual void on_connection_dropped(const target_proxy_attempt& attempt,
                                       base::duration idle_time) = 0;

    // Returns the current report on the attempt's target.
    virtual wire::target_report make_report_for(const target_proxy_attempt& attempt) = 0;
};

// The part of a response received so far.
struct collected_response {
    wire::answer_head head_;
    // The body, or, once it is streamed, the part of it that is not sent yet.
    std::string body_;
    bool head_received_ = false;
    bool ended_ = false;
    bool complete_ = false;
    // True once the response is streamed: the head was sent, and body bytes are forwarded as they
    // arrive and not kept.
    bool streaming_ = false;
};

class target_proxy_attempt final : public net::http_client_events {
public:
    target_proxy_attempt(net::event_loop& loop, target_proxy_attempt_owner& owner,
                         const config::header_policy& headers, policy::response_memory& memory,
                         policy::ledger_key key, wire::attempt_begin begin);
    target_proxy_attempt(const target_proxy_attempt&) = delete;
    target_proxy_attempt& operator=(const target_proxy_attempt&) = delete;
    ~target_proxy_attempt() override = default;

    // Reports at that time that the wait has expired, unless the run has begun.
    void wait_until(base::instant latest_start);

    // Sends the request to the target, on a connection of the pool that was idle for at most
    // `max_idle_time`, or on a new one.
    void run(net::http_client_pool& pool, base::duration max_idle_time);

    // Shortens the deadline to `latest` if it is later. Must be called before the run begins.
    void limit_deadline(base::instant latest) { deadline_ = std::min(deadline_, latest); }

    // Ends the run by closing the connection to the target.
    void cancel();

    // Stops the timer, so that it no longer calls the owner, and gives back the claimed memory.
    // Called when the target proxy removes the attempt.
    void retire();

    // Lets the caller proxy send a request body that waits for a slot.
    void grant_body() { send_body_credit(request_window_bytes); }

    void on_request_body(const wire::body_part& part);
    void on_credit(std::int32_t bytes);

    // Called when the caller proxy has asked for the attempt on a later link.
    void on_later_link();

    // Sends the response again, at once and whole. Returns false if the complete response is not
    // available.
    bool resend_response();

    // Returns true while the last part of the request body has not arrived. If the link is lost
    // then, the missing part will never arrive.
    bool request_body_incomplete() const { return !request_body_ended_; }

    // Drops all further frames to the caller proxy, and the response. Used when the caller proxy no
    // longer wants a response. The run goes on until the target ends it or its deadline passes.
    void discard_response();
    bool response_discarded() const { return response_discarded_; }

    // Drops what was received of the response and what follows of it, without waiting for credit.
    // Used when the rest of a streamed response cannot be delivered any more.
    void drop_response();

    // Returns true if the run no longer holds a slot although it has not ended.
    bool slot_released() const { return slot_released_; }

    // Marks the run as counted against its target because it takes far too long. Its end then
    // counts only if it succeeds.
    void set_overdue() { overdue_ = true; }
    bool overdue() const { return overdue_; }

    const policy::ledger_key& key() const { return key_; }
    const wire::attempt_begin& begin() const { return begin_; }
    const collected_response& response() const { return response_; }
    // Returns true from the start of the run to its end.
    bool running() const { return request_ != nullptr && !finished_; }
    // Returns true once the run has ended. Part of its response may still have to be sent.
    bool ended() const { return finished_; }
    bool expired() const;
    base::instant deadline() const { return deadline_; }
    base::instant run_started_at() const { return run_started_at_; }

    // Returns true if this process was paused since the run began, so that the time since then says
    // nothing about the target.
    bool spans_pause() const { return loop_.pause_count() != pauses_at_start_; }
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
    void start(net::http_client_pool& pool, base::duration max_idle_time);
    void start_timeout(base::duration timeout);
    void send_body_credit(std::int64_t bytes);
    void begin_streaming();
    void stream_or_end();
    void send_response_head();
    bool send_response_body(std::string_view bytes, bool last);
    bool send_response_part(std::size_t max_bytes);
    void send_with_credit();
    void continue_response();
    void update_reading();
    void start_stall_timeout();
    void release_slot_if_paused();
    std::size_t unsent_bytes() const { return response_.body_.size() - sent_bytes_; }
    bool exceeds_memory_share() const;
    void release_sent_bytes();
    void update_claim();
    void set_response_length();
    void end(attempt_result result);
    // Returns true if the response is successful but lacks the header that proves that the target
    // made it.
    bool lacks_response_proof() const;
    // Returns true if the response lacks the ID of the request although targets repeat it.
    bool lacks_request_id() const;
    bool has_header(std::string_view name) const;
    // Returns true if the caller proxy may get the response.
    bool valid_response() const;
    bool may_stream() const;
    bool target_reported_not_run() const;
    bool has_request_body() const;
    net::http_request make_request() const;

    net::event_loop& loop_;
    target_proxy_attempt_owner& owner_;
    const config::header_policy& headers_;
    policy::ledger_key key_;
    wire::attempt_begin begin_;
    base::instant deadline_;
    base::instant run_started_at_{};
    std::uint64_t pauses_at_start_ = 0;
    // Expires at the latest start while the attempt waits, and shortly after the deadline while it
    // runs. Once the response is sent, expires when it makes no progress.
    net::timer timeout_timer_;
    // Expires shortly after the deadline of a streamed response.
    net::timer slot_timer_;
    net::http_client_pool* pool_ = nullptr;
    std::unique_ptr<net::http_client_request> request_;
    // Request body received so far, until a byte of the request has left this host: up to then the
    // request may have to go out on another connection.
    std::string unsent_request_body_;
    bool request_left_host_ = false;
    bool request_body_ended_ = true;
    const policy::response_memory& memory_;
    policy::memory_claim claim_;
    // Body bytes of the response that may still be sent without further credit.
    std::int64_t response_credit_bytes_ = 0;
    // Bytes of `response_.body_` that were sent, from its beginning.
    std::size_t sent_bytes_ = 0;
    bool last_part_sent_ = false;
    // The response is to be streamed, but no link is open: it is not read on until then.
    bool awaits_link_ = false;
    std::uint64_t queue_id_ = 0;
    // Address of the target, as text; the key of its state in the target proxy.
    std::string target_key_;
    bool response_discarded_ = false;
    bool response_dropped_ = false;
    // The target's response is not read because the caller proxy gives no credit.
    bool reading_paused_ = false;
    bool slot_released_ = false;
    bool overdue_ = false;
    bool finished_ = false;
    collected_response response_;
};

}  // namespace dandelionridge::node
