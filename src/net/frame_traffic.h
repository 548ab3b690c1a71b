// Counts the bytes that this process exchanges with its peers, by kind of frame.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dandelionridge::wire {
class frame;
}

namespace dandelionridge::net {

// What a frame is about.
enum class frame_kind {
    // Attempts, their responses and the queries of their status.
    request,
    // Opening a link, and showing that the peer is alive.
    liveness,
    // Rules, host lists and the versions that peers hold.
    configuration,
    quota,
    // Reports on hosts that do not answer.
    membership,
    other,
};

inline constexpr std::size_t frame_kind_count = 6;

// Returns the kind of a frame.
frame_kind kind_of(const wire::frame& frame);

// Returns the name of a kind for logs and metrics.
std::string_view to_text(frame_kind kind);

// Bytes of frames with their length prefixes, indexed by frame_kind.
using bytes_by_kind = std::array<std::uint64_t, frame_kind_count>;

struct frame_traffic {
    // Frames that were queued for sending; the end of a connection may have discarded some.
    bytes_by_kind sent_{};
    bytes_by_kind received_{};
};

// Adds a frame of that size to the bytes of its kind.
void count_frame(bytes_by_kind& bytes, const wire::frame& frame, std::size_t frame_bytes);

}  // namespace dandelionridge::net
