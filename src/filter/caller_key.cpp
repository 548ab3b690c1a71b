#include "filter/caller_key.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

#include "base/base64.h"

namespace dandelionridge::filter {

namespace {

constexpr std::string_view key_parameter = "api_key";
constexpr std::array<std::string_view, 4> credential_headers = {"authorization", "x-api-key",
                                                                "cookie", "proxy-authorization"};

int hex_value(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hex_value(text[i + 1]) >= 0 &&
                            hex_value(text[i + 2]) >= 0;
        if (escape) {
            decoded.push_back(
                static_cast<char>(hex_value(text[i + 1]) * 16 + hex_value(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

// Returns the Base64 digits of the key that do not depend on the bytes before or after it, for each
// of the three offsets within a group of three bytes at which the key may begin.
std::vector<std::string> base64_fragments(std::string_view key) {
    std::vector<std::string> fragments;
    for (std::size_t offset = 0; offset < 3; ++offset) {
        const std::string padded = std::string(offset, 'x') + std::string(key);
        const std::size_t complete_bytes = padded.size() / 3 * 3;
        const std::size_t skipped_digits = offset == 0 ? 0 : 4;
        const std::string encoded =
            base::base64_encode(std::string_view(padded).substr(0, complete_bytes));
        if (encoded.size() > skipped_digits) {
            fragments.push_back(encoded.substr(skipped_digits));
        }
    }
    return fragments;
}

// Returns the percent-decoded value of the named parameter in a list such as "a=1&b=2", whose
// parameters are separated by `separator`.
std::optional<std::string> find_parameter(std::string_view list, char separator,
                                          std::string_view name) {
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(separator), list.size());
        std::string_view part = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
        if (part.starts_with(name) && part.substr(name.size()).starts_with('=')) {
            return percent_decode(part.substr(name.size() + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::string> key_from_authorization(const std::string& value) {
    constexpr std::string_view bearer = "Bearer ";
    constexpr std::string_view basic = "Basic ";
    if (value.starts_with(bearer)) {
        return value.substr(bearer.size());
    }
    if (value.starts_with(basic)) {
        const std::string user_and_password =
            base::base64_decode(std::string_view(value).substr(basic.size())).value_or("");
        const std::size_t colon = user_and_password.find(':');
        if (colon != std::string::npos) {
            return user_and_password.substr(colon + 1);
        }
    }
    return std::nullopt;
}

// Returns the query, with its leading '?', without the parameters that contain the key. Empty if no
// parameter is left.
std::string query_without_key(std::string_view query, std::string_view key) {
    std::string kept;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const bool is_key_parameter =
            part.starts_with(key_parameter) && part.substr(key_parameter.size()).starts_with('=');
        if (is_key_parameter || contains_key(part, key)) {
            continue;
        }
        kept.push_back(kept.empty() ? '?' : '&');
        kept += part;
    }
    return kept;
}

}  // namespace

std::optional<std::string> presented_key(const net::http_request& request) {
    std::optional<std::string> key;
    if (const auto* value = net::find_header(request.headers_, "authorization")) {
        key = key_from_authorization(*value);
    }
    if (const auto* value = net::find_header(request.headers_, "x-api-key"); !key && value) {
        key = *value;
    }
    const std::size_t query_start = request.path_.find('?');
    if (!key && query_start != std::string::npos) {
        key = find_parameter(std::string_view(request.path_).substr(query_start + 1), '&',
                             key_parameter);
    }
    if (const auto* value = net::find_header(request.headers_, "cookie"); !key && value) {
        key = find_parameter(*value, ';', key_parameter);
    }
    return key && !key->empty() ? key : std::nullopt;
}

bool contains_key(std::string_view text, std::string_view key) {
    if (key.empty()) {
        return false;
    }
    if (text.find(key) != std::string_view::npos) {
        return true;
    }
    const std::string decoded = percent_decode(text);
    if (decoded.find(key) != std::string::npos) {
        return true;
    }
    const std::vector<std::string> fragments = base64_fragments(key);
    return std::any_of(fragments.begin(), fragments.end(), [&](const std::string& fragment) {
        return decoded.find(fragment) != std::string::npos;
    });
}

bool strip_key(net::http_request& request, std::string_view key) {
    std::erase_if(request.headers_, [&](const net::http_header& header) {
        const bool credential = std::find(credential_headers.begin(), credential_headers.end(),
                                          header.name_) != credential_headers.end();
        return credential || contains_key(header.value_, key);
    });
    const std::size_t query_start = request.path_.find('?');
    const std::string path = request.path_.substr(0, query_start);
    if (query_start != std::string::npos) {
        request.path_ =
            path + query_without_key(std::string_view(request.path_).substr(query_start + 1), key);
    }
    return !contains_key(path, key) && !contains_key(request.host_, key);
}

void strip_header_key(net::http_request& request, std::string_view name, std::string_view key) {
    std::erase_if(request.headers_, [&](const net::http_header& header) {
        return header.name_ == name ||
               (!key.empty() && header.value_.find(key) != std::string::npos);
    });
}

}  // namespace dandelionridge::filter
