// A stub of the platform: publishes versions, responds to reads and watches, and counts calls.
// Tests can make it unavailable or let it serve an outdated version.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "net/http_server.h"
#include "support/loop_thread.h"

namespace dandelionridge::support {

class platform_stub {
public:
    explicit platform_stub(const base::address& address);
    platform_stub(const platform_stub&) = delete;
    platform_stub& operator=(const platform_stub&) = delete;
    ~platform_stub();

    // Publishes a version of "rules" or "hosts", in parts of at most `part_lines` lines, and
    // notifies the watches.
    void publish(const std::string& value_name, std::int64_t version,
                 const std::vector<std::string>& lines, std::size_t part_lines = 1000);

    // While unavailable, every call is aborted without a response, including the open watches.
    void set_unavailable(bool unavailable);

    // Reverts a value to an earlier version, as a stale replica would serve it.
    void publish_stale(const std::string& value_name, std::int64_t version,
                       const std::vector<std::string>& lines);

    // While set, calls for parts get no response. Those that wait get one when it is unset.
    void hold_parts(bool hold);

    // Number of calls received so far.
    std::uint64_t calls() const { return calls_; }

private:
    friend class platform_handler;

    struct published_value {
        std::int64_t version_ = 0;
        std::string manifest_;
        std::map<std::string, std::string> parts_;
    };

    void set_value(const std::string& value_name, std::int64_t version,
                   const std::vector<std::string>& lines, std::size_t part_lines);

    std::atomic<std::uint64_t> calls_ = 0;
    loop_thread thread_;
    bool unavailable_ = false;
    bool parts_held_ = false;
    std::map<std::string, published_value> values_;
    // Handlers of calls that may still get their response.
    std::set<class platform_handler*> watchers_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace dandelionridge::support
