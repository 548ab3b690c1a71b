// One caller's request at the entry, over all its attempts.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "config/host_list.h"
#include "control/quota.h"
#include "filter/request_context.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/caller_proxy.h"
#include "node/peer_link.h"
#include "policy/retry.h"

namespace dandelionridge::node {

inline constexpr std::string_view request_id_header = "x-request-id";

// When a refused caller may come back, where nobody knows better.
inline constexpr base::duration short_retry_delay = base::milliseconds(300);

class call final : public net::http_handler, public attempt_events, public control::quota_listener {
public:
    call(caller_proxy& owner, net::http_exchange& exchange, net::http_request request);
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    ~call() override;

    // Gives the caller its final answer, as at its deadline.
    void end_now();

    void on_body(std::string_view bytes) override;
    void on_body_end() override;
    void on_sent(std::size_t bytes) override;

    void on_admitted() override;
    void on_over_rate(base::duration retry_after) override;

    void on_written(policy::attempt_id attempt) override;
    void on_response_head(const wire::answer_head& head) override;
    void on_response_body(const wire::body_part& part) override;
    void on_credit(std::int32_t bytes) override;
    void on_refused(const wire::attempt_refused& refusal) override;
    void on_failed(const wire::attempt_failed& failure) override;
    void on_not_run() override;
    void on_in_doubt() override;
    void on_unknown() override;

private:
    // The attempt that is under way.
    struct current_attempt {
        peer_link* link_ = nullptr;
        std::string target_;
        policy::attempt_id id_;
        bool written_ = false;
        bool body_ended_ = false;
        std::size_t body_sent_ = 0;
        std::int64_t credit_ = 0;
    };

    // An answer of failure that is passed on unless another attempt does better.
    struct held_failure {
        wire::answer_head head_;
        std::string body_;
    };

    void begin();
    void admit();
    bool has_body() const;
    bool body_buffered() const;
    void start_attempt();
    std::optional<chosen_target> choose();
    wire::attempt_begin describe(const chosen_target& chosen) const;
    void add_headers(wire::attempt_begin& begin) const;
    void abandon_attempt();
    void exclude_target();
    void retry_after_refusal(const wire::attempt_refused& refusal);
    void attempt_ended(policy::attempt_outcome outcome, filter::reason why, bool free = false);
    void end_without_retry(policy::retry_decision decision, filter::reason why);
    void on_deadline();
    void send_pending_body();
    bool replayable() const;
    std::size_t unsent_body() const;
    policy::choice_criteria criteria() const;
    bool retry_available() const;
    void forward_head(const wire::answer_head& head);
    void finish_response();
    void forward_held_failure();
    void refuse(const filter::refusal& refusal);
    void refuse_unknown(filter::reason why);
    void refuse_not_run(filter::reason why);
    void record_resumable(const wire::answer_head& head);
    bool continues_response(const wire::answer_head& head) const;
    void resume_or_abort();
    void abort_response();
    void record(const char* kind, const std::string& detail, base::duration number) const;
    base::duration time_left() const;

    caller_proxy& owner_;
    net::http_exchange& exchange_;
    filter::request_context context_;
    std::string request_id_;
    base::instant began_;
    base::instant deadline_{};
    net::timer deadline_timer_;
    std::unique_ptr<current_attempt> attempt_;
    // Targets that got the request, or refused it for good.
    std::set<std::string> tried_targets_;
    // Targets without a free slot, in the present search.
    std::set<std::string> busy_targets_;
    // The search for a free slot is over: the request waits where the wait is shortest.
    bool may_wait_ = false;
    bool nested_ = false;
    bool admitted_ = false;
    // Attempts that reached a target.
    int attempts_ = 0;
    // Refusals by guards, in all.
    int refusals_ = 0;
    bool may_have_run_ = false;
    // Time after which a slot may be free, by the guards that refused.
    base::duration min_wait_ = base::duration::max();

    // Body of the request from `body_offset_` on.
    std::string body_;
    std::size_t body_offset_ = 0;
    bool body_ended_ = true;
    bool body_paused_ = false;

    bool head_sent_ = false;
    bool finished_ = false;
    std::optional<held_failure> failure_;
    // The answer under way is a failure that may be replaced by a retry.
    bool holding_failure_ = false;
    // Bytes of the answer's body that were passed on to the caller's connection.
    std::uint64_t forwarded_bytes_ = 0;
    // The strong ETag of an answer that can be continued by Range from another target, or empty.
    std::string resumable_etag_;
    std::uint64_t response_length_ = 0;
    // The attempt under way asks for the rest of an answer.
    bool resuming_ = false;
    // Bytes of a repeated answer that the caller already has.
    std::uint64_t skip_bytes_ = 0;
    // Forwarded bytes still in this process, and those that left it but were not credited yet.
    std::uint64_t uncredited_bytes_ = 0;
    std::uint64_t credit_due_ = 0;
};

}  // namespace dandelionridge::node
