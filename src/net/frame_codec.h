// Encodes and decodes the frames that processes exchange.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace dandelionridge::wire {
class frame;
}

namespace dandelionridge::net {

// Maximum size of a frame that is accepted, in bytes, without its length prefix.
inline constexpr std::size_t max_frame_bytes = 4 * 1024 * 1024;

// Returns the bytes of one frame: a 32-bit big-endian length, then the message in the compact
// protocol of Thrift.
std::string encode_frame(const wire::frame& frame);

// Collects received bytes and decodes the frames in them.
class frame_decoder {
public:
    // Adds the next bytes of the stream.
    void append(std::string_view bytes);

    // Returns the next frame, nothing if more bytes are needed, or an error if the frame is too
    // large or malformed. After an error the connection must be closed.
    base::result<std::optional<wire::frame>> next();

    // Returns the size in bytes, with its length prefix, of the frame that next() returned last.
    std::size_t last_frame_bytes() const { return last_frame_bytes_; }

private:
    std::string bytes_;
    // Start of the next frame in bytes_.
    std::size_t offset_ = 0;
    std::size_t last_frame_bytes_ = 0;
};

}  // namespace dandelionridge::net
