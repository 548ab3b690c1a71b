#include "node/reported_state.h"

#include <charconv>
#include <cmath>

namespace dandelionridge::node {

namespace {

// Status with which a target rejects a request that is meant for another target.
constexpr int status_misdirected = 421;

}  // namespace

base::result<std::optional<double>> reported_rate_limit(const config::header_policy& names,
                                                        const net::http_response& response) {
    const std::string* text = net::find_header(response.headers_, names.rate_limit_);
    if (text == nullptr) {
        return std::nullopt;
    }
    double limit = 0;
    const char* last = text->data() + text->size();
    const auto [end, code] = std::from_chars(text->data(), last, limit);
    if (code != std::errc() || end != last || !std::isfinite(limit) || limit < 0) {
        return base::fail(base::error_kind::protocol,
                          "'" + names.rate_limit_ + ": " + *text +
                              "' is not a number of requests per second of at least 0; correct "
                              "the target");
    }
    return limit;
}

bool describes_target(const config::header_policy& names, const net::http_response& response) {
    const bool misdirected =
        response.status_ == status_misdirected && !names.expected_target_.empty();
    const bool has_request_id =
        net::find_header(response.headers_, net::request_id_header) != nullptr;
    return !misdirected && (has_request_id || !names.echoes_request_id_);
}

}  // namespace dandelionridge::node
