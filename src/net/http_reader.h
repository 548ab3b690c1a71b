// Parses HTTP/1.1 messages from a stream of bytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::net {

// Receives the parts of one message. The reader must not be destroyed from within these calls.
class http_reader_events {
public:
    virtual ~http_reader_events() = default;

    // The head of a request. Called by request readers only.
    virtual void on_request_head(http_request&& request) = 0;

    // The head of a response. Called by response readers only. Interim (1xx) responses are skipped.
    virtual void on_response_head(http_response&& response) = 0;

    virtual void on_body_bytes(std::string_view bytes) = 0;
};

enum class read_state {
    // More bytes are needed.
    incomplete,
    // The message has ended. Further bytes belong to the next one.
    done,
    // The bytes are not a valid message of this kind.
    malformed,
    head_too_large,
    body_too_large,
};

// Maximum sizes of a message's head and body, in bytes.
struct read_limits {
    std::uint32_t head_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;
};

// Whether a response may have a body. The response to a HEAD request has none, whatever its headers
// say.
enum class response_body { expected, none };

// Reads one message.
class http_reader {
public:
    virtual ~http_reader() = default;

    // Reads the next bytes of the message. Returns how many of them belong to it.
    virtual std::size_t read(std::string_view bytes) = 0;

    // Signals that the peer sends no more bytes. Completes a response whose end is marked only by
    // the end of the connection.
    virtual void end_of_stream() = 0;

    virtual read_state state() const = 0;

    // Returns true once a byte of the message was read.
    virtual bool begun() const = 0;

    // Returns true if the connection may carry another message after this one.
    virtual bool is_keep_alive() const = 0;

    // Returns true if only the end of the connection marks the end of the message.
    virtual bool ends_at_close() const = 0;
};

std::unique_ptr<http_reader> make_request_reader(http_reader_events& events, read_limits limits);
std::unique_ptr<http_reader> make_response_reader(http_reader_events& events, read_limits limits,
                                                  response_body body);

// Returns the standard reason phrase of a status code.
std::string_view reason_phrase(int status);

}  // namespace dandelionridge::net
