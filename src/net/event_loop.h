// One thread's libwebsockets context: timers, an inbox for other threads, and pause detection.
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
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace dandelionridge::net {

// A loop that stood still for longer than this counts as paused.
inline constexpr base::duration pause_threshold = base::seconds(2);

// A loop that stood still for longer than this may have missed what others did in its place.
inline constexpr base::duration stall_threshold = base::milliseconds(500);

class timer;

// Owns the context. All sockets and timers of a task hang on its loop and are used from the thread
// that runs it; only post() may be called from another thread.
class event_loop {
public:
    // Ignores SIGPIPE for the process and quiets the library's own log.
    static base::result<std::unique_ptr<event_loop>> create(const base::runtime_clock& clock);

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // Serves until stop() is called.
    void run();

    // Serves one round of events, waiting for them if there are none.
    void run_once();

    // Makes run() return. Safe from any thread.
    void stop();

    // Runs a message on the loop's thread. Safe from any thread.
    void post(std::function<void()> task);

    // Runs a message after the present event.
    void defer(std::function<void()> task);

    // Runs what was deferred or posted so far, and what that defers.
    void run_deferred();

    lws_context* context() const { return context_; }
    lws_vhost* client_vhost() const { return client_vhost_; }
    const base::runtime_clock& clock() const { return clock_; }

    // Called when the loop finds that it stood still for longer than stall_threshold.
    void set_stall_handler(std::function<void()> listener) { stall_handler_ = std::move(listener); }

    // How many pauses of this process were found so far. Looks for a new one first.
    std::uint64_t pause_count();

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

    const base::runtime_clock& clock_;
    lws_context* context_ = nullptr;
    lws_vhost* client_vhost_ = nullptr;
    std::atomic<bool> stopped_ = false;
    std::mutex posted_tasks_mutex_;
    std::deque<std::function<void()>> posted_tasks_;
    // Timers in the order of their ends. One file descriptor wakes the loop for the first of them:
    // the library's own timers would make it spin through the last millisecond before each.
    std::multimap<base::instant, timer*> timers_;
    int timer_fd_ = -1;
    base::instant timer_fd_deadline_{};
    std::unique_ptr<timer> heartbeat_;
    base::instant last_heartbeat_;
    std::uint64_t pauses_ = 0;
    std::function<void()> stall_handler_;
};

// A one-shot timer on a loop. Cancelled when destroyed; may be restarted from its own callback.
class timer {
public:
    explicit timer(event_loop& loop);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

    // Calls `expired` once after `delay`; replaces what was set before.
    void start(base::duration delay, std::function<void()> expired);

    void cancel();

private:
    friend class event_loop;

    void expire();

    event_loop& loop_;
    std::optional<std::multimap<base::instant, timer*>::iterator> queue_position_;
    std::function<void()> callback_;
};

}  // namespace dandelionridge::net
