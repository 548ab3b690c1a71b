// Reads the fields of one rule line. Each field may occur once; every error states a remedy.
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

// Looks up the fields of a line and keeps the first error.
class rule_fields {
public:
    explicit rule_fields(const rule_line& line);

    // Each returns the fallback if the key is absent. An invalid value or a missing required key is
    // recorded as an error, and the value returned must not be used.
    std::string text(std::string_view key, const std::string& fallback);
    std::string required_text(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max,
                         std::int64_t fallback);
    std::int64_t required_integer(std::string_view key, std::int64_t min, std::int64_t max);
    // Reads a rate such as "10/s" or "2.5/s", in requests per second.
    double required_rate(std::string_view key);
    double rate(std::string_view key, double fallback);
    // Reads a duration such as "500ms", "2s" or "1m".
    base::duration duration(std::string_view key, base::duration fallback);
    // Returns true for the first of two words, false for the second.
    bool choice(std::string_view key, std::string_view true_word, std::string_view false_word,
                bool fallback);
    // Returns the words of a comma-separated list.
    std::vector<std::string> words(std::string_view key, std::vector<std::string> fallback);

    // Returns the first error. A key of the line that no call has looked up is an error too.
    std::optional<base::error> error() const;

private:
    const std::string* find_value(std::string_view key);
    void require(std::string_view key, bool present);
    void record_error(std::string message);

    const rule_line& line_;
    std::set<std::string, std::less<>> known_keys_;
    std::optional<base::error> error_;
};

// Parses "500ms", "2s" or "1m".
std::optional<base::duration> parse_duration(std::string_view text);

}  // namespace dandelionridge::config
