// Decides how far a connection reads ahead of the response that it sends, and which requests run
// before those ahead of them are answered.
#pragma once

#include <cstddef>

namespace dandelionridge::policy {

// Limits of one connection.
struct pipeline_limits {
    // Requests that are read and not answered yet. 1: a request is read once the response to the
    // one before it was sent.
    std::size_t requests_ = 1;
    // Bytes of requests and responses that wait for their turn.
    std::size_t bytes_ = 1024 * 1024;
};

// State of one connection, before its next request is read or started.
struct pipeline_state {
    // Requests that were read and are not answered yet.
    std::size_t requests_ = 0;
    // Bytes of requests and responses that wait for their turn.
    std::size_t held_bytes_ = 0;
    // The process has memory left for another request that runs ahead.
    bool process_has_room_ = true;
    // Each response ends its connection, because the server stops.
    bool closing_ = false;
};

// What is known of a request that is not the first of its connection.
struct pipelined_request {
    bool known_route_ = false;
    bool idempotent_ = false;
    bool has_body_ = false;
    // The caller sends the body once it is told to continue.
    bool expects_continue_ = false;
};

// Returns true if the connection may read another request. The first one is always read, so that
// each connection makes progress whatever the others hold.
bool may_read_next(const pipeline_limits& limits, const pipeline_state& state);

// Returns true if a request behind others may start in this state of its connection.
bool may_start_ahead(const pipeline_limits& limits, const pipeline_state& state);

// Returns true if a request is of a kind that may start before those ahead of it are answered.
bool may_run_ahead(const pipelined_request& request);

// Returns the number of bytes of a response that may wait for its turn. All responses that wait on
// one connection together stay within the limits.
std::size_t waiting_response_bytes(const pipeline_limits& limits);

}  // namespace dandelionridge::policy
