#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/command.h"
#include "cli/options.h"
#include "config/rule_parser.h"

namespace dandelionridge::cli {

int run_check(const std::vector<std::string>& arguments) {
    const poptOption table[] = {POPT_AUTOHELP POPT_TABLEEND};
    const auto operands = parse_options("check", arguments, table, "RULES");
    if (!operands) {
        return usage_error(operands.error().message_);
    }
    if (operands->size() != 1) {
        return usage_error("check takes one rule file; see 'dandelionridge check --help'");
    }
    const std::string& file = operands->front();
    std::ifstream input(file);
    if (!input) {
        return usage_error(file + ": cannot be opened; give the path of a readable file");
    }
    std::ostringstream text;
    text << input.rdbuf();
    const config::parsed_rules parsed = config::parse_rules(1, config::split_lines(text.str()));
    for (const config::rule_error& error : parsed.errors_) {
        std::cerr << file << ": " << config::to_string(error) << '\n';
    }
    if (parsed.rules_ == nullptr) {
        return exit_usage;
    }
    const config::rule_set& rules = *parsed.rules_;
    std::cout << file << ": " << rules.services_.size() << " services, " << rules.routes_.size()
              << " routes, " << rules.organisations_.size() << " organisations, "
              << rules.keys_.size() << " keys\n";
    return exit_ok;
}

}  // namespace dandelionridge::cli
