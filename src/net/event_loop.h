// Event loop of one thread, built on a libwebsockets context: sockets, timers, tasks posted by
// other threads, and detection of pauses of the process.
#pragma once

#include <libwebsockets.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace dandelionridge::net {

// The process counts as paused if its loop did not run for longer than this.
inline constexpr base::duration pause_threshold = base::seconds(2);

// If the loop did not run for longer than this, other hosts may have acted in its place without its
// knowledge.
inline constexpr base::duration stall_threshold = base::milliseconds(500);

class timer;

// Receives the pauses of the process that the loop finds.
class pause_listener {
public:
    virtual ~pause_listener() = default;

    // The process was paused. Called once for each pause, from the loop and not from within another
    // call. Listeners may be added and removed during the call.
    virtual void on_pause() = 0;
};

// Owns the libwebsockets context. Sockets and timers belong to one loop and may be used only from
// the thread that runs it. Only post() and stop() may be called from other threads.
class event_loop {
public:
    // Creates a loop. Ignores SIGPIPE for the whole process and silences the log of libwebsockets.
    // Returns an error if the system lacks descriptors or memory.
    static base::result<std::unique_ptr<event_loop>> create(const base::runtime_clock& clock);

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // Processes events until stop() is called.
    void run();

    // Processes one round of events. Waits if there are none.
    void run_once();

    // Makes run() return. Thread-safe.
    void stop();

    // Runs a task on the loop's thread. Thread-safe.
    void post(std::function<void()> task);

    // Runs a task after the current event.
    void defer(std::function<void()> task);

    // Runs the tasks deferred or posted so far, and those that they defer in turn.
    void run_deferred();

    lws_context* context() const { return context_; }
    lws_vhost* client_vhost() const { return client_vhost_; }
    const base::runtime_clock& clock() const { return clock_; }

    // Sets the handler that is called when the loop finds that it did not run for longer than
    // stall_threshold. It may be called twice for one stall.
    void set_stall_handler(std::function<void()> handler) { stall_handler_ = std::move(handler); }

    // Returns the number of pauses of this process found so far. Checks for a new pause first. If
    // it finds one, it calls the stall handler, and the pause listeners after the current event.
    std::uint64_t pause_count();

    // A listener must be removed before it is destroyed.
    void add_pause_listener(pause_listener& listener) { pause_listeners_.insert(&listener); }
    void remove_pause_listener(pause_listener& listener) { pause_listeners_.erase(&listener); }

private:
    friend class timer;
    friend int on_timer_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                              std::size_t length);

    explicit event_loop(const base::runtime_clock& clock);
    void run_posted_tasks();
    bool open_timer_fd();
    void arm_timer_fd();
    void on_timer_fd();
    void on_heartbeat();
    void notify_pause_listeners();

    const base::runtime_clock& clock_;
    lws_context* context_ = nullptr;
    lws_vhost* client_vhost_ = nullptr;
    std::atomic<bool> stopped_ = false;
    std::mutex posted_tasks_mutex_;
    std::deque<std::function<void()>> posted_tasks_;
    // Running timers, ordered by expiry. One timer descriptor wakes the loop for the first of them:
    // the timers of libwebsockets would busy-wait during the last millisecond before each expiry.
    std::multimap<base::instant, timer*> timers_;
    int timer_fd_ = -1;
    // Expiry that timer_fd_ is armed for; zero if none.
    base::instant timer_fd_deadline_{};
    std::unique_ptr<timer> heartbeat_;
    base::instant last_heartbeat_;
    std::uint64_t pauses_ = 0;
    std::set<pause_listener*> pause_listeners_;
    std::function<void()> stall_handler_;
};

// A one-shot timer on a loop. Its destructor cancels it. It may be restarted from its own callback.
class timer {
public:
    explicit timer(event_loop& loop);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

    // Calls `on_expired` once after `delay`. Replaces an earlier start that has not expired yet.
    void start(base::duration delay, std::function<void()> on_expired);

    // Stops the timer. Its callback is not called any more.
    void cancel();

    // Returns true if the timer was started and has neither expired nor been cancelled since.
    bool is_running() const { return queue_position_.has_value(); }

private:
    friend class event_loop;

    void expire();

    event_loop& loop_;
    // Position in the loop's timers_; not set while the timer is not running.
    std::optional<std::multimap<base::instant, timer*>::iterator> queue_position_;
    std::function<void()> callback_;
};

}  // namespace dandelionridge::net
