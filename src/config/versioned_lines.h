// A configuration value as a versioned set of lines, and deltas between its versions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"

namespace dandelionridge::config {

// The order of lines has no meaning, so they are kept sorted, without blank or repeated ones.
struct versioned_lines {
    std::int64_t version_ = 0;
    std::vector<std::string> lines_;
    // Digest of the lines; does not depend on their order.
    std::uint64_t digest_ = 0;
};

// The lines to remove from version base_ and to add to it to get version version_.
struct line_delta {
    // 0: the delta starts from no lines.
    std::int64_t base_ = 0;
    std::int64_t version_ = 0;
    std::vector<std::string> removed_;
    std::vector<std::string> added_;
    // Digest of the lines after the change.
    std::uint64_t digest_ = 0;
};

// Builds a version: sorts the lines and drops blank and repeated ones.
versioned_lines make_versioned_lines(std::int64_t version, std::vector<std::string> lines);

// Returns the delta between two versions. If `from` is default-constructed, the base is 0.
line_delta make_delta(const versioned_lines& from, const versioned_lines& to);

// Returns the new version, or an error if the delta has another base or the result does not match
// the delta's digest.
base::result<versioned_lines> apply_delta(const versioned_lines& base, const line_delta& delta);

}  // namespace dandelionridge::config
