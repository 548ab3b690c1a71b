#include "cli/options.h"

#include <iostream>
#include <memory>

#include "cli/command.h"

namespace dandelionridge::cli {

namespace {

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

}  // namespace

base::result<std::vector<std::string>> parse_options(const std::string& command,
                                                     const std::vector<std::string>& arguments,
                                                     const poptOption* table,
                                                     const std::string& usage) {
    const std::string name = "dandelionridge " + command;
    std::vector<const char*> argv = {name.c_str()};
    for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const context_ptr context(
        poptGetContext(name.c_str(), static_cast<int>(argv.size()), argv.data(), table, 0));
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        return base::fail(base::error_kind::bad_argument,
                          std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                              poptStrerror(code) + "; see '" + name + " --help'");
    }
    std::vector<std::string> operands;
    while (const char* operand = poptGetArg(context.get())) {
        operands.emplace_back(operand);
    }
    return operands;
}

int usage_error(const std::string& message) {
    std::cerr << "dandelionridge: " << message << '\n';
    return exit_usage;
}

}  // namespace dandelionridge::cli
