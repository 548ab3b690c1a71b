// Reads the fields of one rule line, each at most once, with a remedy for every mistake.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "config/rule_line.h"

namespace dandelionridge::config {

// Takes fields out of a line and keeps the first mistake.
class rule_fields {
public:
    explicit rule_fields(const rule_line& line);

    // Each returns the fallback if the key is absent or its value is wrong.
    std::string text(std::string_view key, const std::string& fallback);
    std::string required_text(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most,
                         std::int64_t fallback);
    std::int64_t required_integer(std::string_view key, std::int64_t least, std::int64_t most);
    // "10/s" or "2.5/s".
    double required_rate(std::string_view key);
    // "500ms", "2s" or "1m".
    base::duration duration(std::string_view key, base::duration fallback);
    // One of two words; true for the first.
    bool choice(std::string_view key, std::string_view yes, std::string_view no, bool fallback);
    // Comma-separated words.
    std::vector<std::string> words(std::string_view key, std::vector<std::string> fallback);

    // The first mistake; a key that was never asked for is one.
    std::optional<base::error> error() const;

private:
    const std::string* take(std::string_view key);
    void require(std::string_view key, bool present);
    void record_error(std::string message);

    const rule_line& line_;
    std::set<std::string, std::less<>> taken_;
    std::optional<base::error> error_;
};

// Parses "500ms", "2s" or "1m".
std::optional<base::duration> parse_duration(std::string_view text);

}  // namespace dandelionridge::config
