// A caller: one keep-alive HTTP connection, by libcurl. Requests with a body get a connection of
// their own, since libcurl sends again by itself when a kept one turns out to be dead.
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
    // Host and port, then path and query.
    std::string url_;
    std::vector<std::string> headers_{};
    std::optional<std::string> body_{};
    long timeout_ms_ = 30'000;
    // Keeps only the digest and size of the answer's body.
    bool discard_body_ = false;
    // Set once the first byte of an answer's body is here, for tests that act in its middle.
    std::shared_ptr<std::atomic<bool>> response_began_ = std::make_shared<std::atomic<bool>>(false);
};

struct caller_response {
    // False if the connection broke before the answer was whole.
    bool complete_ = false;
    // The caller's own patience ended first.
    bool timed_out_ = false;
    // No connection could be made: nothing was asked.
    bool connect_failed_ = false;
    int status_ = 0;
    // Lower-case names.
    std::map<std::string, std::string> headers_;
    std::string body_;
    std::uint64_t body_bytes_ = 0;
    std::string body_sha256_;

    std::string header(const std::string& name) const;
    // "not_run", "unknown", or empty for a target's answer.
    std::string outcome() const { return header("x-dandelionridge-outcome"); }
    std::string reason() const { return header("x-dandelionridge-reason"); }
};

class caller {
public:
    caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller();

    caller_response send(const caller_request& request);

private:
    void* handle_;
};

// The digest that an answer with these bytes must have.
std::string sha256_of(const std::string& bytes);

}  // namespace dandelionridge::support
