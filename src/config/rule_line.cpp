#include "config/rule_line.h"

#include <sstream>

namespace dandelionridge::config {

namespace {

constexpr std::string_view whitespace = " \t\r";

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

}  // namespace

bool is_blank_line(std::string_view line) {
    line = trim(line);
    return line.empty() || line.front() == '#';
}

base::result<rule_line> parse_rule_line(std::string_view line) {
    const auto reject = [](std::string message) {
        return base::fail(base::error_kind::bad_rules, std::move(message));
    };
    const std::size_t comment_start = line.find('#');
    rule_line parsed;
    if (comment_start != std::string_view::npos) {
        parsed.comment_ = trim(line.substr(comment_start + 1));
    }
    if (parsed.comment_.empty()) {
        return reject("the line names nobody as its requester; end it with '# REQUESTER'");
    }
    std::istringstream words{std::string(line.substr(0, comment_start))};
    if (!(words >> parsed.verb_ >> parsed.name_) || parsed.name_.find('=') != std::string::npos) {
        return reject("the line has no name; write 'VERB NAME KEY=VALUE ... # REQUESTER'");
    }
    std::string word;
    while (words >> word) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == word.size()) {
            return reject("'" + word + "' is not KEY=VALUE; give the key a value");
        }
        parsed.fields_.push_back({word.substr(0, equals), word.substr(equals + 1)});
    }
    return parsed;
}

}  // namespace dandelionridge::config
