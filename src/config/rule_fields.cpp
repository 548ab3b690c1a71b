#include "config/rule_fields.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace dandelionridge::config {

namespace {

constexpr double max_rate_per_s = 1e6;

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_rate(std::string_view text) {
    constexpr std::string_view unit = "/s";
    if (!text.ends_with(unit)) {
        return std::nullopt;
    }
    text.remove_suffix(unit.size());
    double value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool fully_parsed = code == std::errc() && end == text.data() + text.size();
    if (!fully_parsed || !std::isfinite(value) || value <= 0 || value > max_rate_per_s) {
        return std::nullopt;
    }
    return value;
}

// Parses digits with at most one decimal point. Signs and exponents are not allowed.
std::optional<double> parse_decimal(std::string_view text) {
    double value = 0;
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool starts_with_digit = !text.empty() && text.front() >= '0' && text.front() <= '9';
    const bool whole = code == std::errc() && end == text.data() + text.size();
    return starts_with_digit && whole ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<base::duration> parse_duration(std::string_view text) {
    struct unit {
        std::string_view suffix_;
        base::duration length_;
    };
    static constexpr unit units[] = {
        {"ms", base::milliseconds(1)},
        {"s", base::seconds(1)},
        {"m", std::chrono::minutes(1)},
    };
    for (const unit& known_unit : units) {
        if (!text.ends_with(known_unit.suffix_)) {
            continue;
        }
        const auto count = parse_decimal(text.substr(0, text.size() - known_unit.suffix_.size()));
        if (!count || *count <= 0 || *count > 1'000'000) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<base::duration>(*count * known_unit.length_);
    }
    return std::nullopt;
}

rule_fields::rule_fields(const rule_line& line) : line_(line) {
    std::set<std::string, std::less<>> seen;
    for (const rule_field& field : line.fields_) {
        if (!seen.insert(field.key_).second) {
            record_error("'" + field.key_ + "' occurs twice; keep one");
        }
    }
}

const std::string* rule_fields::find_value(std::string_view key) {
    known_keys_.emplace(key);
    for (const rule_field& field : line_.fields_) {
        if (field.key_ == key) {
            return &field.value_;
        }
    }
    return nullptr;
}

void rule_fields::record_error(std::string message) {
    if (!error_) {
        error_ = base::error{base::error_kind::bad_rules, std::move(message)};
    }
}

void rule_fields::require(std::string_view key, bool present) {
    if (!present) {
        record_error("'" + std::string(key) + "' is missing; add " + std::string(key) + "=VALUE");
    }
}

std::string rule_fields::text(std::string_view key, const std::string& fallback) {
    const std::string* value = find_value(key);
    return value == nullptr ? fallback : *value;
}

std::string rule_fields::required_text(std::string_view key) {
    const std::string* value = find_value(key);
    require(key, value != nullptr);
    return value == nullptr ? "" : *value;
}

std::int64_t rule_fields::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                  std::int64_t fallback) {
    const std::string* value = find_value(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto number = parse_integer(*value);
    if (!number || *number < min || *number > max) {
        record_error("'" + std::string(key) + "=" + *value +
                     "' is out of range; use a whole number " + "from " + std::to_string(min) +
                     " to " + std::to_string(max));
        return fallback;
    }
    return *number;
}

std::int64_t rule_fields::required_integer(std::string_view key, std::int64_t min,
                                           std::int64_t max) {
    require(key, find_value(key) != nullptr);
    return integer(key, min, max, min);
}

double rule_fields::required_rate(std::string_view key) {
    const std::string* value = find_value(key);
    require(key, value != nullptr);
    const auto rate = value == nullptr ? std::nullopt : parse_rate(*value);
    if (value != nullptr && !rate) {
        record_error("'" + std::string(key) + "=" + *value + "' is not a rate; write it like 10/s");
    }
    return rate.value_or(1);
}

double rule_fields::rate(std::string_view key, double fallback) {
    return find_value(key) == nullptr ? fallback : required_rate(key);
}

base::duration rule_fields::duration(std::string_view key, base::duration fallback) {
    const std::string* value = find_value(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto parsed = parse_duration(*value);
    if (!parsed) {
        record_error("'" + std::string(key) + "=" + *value +
                     "' is not a duration; write it like 500ms, 2s or 1m");
    }
    return parsed.value_or(fallback);
}

bool rule_fields::choice(std::string_view key, std::string_view true_word,
                         std::string_view false_word, bool fallback) {
    const std::string* value = find_value(key);
    if (value == nullptr) {
        return fallback;
    }
    if (*value != true_word && *value != false_word) {
        record_error("'" + std::string(key) + "=" + *value + "' is not a known value; use " +
                     std::string(true_word) + " or " + std::string(false_word));
    }
    return *value == true_word;
}

std::vector<std::string> rule_fields::words(std::string_view key,
                                            std::vector<std::string> fallback) {
    const std::string* value = find_value(key);
    if (value == nullptr) {
        return fallback;
    }
    std::vector<std::string> values;
    std::istringstream stream(*value);
    std::string word;
    while (std::getline(stream, word, ',')) {
        values.push_back(word);
    }
    return values;
}

std::optional<base::error> rule_fields::error() const {
    if (error_) {
        return error_;
    }
    for (const rule_field& field : line_.fields_) {
        if (!known_keys_.contains(field.key_)) {
            return base::error{
                base::error_kind::bad_rules,
                "'" + field.key_ + "' is not a key of '" + line_.verb_ + "'; remove it"};
        }
    }
    return std::nullopt;
}

}  // namespace dandelionridge::config
