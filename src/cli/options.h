// Parses command lines with popt.
#pragma once

#include <popt.h>

#include <span>
#include <string>
#include <vector>

#include "base/error.h"

namespace dandelionridge::cli {

// Parses the arguments after the subcommand into the variables that `table` names, and returns the
// operands that remain. Returns a bad_argument error for an unknown or incomplete option. `table`
// must end with POPT_AUTOHELP and POPT_TABLEEND.
base::result<std::vector<std::string>> parse_options(const std::string& command,
                                                     const std::vector<std::string>& arguments,
                                                     const poptOption* table,
                                                     const std::string& usage);

// Prints an error as one line on standard error and returns exit_usage.
int usage_error(const std::string& message);

}  // namespace dandelionridge::cli
