// The last changes of a configuration value, so that a peer with one of its last versions can be
// sent what has changed since then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "config/versioned_lines.h"

namespace dandelionridge::config {

struct line_history {
    // A change from the lines of this version and digest to those of the next entry.
    struct change {
        std::int64_t version_ = 0;
        std::uint64_t digest_ = 0;
        std::vector<std::string> removed_;
        std::vector<std::string> added_;
    };

    // Oldest first.
    std::deque<change> changes_;
    // Bytes of all their lines.
    std::size_t bytes_ = 0;
};

// Returns the number of bytes in the lines.
std::size_t total_bytes(const std::vector<std::string>& lines);

// Records a change. The oldest changes are forgotten once all of them are larger than `to`.
void record_change(line_history& history, const versioned_lines& from, const versioned_lines& to);

// Returns the delta to `to`, the lines after the last change, from the lines with this digest, or
// of this version if the digest is not known. Empty if these are not in the history.
std::optional<line_delta> delta_since(const line_history& history, std::int64_t version,
                                      std::optional<std::uint64_t> digest,
                                      const versioned_lines& to);

}  // namespace dandelionridge::config
