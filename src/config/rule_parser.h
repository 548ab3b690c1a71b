// Parses rule lines into a rule set, or reports an error with a remedy for every invalid line.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/rules.h"

namespace dandelionridge::config {

// An error in one line. Line 0 stands for the rules as a whole.
struct rule_error {
    std::size_t line_ = 0;
    std::string message_;
};

// Returns "line N: MESSAGE", or only the message for line 0.
std::string to_string(const rule_error& error);

struct parsed_rules {
    // Null if there is any error.
    rules_ptr rules_;
    std::vector<rule_error> errors_;
};

// Parses the lines of one version. Line numbers count from 1.
parsed_rules parse_rules(std::int64_t version, std::span<const std::string> lines);

// Splits a text into its lines, without their line ends.
std::vector<std::string> split_lines(std::string_view text);

}  // namespace dandelionridge::config
