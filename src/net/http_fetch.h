// A GET request whose whole response is collected in memory.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace dandelionridge::net {

// The response to a fetch.
struct fetch_result {
    int status_ = 0;
    std::vector<http_header> headers_;
    std::string body_;
};

struct fetch_options {
    base::address server_;
    std::string path_;
    // Maximum size of the response's body, in bytes.
    std::size_t max_bytes_ = 2 * 1024 * 1024;
    // Time within which the response must begin. One that has begun may take longer, as long as it
    // does not pause for longer than `max_pause_`: on a full link a large response takes a while,
    // and a repeated request would add to the load.
    base::duration timeout_ = base::seconds(5);
    base::duration max_pause_ = base::seconds(1);
    // Time limit of the whole response from its beginning on.
    base::duration max_transfer_time_ = base::seconds(10);
    // Pool of connections to the same server; null if the fetch opens a connection of its own.
    http_client_pool* pool_ = nullptr;
};

// One fetch. Its destructor cancels it. It may be destroyed from within its callback.
class http_fetch final : public http_client_events {
public:
    // Called once with the response, or with an error if no complete response was received. Not
    // called if the fetch is destroyed earlier.
    using callback = std::function<void(base::result<fetch_result>)>;

    http_fetch(event_loop& loop, fetch_options options, callback done);
    http_fetch(const http_fetch&) = delete;
    http_fetch& operator=(const http_fetch&) = delete;
    ~http_fetch() override;

    void on_response(const http_response& response) override;
    void on_response_body(std::string_view bytes) override;
    void on_end(bool complete) override;
    void on_failed(client_failure failure) override;
    void on_request_sent(std::size_t bytes) override;

private:
    void start(base::duration max_idle_age);
    void on_progress();
    void check_progress();
    void finish(base::result<fetch_result> outcome);
    void fail(const std::string& problem);

    event_loop& loop_;
    fetch_options options_;
    callback done_;
    bool retried_ = false;
    fetch_result response_;
    // When the response began and when its last part arrived; empty before that.
    std::optional<base::instant> began_at_;
    std::optional<base::instant> received_at_;
    timer timeout_timer_;
    std::unique_ptr<http_client_request> request_;
};

}  // namespace dandelionridge::net
