#include "config/versioned_lines.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "base/hash.h"
#include "config/rule_line.h"

namespace dandelionridge::config {

namespace {

// The digest is a sum, so that it does not depend on the order of the lines.
std::uint64_t digest_of(const std::vector<std::string>& lines) {
    return std::accumulate(
        lines.begin(), lines.end(), std::uint64_t{0},
        [](std::uint64_t sum, const std::string& line) { return sum + base::digest64(line); });
}

}  // namespace

versioned_lines make_versioned_lines(std::int64_t version, std::vector<std::string> lines) {
    lines.erase(std::remove_if(lines.begin(), lines.end(),
                               [](const std::string& line) { return is_blank_line(line); }),
                lines.end());
    std::sort(lines.begin(), lines.end());
    lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
    const std::uint64_t digest = digest_of(lines);
    return {version, std::move(lines), digest};
}

line_delta make_delta(const versioned_lines& from, const versioned_lines& to) {
    line_delta delta{from.version_, to.version_, {}, {}, to.digest_};
    std::set_difference(from.lines_.begin(), from.lines_.end(), to.lines_.begin(), to.lines_.end(),
                        std::back_inserter(delta.removed_));
    std::set_difference(to.lines_.begin(), to.lines_.end(), from.lines_.begin(), from.lines_.end(),
                        std::back_inserter(delta.added_));
    return delta;
}

base::result<versioned_lines> apply_delta(const versioned_lines& base, const line_delta& delta) {
    if (base.version_ != delta.base_) {
        return base::fail(base::error_kind::protocol,
                          "the delta is based on version " + std::to_string(delta.base_) +
                              ", not " + std::to_string(base.version_) + "; request all lines");
    }
    std::vector<std::string> removed = delta.removed_;
    std::vector<std::string> added = delta.added_;
    std::sort(removed.begin(), removed.end());
    std::sort(added.begin(), added.end());
    std::vector<std::string> kept;
    kept.reserve(base.lines_.size() + added.size());
    std::set_difference(base.lines_.begin(), base.lines_.end(), removed.begin(), removed.end(),
                        std::back_inserter(kept));
    versioned_lines changed;
    changed.version_ = delta.version_;
    changed.lines_.reserve(kept.size() + added.size());
    std::set_union(kept.begin(), kept.end(), added.begin(), added.end(),
                   std::back_inserter(changed.lines_));
    changed.digest_ = digest_of(changed.lines_);
    if (changed.digest_ != delta.digest_) {
        return base::fail(base::error_kind::protocol,
                          "the result of the delta to version " + std::to_string(delta.version_) +
                              " does not match its digest; request all lines");
    }
    return changed;
}

}  // namespace dandelionridge::config
