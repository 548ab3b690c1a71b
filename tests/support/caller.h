// An HTTP client that plays the role of a caller. It keeps one connection alive through libcurl.
// Each request with a body gets a new connection, since libcurl resends a request silently when
// a reused connection turns out to be closed.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionridge::support {

struct caller_request {
    std::string method_ = "GET";
    // "HOST:PORT", then path and query, without the scheme.
    std::string url_;
    std::vector<std::string> headers_{};
    std::optional<std::string> body_{};
    long timeout_ms_ = 30'000;
    // If true, only the digest and size of the response body are kept.
    bool discard_body_ = false;
    // Set when the first byte of the response body arrives, for tests that act during a response.
    std::shared_ptr<std::atomic<bool>> body_started_ = std::make_shared<std::atomic<bool>>(false);
};

struct caller_response {
    // False if the connection closed before the response was complete.
    bool complete_ = false;
    // True if caller_request::timeout_ms_ elapsed before the response was complete.
    bool timed_out_ = false;
    // True if no connection could be established, so that no request was sent.
    bool connect_failed_ = false;
    int status_ = 0;
    // Keyed by lower-case name.
    std::map<std::string, std::string> headers_;
    std::string body_;
    std::uint64_t body_bytes_ = 0;
    std::string body_sha256_;

    // Returns the value of a header, named in lower case, or "" if the response has none.
    std::string header(const std::string& name) const;
    // "not_run", "unknown", or empty for a response of a target.
    std::string outcome() const { return header("x-dandelionridge-outcome"); }
    std::string reason() const { return header("x-dandelionridge-reason"); }
};

class caller {
public:
    caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller();

    // Sends a request and blocks until the response is complete or has failed.
    caller_response send(const caller_request& request);

private:
    void* handle_;
};

// Returns the digest, in hex, to compare with caller_response::body_sha256_.
std::string sha256_of(const std::string& bytes);

}  // namespace dandelionridge::support
