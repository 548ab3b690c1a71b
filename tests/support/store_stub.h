// A stub of the platform's store, with items and revisions, paged ranges, watches, and injected
// faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "support/loop_thread.h"

namespace dandelionridge::support {

enum class store_fault {
    none,
    // Responds with 503.
    unavailable,
    // Responds with 429.
    over_rate,
    // Closes the connection without a response.
    reset,
    // Never responds, not to calls that wait either.
    silent,
    // Responds with a body that is not JSON.
    garbage,
};

class store_handler;

class store_stub {
    struct change {
        std::string key_;
        std::string value_;
        std::int64_t revision_ = 0;
        bool deleted_ = false;
        base::instant written_at_{};
    };

public:
    // Content, history and revision of a store at one time.
    struct copy {
        std::map<std::string, change> items_;
        std::deque<change> history_;
        std::int64_t revision_ = 10;
        std::int64_t compacted_revision_ = 0;
    };
    // Keys and values that are written one after the other.
    using writes = std::vector<std::pair<std::string, std::string>>;

    explicit store_stub(const base::address& address, std::size_t page_items = 500);
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;
    ~store_stub();

    // Adds or replaces an item, at the next revision.
    void put(const std::string& key, const std::string& value);
    // Deletes an item, at the next revision.
    void erase(const std::string& key);

    // Discards the history so far. Watches from earlier revisions get a 410 response.
    void compact();

    copy make_copy();

    // Goes back to a copy, in the next era, and then makes the given writes. Watches that wait go
    // on.
    void restore(const copy& source, const writes& rewritten = {});

    // Restores a copy just before the response to the next page that is not the first one.
    void restore_at_next_page(const copy& source);

    // Makes later responses name this era instead of the store's own; empty: its own again.
    void set_named_era(const std::string& era);

    // Sets the fault with which later calls are handled.
    void set_fault(store_fault fault);

    // Makes relaxed watches show the store as it was this long ago.
    void set_relaxed_lag(base::duration lag);

    // Returns the paths and queries of the calls so far.
    std::vector<std::string> calls() const;

private:
    friend class store_handler;

    void write(const std::string& key, const std::string& value);
    void go_back_to(const copy& source);
    void notify_watchers();

    loop_thread thread_;
    std::size_t page_items_;
    copy state_;
    std::int64_t era_ = 1;
    // Era that responses name instead of era_; empty without one.
    std::string named_era_;
    std::optional<copy> restored_at_next_page_;
    store_fault fault_ = store_fault::none;
    base::duration relaxed_lag_{};
    std::set<store_handler*> watchers_;
    mutable std::mutex mutex_;
    std::vector<std::string> calls_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace dandelionridge::support
