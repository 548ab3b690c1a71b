// Reads HTTP/1.1 messages out of a stream of bytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::net {

// Hears the parts of one message. The reader must not be destroyed from within these calls.
class http_reader_events {
public:
    virtual ~http_reader_events() = default;

    // The head of a request; called for request readers only.
    virtual void on_request_head(http_request&& request) = 0;

    // The head of an answer; called for answer readers only. Interim answers are passed over.
    virtual void on_response_head(http_response&& response) = 0;

    virtual void on_body_bytes(std::string_view bytes) = 0;
};

enum class read_state {
    // More bytes are needed.
    open,
    // The message has ended; what follows belongs to the next one.
    done,
    // The bytes are no message of this kind.
    malformed,
    head_too_large,
    body_too_large,
};

struct read_limits {
    std::uint32_t head_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;
};

// What a request was, as far as it decides where the answer to it ends.
enum class response_body { expected, none };

class http_reader {
public:
    virtual ~http_reader() = default;

    // Takes bytes of the message; returns how many belong to it.
    virtual std::size_t read(std::string_view bytes) = 0;

    // The peer sends no more. An answer that ends with its connection is then done.
    virtual void end_of_stream() = 0;

    virtual read_state state() const = 0;

    // True once a byte of the message was read.
    virtual bool begun() const = 0;

    // True if the connection may carry another message after this one.
    virtual bool is_keep_alive() const = 0;

    // True if only the end of the connection ends the message.
    virtual bool ends_at_close() const = 0;
};

std::unique_ptr<http_reader> make_request_reader(http_reader_events& events, read_limits limits);
std::unique_ptr<http_reader> make_response_reader(http_reader_events& events, read_limits limits,
                                                  response_body body);

// The usual phrase of a status.
std::string_view reason_phrase(int status);

}  // namespace dandelionridge::net
