// The subcommands of the program. Each returns the exit status of the process.
#pragma once

#include <string>
#include <vector>

namespace dandelionridge::cli {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
// The command line, a settings file or a rule file is invalid.
inline constexpr int exit_usage = 2;

// Runs the process of this host until it is stopped by SIGTERM or SIGINT.
int run_serve(const std::vector<std::string>& arguments);

// Checks a rule file and prints its errors, or else the number of rules of each kind.
int run_check(const std::vector<std::string>& arguments);

}  // namespace dandelionridge::cli
