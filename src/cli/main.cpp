#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/command.h"
#include "cli/options.h"

namespace {

using namespace dandelionridge;

struct subcommand {
    std::string_view name_;
    std::string_view summary_;
    int (*run_)(const std::vector<std::string>&);
};

constexpr std::array<subcommand, 2> subcommands = {{
    {"serve", "serve --config FILE   run the process of this host", cli::run_serve},
    {"check", "check RULES           check a rule file", cli::run_check},
}};

void print_help() {
    std::cout << "usage: dandelionridge SUBCOMMAND ...\n\n";
    for (const subcommand& candidate : subcommands) {
        std::cout << "  " << candidate.summary_ << '\n';
    }
    std::cout << "  --help                this text\n  --version             the version\n";
}

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        return cli::usage_error("no subcommand given; see 'dandelionridge --help'");
    }
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h") {
        print_help();
        return cli::exit_ok;
    }
    if (name == "--version") {
        std::cout << "dandelionridge " << DANDELIONRIDGE_VERSION << '\n';
        return cli::exit_ok;
    }
    for (const subcommand& candidate : subcommands) {
        if (candidate.name_ == name) {
            return candidate.run_({arguments.begin() + 1, arguments.end()});
        }
    }
    return cli::usage_error("'" + name + "' is not a subcommand; see 'dandelionridge --help'");
}
