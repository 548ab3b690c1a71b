// What a target reports about itself in the headers of its responses.
#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

#include "base/error.h"
#include "config/header_policy.h"
#include "net/http_types.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

inline std::string_view name_of(const net::http_header& header) {
    return header.name_;
}
inline std::string_view value_of(const net::http_header& header) {
    return header.value_;
}
inline std::string_view name_of(const wire::header_field& header) {
    return header.name;
}
inline std::string_view value_of(const wire::header_field& header) {
    return header.value;
}

// Returns true if a target reports in its response's headers that it is leaving. The headers are
// those of a response or of the frame that carries it.
template <class Headers>
bool reports_leaving(const config::header_policy& names, const Headers& headers) {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
        return name_of(header) == names.leaving_ && value_of(header) == "1";
    });
}

// Returns the number of requests per second that a target takes according to its response, or
// nothing if the response names no limit. Returns a protocol error if the header does not hold a
// decimal number of at least 0.
base::result<std::optional<double>> reported_rate_limit(const config::header_policy& names,
                                                        const net::http_response& response);

// Returns true if a response is from the target that its request was meant for, and belongs to that
// request. The HTTP client has skipped the responses with the ID of another request.
bool describes_target(const config::header_policy& names, const net::http_response& response);

}  // namespace dandelionridge::node
