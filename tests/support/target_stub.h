// A stub of a target that counts its runs by request. Tests can make it respond slowly, wrongly or
// not at all, truncate its responses, shed load, or drain.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "net/http_server.h"
#include "support/loop_thread.h"

namespace dandelionridge::support {

enum class target_mode {
    normal,
    // Runs, then responds with 500.
    server_error,
    // Runs, then never responds.
    hang,
    // Sheds load: responds with 503 and Retry-After, without a run.
    shed,
    // Runs, then closes the connection without a response.
    close_after_run,
    // Does so with every second run, and responds to the others.
    close_every_other,
    // Closes the connection before it has sent as many bytes as content-length says.
    truncated_body,
    // Closes the connection before the last chunk of a chunked body.
    truncated_chunked_body,
    // Sends more bytes than content-length says.
    trailing_bytes,
    // Runs, then writes a refusal that names no request, as if an earlier one were repeated.
    stray_refusal,
    // Sends a body without end, until the caller closes the connection.
    endless_body,
    // The same, with status 500.
    endless_error,
    // The same, in a response that proves that the target made it.
    endless_valid_body,
};

struct target_behaviour {
    target_mode mode_ = target_mode::normal;
    // Time from the start of a run to its response.
    base::duration delay_{};
    // Sends bodies with chunked transfer coding, without content-length.
    bool chunked_ = false;
    // Further headers of every response but those of mode shed.
    std::vector<net::http_header> headers_{};
    // A run that would take longer than its request's x-deadline-ms ends then, with 504. The
    // response takes this time to arrive. Not set: the header is ignored.
    std::optional<base::duration> deadline_response_lag_{};
    // Responses repeat the x-request-id of their request, except in modes shed and stray_refusal.
    bool echoes_request_id_ = false;
};

// Returns a part of the body of the download at `path`, which is the same at every target.
std::string download_bytes(const std::string& path, std::uint64_t from, std::uint64_t count);

class target_stub {
public:
    target_stub(std::string name, const base::address& address);
    target_stub(const target_stub&) = delete;
    target_stub& operator=(const target_stub&) = delete;
    ~target_stub();

    // Sets the behaviour of runs that start from now on.
    void set(target_behaviour behaviour);

    // Stops accepting connections; requests that are running are completed.
    void drain();

    // Returns the number of runs by request id. A run starts when a request is received completely.
    std::map<std::string, int> runs() const;
    // Returns the number of runs of all requests.
    std::size_t total_runs() const;
    // Returns the times at which runs started, in order.
    std::vector<base::instant> run_times() const;
    // The number of requests in flight.
    std::size_t in_flight() const { return in_flight_; }
    // The highest number of requests in flight at the same time.
    std::size_t max_in_flight() const { return max_in_flight_; }

    // Returns everything that was received: request lines, headers and bodies.
    std::string transcript() const;

    const std::string& name() const { return name_; }

private:
    friend class target_handler;

    void record_run(const std::string& request_id);
    void record_text(const std::string& text);

    std::string name_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::vector<base::instant> run_times_;
    std::string transcript_;
    // Runs in mode close_every_other. Used only on the stub's thread.
    std::size_t alternating_runs_ = 0;
    target_behaviour behaviour_;
    std::atomic<std::size_t> in_flight_ = 0;
    std::atomic<std::size_t> max_in_flight_ = 0;
    loop_thread thread_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace dandelionridge::support
