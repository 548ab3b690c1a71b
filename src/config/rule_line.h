// The grammar of one rule line: `verb name key=value ... # requester`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace dandelionridge::config {

struct rule_field {
    std::string key_;
    std::string value_;
};

struct rule_line {
    std::string verb_;
    std::string name_;
    std::vector<rule_field> fields_;
    // Who requested the rule. Never empty.
    std::string comment_;
};

// Returns true for a line without a rule: empty, or with a comment only.
bool is_blank_line(std::string_view line);

// Splits a line that is not blank. Returns an error if it does not conform to the grammar.
base::result<rule_line> parse_rule_line(std::string_view line);

}  // namespace dandelionridge::config
