// A stub of the platform's store, with items and revisions, paged ranges, watches, and injected
// faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
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
    // Never responds.
    silent,
    // Responds with a body that is not JSON.
    garbage,
};

class store_handler;

class store_stub {
public:
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

    // Sets the fault with which later calls are handled.
    void set_fault(store_fault fault);

    // Returns the paths and queries of the calls so far.
    std::vector<std::string> calls() const;

private:
    friend class store_handler;

    struct change {
        std::string key_;
        std::string value_;
        std::int64_t revision_ = 0;
        bool deleted_ = false;
    };

    void notify_watchers();

    loop_thread thread_;
    std::size_t page_items_;
    std::map<std::string, change> items_;
    std::deque<change> history_;
    std::int64_t revision_ = 10;
    std::int64_t compacted_revision_ = 0;
    store_fault fault_ = store_fault::none;
    std::set<store_handler*> watchers_;
    mutable std::mutex mutex_;
    std::vector<std::string> calls_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace dandelionridge::support
