// IPv4 addresses with a port, in the form that settings and host lists use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace dandelionridge::base {

struct address {
    std::string ip_;
    std::uint16_t port_ = 0;

    bool operator==(const address&) const = default;
};

// Parses "IP:PORT" with a numeric IPv4 address and a port above 0. Returns a bad_value error for
// other texts.
result<address> parse_address(std::string_view text);

// Returns the address as "IP:PORT".
std::string to_string(const address& value);

}  // namespace dandelionridge::base
