#include "config/line_history.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>
#include <utility>

namespace dandelionridge::config {

namespace {

constexpr std::size_t max_changes = 64;

std::size_t bytes_of(const line_history::change& change) {
    return total_bytes(change.removed_) + total_bytes(change.added_);
}

}  // namespace

std::size_t total_bytes(const std::vector<std::string>& lines) {
    return std::accumulate(
        lines.begin(), lines.end(), std::size_t{0},
        [](std::size_t sum, const std::string& line) { return sum + line.size(); });
}

void record_change(line_history& history, const versioned_lines& from, const versioned_lines& to) {
    line_delta delta = make_delta(from, to);
    history.changes_.push_back(
        {from.version_, from.digest_, std::move(delta.removed_), std::move(delta.added_)});
    history.bytes_ += bytes_of(history.changes_.back());
    // Beyond that, sending all lines is as cheap.
    const std::size_t max_bytes = total_bytes(to.lines_);
    while (history.bytes_ > max_bytes || history.changes_.size() > max_changes) {
        history.bytes_ -= bytes_of(history.changes_.front());
        history.changes_.pop_front();
    }
}

std::optional<line_delta> delta_since(const line_history& history, std::int64_t version,
                                      std::optional<std::uint64_t> digest,
                                      const versioned_lines& to) {
    const auto is_base = [&](const line_history::change& change) {
        return digest ? change.digest_ == *digest : change.version_ == version;
    };
    // The lines may have been the same at several versions: the last one has the shortest way.
    const auto last = std::find_if(history.changes_.rbegin(), history.changes_.rend(), is_base);
    if (last == history.changes_.rend()) {
        return std::nullopt;
    }
    // How often a line was added more than it was removed: a line may come and go.
    std::map<std::string_view, int> balance;
    for (auto change = last.base() - 1; change != history.changes_.end(); ++change) {
        for (const std::string& line : change->removed_) {
            --balance[line];
        }
        for (const std::string& line : change->added_) {
            ++balance[line];
        }
    }
    line_delta delta{version, to.version_, {}, {}, to.digest_};
    for (const auto& [line, count] : balance) {
        if (count != 0) {
            (count < 0 ? delta.removed_ : delta.added_).emplace_back(line);
        }
    }
    return delta;
}

}  // namespace dandelionridge::config
