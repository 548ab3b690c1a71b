// The copy of a hedged request, which runs beside the request's first attempt until one of them
// delivers a response.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "node/peer_link.h"

namespace dandelionridge::node {

// How a copy ended without a response to forward.
enum class copy_end {
    // It did not run.
    not_run,
    // It did not run because its target had no free slot.
    target_busy,
    // The target responded with a server error, which was received whole if take_failure() has one.
    server_error,
    // It may have run: it failed, or its link was lost.
    failed,
};

// Receives what happens to a copy. Of on_copy_response and on_copy_ended at most one is called, and
// only once. The copy may be destroyed only after that call has returned.
class copy_listener {
public:
    virtual ~copy_listener() = default;

    // The copy's target responds, with another status than a server error.
    virtual void on_copy_response(const wire::answer_head& head) = 0;
    virtual void on_copy_ended(copy_end end) = 0;
    // A target proxy reported on the copy's target, in a response or a refusal.
    virtual void on_copy_report(const wire::target_report& report) = 0;
    // The copy's target proxy refused it.
    virtual void on_copy_refused(const wire::attempt_refused& refusal) = 0;
};

class hedged_attempt final : public attempt_events {
public:
    // A server error whose body is longer than `window` bytes is not kept.
    hedged_attempt(peer_link& link, std::string target, std::size_t window,
                   copy_listener& listener);
    hedged_attempt(const hedged_attempt&) = delete;
    hedged_attempt& operator=(const hedged_attempt&) = delete;
    ~hedged_attempt() override = default;

    // Sends the copy. The listener may be called from within this call.
    void start(wire::attempt_begin begin);

    // Cancels the copy. The listener receives no further calls.
    void cancel();

    // Makes `events` the receiver of all further events of the copy.
    void hand_over(attempt_events& events);

    // A server error of the target, received whole or in part.
    struct server_error {
        wire::answer_head head_;
        std::string body_;
    };

    peer_link& link() const { return link_; }
    const std::string& target() const { return target_; }
    std::size_t window() const { return window_; }
    bool written() const { return written_; }
    policy::attempt_id id() const { return id_; }
    std::optional<server_error> take_failure() { return std::exchange(failure_, {}); }

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

private:
    peer_link& link_;
    std::string target_;
    std::size_t window_;
    copy_listener& listener_;
    // Valid once `written_` is set.
    policy::attempt_id id_;
    bool written_ = false;
    std::optional<server_error> failure_;
};

}  // namespace dandelionridge::node
