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

// The digits of the key's Base64 that do not depend on what stands before or after it, for each of
// the three places in a group of three bytes where it may begin.
std::vector<std::string> base64_cores(std::string_view key) {
    std::vector<std::string> cores;
    for (std::size_t shift = 0; shift < 3; ++shift) {
        const std::string padded = std::string(shift, 'x') + std::string(key);
        const std::size_t whole = padded.size() / 3 * 3;
        const std::size_t skipped = shift == 0 ? 0 : 4;
        const std::string encoded = base::base64_encode(std::string_view(padded).substr(0, whole));
        if (encoded.size() > skipped) {
            cores.push_back(encoded.substr(skipped));
        }
    }
    return cores;
}

// The part of a list "a=1SEPb=2" with that name, decoded.
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

std::optional<std::string> key_of_authorization(const std::string& value) {
    constexpr std::string_view bearer = "Bearer ";
    constexpr std::string_view basic = "Basic ";
    if (value.starts_with(bearer)) {
        return value.substr(bearer.size());
    }
    if (value.starts_with(basic)) {
        const std::string pair =
            base::base64_decode(std::string_view(value).substr(basic.size())).value_or("");
        const std::size_t colon = pair.find(':');
        if (colon != std::string::npos) {
            return pair.substr(colon + 1);
        }
    }
    return std::nullopt;
}

// Drops the parameters of a query that hold the key.
std::string clean_query(std::string_view query, std::string_view key) {
    std::string clean;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const bool named =
            part.starts_with(key_parameter) && part.substr(key_parameter.size()).starts_with('=');
        if (named || holds_key(part, key)) {
            continue;
        }
        clean.push_back(clean.empty() ? '?' : '&');
        clean += part;
    }
    return clean;
}

}  // namespace

std::optional<std::string> presented_key(const net::http_request& request) {
    std::optional<std::string> key;
    if (const auto* value = net::find_header(request.headers_, "authorization")) {
        key = key_of_authorization(*value);
    }
    if (const auto* value = net::find_header(request.headers_, "x-api-key"); !key && value) {
        key = *value;
    }
    const std::size_t mark = request.path_.find('?');
    if (!key && mark != std::string::npos) {
        key = find_parameter(std::string_view(request.path_).substr(mark + 1), '&', key_parameter);
    }
    if (const auto* value = net::find_header(request.headers_, "cookie"); !key && value) {
        key = find_parameter(*value, ';', key_parameter);
    }
    return key && !key->empty() ? key : std::nullopt;
}

bool holds_key(std::string_view text, std::string_view key) {
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
    const std::vector<std::string> cores = base64_cores(key);
    return std::any_of(cores.begin(), cores.end(), [&](const std::string& core) {
        return decoded.find(core) != std::string::npos;
    });
}

bool strip_key(net::http_request& request, std::string_view key) {
    std::erase_if(request.headers_, [&](const net::http_header& header) {
        const bool credential = std::find(credential_headers.begin(), credential_headers.end(),
                                          header.name_) != credential_headers.end();
        return credential || holds_key(header.value_, key);
    });
    const std::size_t mark = request.path_.find('?');
    const std::string path = request.path_.substr(0, mark);
    if (mark != std::string::npos) {
        request.path_ = path + clean_query(std::string_view(request.path_).substr(mark + 1), key);
    }
    return !holds_key(path, key) && !holds_key(request.host_, key);
}

void strip_header_key(net::http_request& request, std::string_view name, std::string_view key) {
    std::erase_if(request.headers_, [&](const net::http_header& header) {
        return header.name_ == name ||
               (!key.empty() && header.value_.find(key) != std::string::npos);
    });
}

}  // namespace dandelionridge::filter
