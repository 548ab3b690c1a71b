#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace dandelionridge::base {

result<address> parse_address(std::string_view text) {
    const auto invalid_address = [&] {
        return fail(error_kind::bad_value, "'" + std::string(text) +
                                               "' is not an address; write IP:PORT with a numeric "
                                               "IPv4 address, such as 127.0.0.1:8080");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address();
    }
    address parsed;
    parsed.ip_ = std::string(text.substr(0, colon));
    in_addr binary{};
    if (inet_pton(AF_INET, parsed.ip_.c_str(), &binary) != 1) {
        return invalid_address();
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error_code] =
        std::from_chars(port.data(), port.data() + port.size(), parsed.port_);
    if (error_code != std::errc() || end != port.data() + port.size() || parsed.port_ == 0) {
        return invalid_address();
    }
    return parsed;
}

std::string to_string(const address& value) {
    return value.ip_ + ":" + std::to_string(value.port_);
}

}  // namespace dandelionridge::base
