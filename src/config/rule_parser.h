// Makes a rule set of rule lines, or says of every wrong line what to do.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/rules.h"

namespace dandelionridge::config {

// A mistake in one line. Line 0 stands for the text as a whole.
struct rule_error {
    std::size_t line_ = 0;
    std::string message_;
};

// "line N: MESSAGE"
std::string to_string(const rule_error& mistake);

struct parsed_rules {
    // Null if there is any mistake.
    rules_ptr rules_;
    std::vector<rule_error> errors_;
};

// Parses the lines of one version. Line numbers count from 1.
parsed_rules parse_rules(std::int64_t version, std::span<const std::string> lines);

// The lines of a text, without their line ends.
std::vector<std::string> split_lines(std::string_view text);

}  // namespace dandelionridge::config
