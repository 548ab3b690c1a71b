// Stands in for a target: it can be slow, wrong or silent, cut its answers, shed load or drain, and
// it counts its runs by request.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "net/http_server.h"
#include "support/loop_thread.h"

namespace dandelionridge::support {

enum class target_mode {
    normal,
    // Answers 500.
    server_error,
    // Never answers.
    hang,
    // Sheds load: answers 503 with Retry-After.
    shed,
    // Runs, then closes without an answer.
    close_after_run,
    // Names a longer body than it sends.
    truncated_body,
    // Ends a chunked body without its last chunk.
    truncated_chunked_body,
    // Sends more than the length it named.
    trailing_bytes,
};

struct target_behaviour {
    target_mode mode_ = target_mode::normal;
    base::duration delay_{};
    // Sends bodies in chunks, without a length.
    bool chunked_ = false;
};

// The body of a download at `path`: the same bytes at every target.
std::string download_bytes(const std::string& path, std::uint64_t from, std::uint64_t count);

class target_stub {
public:
    target_stub(std::string name, const base::address& address);
    target_stub(const target_stub&) = delete;
    target_stub& operator=(const target_stub&) = delete;
    ~target_stub();

    void set(target_behaviour behaviour);

    // Takes no new connection and ends what it runs.
    void drain();

    // Runs by request id, of requests that were received whole.
    std::map<std::string, int> runs() const;
    std::size_t total_runs() const;
    std::size_t max_in_flight() const { return max_in_flight_; }

    // Everything that was received: request lines, headers and bodies.
    std::string transcript() const;

    const std::string& name() const { return name_; }

private:
    friend class target_handler;

    void record_run(const std::string& request_id);
    void record_text(const std::string& text);

    std::string name_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::string transcript_;
    target_behaviour behaviour_;
    std::atomic<std::size_t> in_flight_ = 0;
    std::atomic<std::size_t> max_in_flight_ = 0;
    loop_thread thread_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace dandelionridge::support
