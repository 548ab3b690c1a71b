// Stand-in of the platform's store: items with revisions, ranges in pages, watches, and faults.
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
    // Answers 503, 429, or closes the connection.
    unavailable,
    over_rate,
    reset,
    // Never answers.
    silent,
    // Answers what is no JSON.
    garbage,
};

class store_handler;

class store_stub {
public:
    explicit store_stub(const base::address& address, std::size_t page_items = 500);
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;
    ~store_stub();

    void put(const std::string& key, const std::string& value);
    void drop(const std::string& key);

    // Forgets the history up to now: watches from earlier revisions get 410.
    void compact();

    void set_fault(store_fault fault);

    // Paths of the calls so far.
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
