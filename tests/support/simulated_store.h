// The platform's store without sockets: its clients run real feeds on a clock that the test
// advances.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "platform/store_client.h"

namespace dandelionridge::support {

// What is wrong with the path of one client to the store.
enum class store_path {
    open,
    // Calls, also those that wait, get no response.
    silent,
    // Each call fails at once.
    resets,
    // Responses take longer.
    slow,
};

class simulated_store {
public:
    explicit simulated_store(const base::runtime_clock& clock) : clock_(clock) {}

    // Adds, replaces or deletes an item. Returns the revision.
    std::int64_t put(const std::string& key, const std::string& value);
    std::int64_t erase(const std::string& key);

    bool contains(const std::string& key) const { return items_.contains(key); }

    // Makes relaxed reads show the store as it was this long ago.
    void set_relaxed_lag(base::duration lag) { relaxed_lag_ = lag; }

    // Makes the path of all clients silent or open again, or fail.
    void set_path_of_all(store_path path) { path_of_all_ = path; }

    const base::runtime_clock& clock() const { return clock_; }
    store_path path_of_all() const { return path_of_all_; }

    // Returns the body of a response to a read of all items.
    const std::string& range_body();

    // Returns the body of a response to a watch of the changes after a revision, or nothing as long
    // as there are none. `waited`: the response is due also without changes.
    std::optional<std::string> watch_body(std::int64_t after, bool relaxed, bool waited) const;

private:
    struct change {
        std::string key_;
        std::string value_;
        std::int64_t revision_ = 0;
        bool deleted_ = false;
        base::instant written_at_{};
    };

    const base::runtime_clock& clock_;
    std::map<std::string, change> items_;
    std::deque<change> history_;
    std::int64_t revision_ = 0;
    base::duration relaxed_lag_{};
    store_path path_of_all_ = store_path::open;
    std::string range_body_;
    std::int64_t range_body_revision_ = -1;
};

// One process's calls to a simulated store.
class simulated_store_client final : public platform::store_client {
public:
    explicit simulated_store_client(simulated_store& store) : store_(store) {}

    void set_path(store_path path) { path_ = path; }

    // Number of calls so far with current reads.
    std::size_t current_calls() const { return current_calls_; }

    // Runs the timers that are due and delivers the response of the call if it is there. Not called
    // while the process stands still.
    void step();

    base::instant now() const override { return store_.clock().now(); }
    void call(const std::string& path, base::duration timeout,
              net::http_fetch::callback on_done) override;
    void start_timer(platform::feed_timer timer, base::duration delay,
                     std::function<void()> task) override;
    bool is_started(platform::feed_timer timer) const override;
    void cancel_timer(platform::feed_timer timer) override;

private:
    struct pending_call {
        std::string path_;
        base::instant started_at_{};
        base::duration timeout_{};
        net::http_fetch::callback on_done_;
    };
    struct pending_timer {
        base::instant due_{};
        std::function<void()> task_;
    };

    void step_timers();
    std::optional<base::result<net::fetch_result>> outcome_of(const pending_call& call);

    simulated_store& store_;
    store_path path_ = store_path::open;
    std::optional<pending_call> call_;
    std::array<std::optional<pending_timer>, platform::feed_timer_count> timers_;
    std::size_t current_calls_ = 0;
};

}  // namespace dandelionridge::support
