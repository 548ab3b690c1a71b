#include "net/http_types.h"

#include <algorithm>

namespace dandelionridge::net {

const std::string* find_header(const std::vector<http_header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return header.name_ == name;
    });
    return found == headers.end() ? nullptr : &found->value_;
}

bool response_has_no_body(std::string_view method, int status) {
    return method == "HEAD" || status == 204 || status == 304;
}

}  // namespace dandelionridge::net
