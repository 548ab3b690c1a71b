// Typed errors. Each message says what is wrong and how to fix it.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace dandelionridge::base {

enum class error_kind {
    bad_argument,
    bad_settings,
    bad_rules,
    bad_hosts,
    bad_value,
    network,
    protocol,
    system,
};

struct error {
    error_kind kind_;
    // One line: what is wrong, then the remedy.
    std::string message_;
};

template <class T>
using result = tl::expected<T, error>;

// Returns an error of the given kind that converts to a result of any type.
tl::unexpected<error> fail(error_kind kind, std::string message);

}  // namespace dandelionridge::base
