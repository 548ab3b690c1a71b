// Turns messages between processes into bytes and back.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace dandelionridge::wire {
class frame;
}

namespace dandelionridge::net {

// Longest frame that is accepted, in bytes without its length.
inline constexpr std::size_t max_frame_bytes = 4 * 1024 * 1024;

// The bytes of one frame: a 32-bit big-endian length, then the compact encoding.
std::string encode_frame(const wire::frame& frame);

// Collects bytes and hands out the frames in them.
class frame_decoder {
public:
    void append(std::string_view bytes);

    // The next whole frame, nothing if more bytes are needed, or an error after which the
    // connection must be closed.
    base::result<std::optional<wire::frame>> next();

private:
    std::string bytes_;
    std::size_t offset_ = 0;
};

}  // namespace dandelionridge::net
