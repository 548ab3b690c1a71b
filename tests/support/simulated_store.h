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
#include <vector>

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

class simulated_store_client;

class simulated_store {
public:
    explicit simulated_store(const base::runtime_clock& clock) : clock_(clock) {}

    // Adds, replaces or deletes an item. Returns the revision.
    std::int64_t put(const std::string& key, const std::string& value);
    std::int64_t erase(const std::string& key);

    bool contains(const std::string& key) const { return items_.contains(key); }

    // Makes relaxed reads show the store as it was this long ago.
    void set_relaxed_lag(base::duration lag) { relaxed_lag_ = lag; }

    // Makes responses take time: all that are on their way share the store's link evenly, as far as
    // the clients' links allow. Without this they arrive at once.
    void set_link_rate(double bytes_per_second) { link_rate_ = bytes_per_second; }
    bool has_link_rate() const { return link_rate_ > 0; }

    // Carries what the links take in this time. Called once a tick.
    void transfer(base::duration tick);

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
    friend class simulated_store_client;

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
    double link_rate_ = 0;
    std::vector<simulated_store_client*> clients_;
};

// One process's calls to a simulated store.
class simulated_store_client final : public platform::store_client {
public:
    // `link_rate`: what this client's link carries, in bytes per second.
    simulated_store_client(simulated_store& store, double link_rate);
    simulated_store_client(const simulated_store_client&) = delete;
    simulated_store_client& operator=(const simulated_store_client&) = delete;
    ~simulated_store_client() override;

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

    // Bytes of the response on its way that have not arrived yet.
    double bytes_left() const { return call_ ? call_->bytes_left_ : 0; }
    double link_rate() const { return link_rate_; }
    void receive(double bytes);

private:
    struct pending_call {
        std::string path_;
        base::instant started_at_{};
        base::duration timeout_{};
        net::http_fetch::callback on_done_;
        // The response on its way, and what of it has not arrived yet.
        std::optional<std::string> body_;
        double bytes_left_ = 0;
        base::instant received_at_{};
    };
    struct pending_timer {
        base::instant due_{};
        std::function<void()> task_;
    };

    void step_timers();
    std::optional<base::result<net::fetch_result>> outcome_of(pending_call& call);
    std::optional<std::string> response_body(const pending_call& call);

    simulated_store& store_;
    double link_rate_ = 0;
    store_path path_ = store_path::open;
    std::optional<pending_call> call_;
    std::array<std::optional<pending_timer>, platform::feed_timer_count> timers_;
    std::size_t current_calls_ = 0;
};

}  // namespace dandelionridge::support
