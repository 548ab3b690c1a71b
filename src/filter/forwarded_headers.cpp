#include "filter/forwarded_headers.h"

namespace dandelionridge::filter {

const std::vector<std::string>& request_headers() {
    static const std::vector<std::string> names = {
        "accept",       "accept-encoding",   "accept-language",     "cache-control",
        "content-type", "content-encoding",  "content-language",    "content-disposition",
        "if-match",     "if-modified-since", "if-none-match",       "if-range",
        "range",        "user-agent",        "if-unmodified-since",
    };
    return names;
}

const std::vector<std::string>& response_headers() {
    static const std::vector<std::string> names = {
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "content-disposition",
        "content-encoding",
        "date",
        "content-range",
        "content-type",
        "content-language",
        "etag",
        "expires",
        "last-modified",
        "location",
        "retry-after",
        "vary",
    };
    return names;
}

std::vector<std::string> response_headers_for(const config::service_rule& service) {
    std::vector<std::string> names = response_headers();
    names.insert(names.end(), service.headers_.begin(), service.headers_.end());
    return names;
}

}  // namespace dandelionridge::filter
