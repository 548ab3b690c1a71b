// One caller's request at the caller proxy, over all its attempts: buffers and forwards the body,
// retries failed attempts within the budget, and sends the caller a response or a refusal.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "config/host_list.h"
#include "control/quota.h"
#include "control/retry_loans.h"
#include "filter/request_context.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/caller_proxy.h"
#include "node/hedged_attempt.h"
#include "node/peer_link.h"
#include "policy/overload_refusals.h"
#include "policy/response_memory.h"
#include "policy/retry.h"

namespace dandelionridge::node {

// Base of the Retry-After delay of a refusal when no better estimate is known.
inline constexpr base::duration default_retry_after = base::milliseconds(300);

class call final : public net::http_handler,
                   public attempt_events,
                   public copy_listener,
                   public control::quota_listener,
                   public control::retry_loan_listener {
public:
    call(caller_proxy& owner, net::http_exchange& exchange, net::http_request request);
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    ~call() override;

    // Ends the request as if its deadline had passed, unless its response has already started.
    void end_now();

    void on_body(std::string_view bytes) override;
    void on_body_end() override;
    void on_sent(std::size_t bytes) override;
    bool allows_run_ahead() const override;

    void on_admitted() override;
    void on_over_rate(base::duration retry_after) override;

    void on_retry_lent() override;
    void on_no_retry_lent() override;

    void on_written(policy::attempt_id attempt) override;
    void on_response_head(const wire::answer_head& head) override;
    void on_response_body(const wire::body_part& part) override;
    void on_credit(std::int32_t bytes) override;
    void on_refused(const wire::attempt_refused& refusal) override;
    void on_failed(const wire::attempt_failed& failure) override;
    void on_not_run() override;
    void on_not_sent() override;
    void on_in_doubt(link_loss loss) override;
    void on_response_expected() override;
    void on_unknown() override;

    void on_copy_response(const wire::answer_head& head) override;
    void on_copy_ended(copy_end end) override;
    void on_copy_report(const wire::target_report& report) override;
    void on_copy_refused(const wire::attempt_refused& refusal) override;

private:
    // Newer rules that the request waits for.
    struct awaited_rules {
        // Version under which a target proxy refused the request; 0 if unknown.
        std::int64_t refusing_version_ = 0;
        base::instant wait_until_{};
    };

    // The attempt in progress.
    struct current_attempt {
        peer_link* link_ = nullptr;
        std::string target_;
        // Expected duration of the run; zero if unknown.
        base::duration run_duration_{};
        // Start of the target in milliseconds since 1970; 0 if unknown.
        std::int64_t target_started_ms_ = 0;
        // Valid once `written_` is set.
        policy::attempt_id id_;
        // End of the wait for the attempt's status, which is set when its link is lost.
        base::instant resolve_by_ = base::instant::max();
        // When the attempt was written to its link.
        base::instant written_at_{};
        // The attempt was the copy of a hedged request.
        bool was_copy_ = false;
        // Time by which the target proxy will most likely have reported the attempt's status, if
        // its link was lost but the target proxy most likely lives.
        base::instant status_due_at_{};
        // Pauses of this process found before the link was lost.
        std::uint64_t pauses_before_loss_ = 0;
        // The link was lost at least once.
        bool was_in_doubt_ = false;
        // The link is lost and the attempt's status is not known yet.
        bool in_doubt_ = false;
        // The target may get the request once more if the attempt may have run.
        bool resendable_ = false;
        // The attempt was written to the target proxy's link.
        bool written_ = false;
        // The last part of the request's body was sent.
        bool body_ended_ = false;
        // The request's body waits for the target proxy's credit, which comes with a slot.
        bool body_waits_ = false;
        // Set while the attempt tests a target on trial.
        std::unique_ptr<policy::retry_reservation> reserved_retry_;
        // Bytes of the request's body sent, from its beginning.
        std::size_t body_sent_ = 0;
        // Bytes of the request's body that the target proxy still accepts.
        std::int64_t credit_ = 0;
    };

    // A target's 5xx response to an idempotent request, forwarded to the caller only if no retry
    // gives a better response.
    struct held_failure {
        wire::answer_head head_;
        std::string body_;
        std::string target_;
    };

    // A retry, after an attempt that has ended, that the budget does not allow yet.
    struct awaited_retry {
        // Target of the attempt that was lost.
        std::string target_;
        bool resendable_ = false;
        // The reason given to the caller if no retry takes place.
        filter::reason reason_ = filter::reason::response_lost;
        // How the attempt ended, and what follows if no host lends a retry.
        policy::attempt_outcome outcome_ = policy::attempt_outcome::unknown;
        policy::retry_decision decision_ = policy::retry_decision::refuse_unknown;
        // Expected duration of another run; zero if unknown.
        base::duration run_duration_{};
    };

    void begin();
    void admit();
    bool has_body() const;
    bool body_waits(const chosen_target& chosen) const;
    bool body_buffered() const;
    void start_attempt();
    void send_attempt(const chosen_target& chosen);
    std::optional<chosen_target> find_resend_target(const std::string& target) const;
    void resend(const chosen_target& same);
    void start_overdue_timer();
    void on_overdue();
    std::set<std::string> targets_used() const;
    std::optional<chosen_target> choose();
    wire::attempt_begin make_attempt_begin(const chosen_target& chosen) const;
    void add_headers(wire::attempt_begin& begin) const;
    void abandon_attempt();
    void exclude_target();
    bool hedgeable() const;
    void record_response_time();
    void start_hedging_timer();
    void on_hedging_due();
    void send_copy(const chosen_target& chosen);
    bool continue_with_copy(policy::attempt_outcome outcome, bool budget_exempt);
    void adopt_copy();
    void cancel_copy(copy_outcome outcome);
    void hold_copy_failure();
    void end_copy(copy_outcome outcome);
    void retry_after_refusal(const wire::attempt_refused& refusal);
    bool has_newer_rules() const;
    bool may_resolve_again() const;
    void resolve_after_refusal(std::int64_t refusing_version);
    void on_rules_due();
    void resolve_again();
    void attempt_ended(policy::attempt_outcome outcome, filter::reason reason,
                       bool budget_exempt = false);
    policy::retry_context plan_retry(policy::attempt_outcome outcome, const std::string& target,
                                     bool resendable, bool budget_exempt);
    policy::retry_decision decide(const policy::retry_context& retry);
    void start_retry(const std::string& target, const policy::retry_context& retry);
    void start_status_wait(link_loss loss);
    void await_resolution();
    bool borrow_retry(const policy::retry_context& retry, const awaited_retry& awaited);
    void continue_without_retry(const awaited_retry& awaited);
    void await_budget(base::duration run_duration);
    void stop_awaiting_budget();
    bool budget_is_missing() const;
    void on_budget_due();
    void on_decision_due();
    void start_rest_timer();
    policy::retry_context make_retry_context(policy::attempt_outcome outcome) const;
    void end_without_retry(policy::retry_decision decision, filter::reason reason);
    void on_deadline();
    void send_pending_body();
    bool fits_in_window() const;
    bool replayable() const;
    std::size_t unsent_body() const;
    policy::run_kind run_kind() const;
    policy::choice_criteria criteria() const;
    config::region_limits region_limits() const;
    bool retry_available() const;
    bool is_known_failure() const;
    bool may_reserve_retry() const;
    void charge_reserved_retry();
    void forward_head(const wire::answer_head& head);
    void finish_response();
    void forward_held_failure();
    void claim_response_window();
    void widen_response_window();
    bool claim_whole_failure(const wire::answer_head& head);
    void refuse(const filter::refusal& refusal);
    void refuse_unknown(filter::reason reason);
    void refuse_not_run(filter::reason reason);
    void record_resumable(const wire::answer_head& head);
    bool continues_response(const wire::answer_head& head) const;
    void resume_or_abort();
    bool can_resume_elsewhere() const;
    void abort_response();
    void record_event(const char* kind, const std::string& detail, base::duration time_left) const;
    void record_event(const char* kind, const std::string& detail,
                      observe::event_field field) const;
    base::duration time_left() const;
    base::duration run_time_left() const;
    base::duration min_time_left() const;
    filter::reason end_reason() const;

    caller_proxy& owner_;
    net::http_exchange& exchange_;
    filter::request_context context_;
    std::string request_id_;
    base::instant started_at_;
    base::instant deadline_{};
    net::timer deadline_timer_;
    // Expires when the attempt in progress takes far longer than expected.
    net::timer overdue_timer_;
    // Expires when the next decision is due on an attempt in doubt, on a retry that waits for the
    // budget, or on a request that waits for newer rules.
    net::timer resolution_timer_;
    // Expires when a copy of the request is due.
    net::timer hedging_timer_;
    std::unique_ptr<current_attempt> attempt_;
    // The copy that runs beside the attempt in progress. Null unless there is such an attempt, and
    // as soon as a response has started.
    std::unique_ptr<hedged_attempt> copy_;
    base::instant copy_sent_at_{};
    // Expected duration of the copy's run, and start of its target, as in current_attempt.
    base::duration copy_run_duration_{};
    std::int64_t copy_target_started_ms_ = 0;
    // Memory for the part of the copy's response that may arrive before it is known to be the
    // first.
    policy::memory_claim copy_claim_;
    // A copy was sent; no other one follows.
    bool hedged_ = false;
    std::optional<awaited_retry> awaited_retry_;
    awaited_rules awaited_rules_;
    // Expected duration of another run, while the request waits for the budget.
    std::optional<base::duration> awaited_run_duration_;
    // Targets that no further attempt uses: they received the request, refused it for a reason
    // other than being busy, or could not be reached.
    std::set<std::string> tried_targets_;
    // Targets that had no free slot, in the current search for one.
    std::set<std::string> busy_targets_;
    // The search for a free slot has ended: the request may queue at the target with the shortest
    // expected wait.
    bool may_wait_ = false;
    // The request was made by a target of this host while it ran another request.
    bool nested_ = false;
    bool admitted_ = false;
    // Number of attempts that reached a target.
    int attempts_ = 0;
    // Number of refusals by target proxies, over all targets.
    int refusals_ = 0;
    // The request was sent to one of its targets twice.
    bool resent_ = false;
    // An earlier attempt may have run.
    bool may_have_run_ = false;
    // Shortest time after which a slot may be free, as reported by the target proxies that refused;
    // `duration::max()` if none reported one.
    base::duration min_wait_ = base::duration::max();
    policy::overload_refusals overload_refusals_;

    // Buffered body of the request, starting at byte `body_offset_` of it.
    std::string body_;
    std::size_t body_offset_ = 0;
    bool body_ended_ = true;
    bool body_paused_ = false;

    bool head_sent_ = false;
    bool finished_ = false;
    // The last failure that was received whole.
    std::optional<held_failure> held_failure_;
    // The failure that the attempt in progress is receiving.
    std::optional<held_failure> incoming_failure_;
    // Bytes of the response's body that were forwarded to the caller's connection.
    std::uint64_t forwarded_bytes_ = 0;
    // The strong ETag of a response that another target can continue by a Range request; empty if
    // the response cannot be continued.
    std::string resumable_etag_;
    // Length in bytes of the body of the response that `resumable_etag_` identifies.
    std::uint64_t response_length_ = 0;
    // The attempt in progress requests the rest of a response.
    bool resuming_ = false;
    // Bytes of a resent response still to be dropped, because the caller already has them.
    std::uint64_t skip_bytes_ = 0;
    // Memory for the response's bytes that this process may receive before the caller reads them.
    policy::memory_claim response_claim_;
    // Bytes of the response that may be in flight from the target proxy.
    std::size_t response_window_ = 0;
    // Forwarded bytes that have not left this process yet.
    std::uint64_t unsent_bytes_ = 0;
    // Forwarded bytes that have left this process, for which no credit was sent yet.
    std::uint64_t credit_due_ = 0;
};

}  // namespace dandelionridge::node
