#include "net/http_writer.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "net/http_reader.h"

namespace dandelionridge::net {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection", "keep-alive", "proxy-connection",  "te", "trailer", "transfer-encoding",
    "upgrade",    "expect",     "proxy-authenticate"};

// Returns true for headers that determine where the message ends or that concern one connection.
bool is_framing_header(std::string_view name) {
    return name == "content-length" || is_hop_by_hop_header(name);
}

void append_header(std::string& head, std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string_view trim(std::string_view value) {
    const std::size_t first = value.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return value.substr(first, value.find_last_not_of(" \t") - first + 1);
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

bool has_token(std::string_view value, std::string_view token) {
    while (!value.empty()) {
        const std::size_t end = std::min(value.find(','), value.size());
        if (equals_ignoring_case(trim(value.substr(0, end)), token)) {
            return true;
        }
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    return false;
}

bool is_hop_by_hop_header(std::string_view name) {
    return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), name) !=
           hop_by_hop_headers.end();
}

std::string response_head_text(const http_response& response, bool close, bool chunked) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status_) + " ";
    head.append(reason_phrase(response.status_)).append("\r\n");
    for (const http_header& header : response.headers_) {
        if (!is_framing_header(header.name_)) {
            append_header(head, header.name_, header.value_);
        }
    }
    if (close) {
        append_header(head, "connection", "close");
    }
    if (response.length_) {
        append_header(head, "content-length", std::to_string(*response.length_));
    } else if (chunked) {
        append_header(head, "transfer-encoding", "chunked");
    }
    return head + "\r\n";
}

std::string request_head_text(const http_request& request) {
    std::string head = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
    append_header(head, "host", request.host_);
    for (const http_header& header : request.headers_) {
        if (!is_framing_header(header.name_)) {
            append_header(head, header.name_, header.value_);
        }
    }
    if (request.chunked_) {
        append_header(head, "transfer-encoding", "chunked");
    } else if (request.body_length_) {
        append_header(head, "content-length", std::to_string(*request.body_length_));
    }
    return head + "\r\n";
}

std::string chunk_text(std::string_view bytes) {
    std::array<char, 24> size{};
    const int count = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(count));
    chunk.append(bytes).append("\r\n");
    return chunk;
}

}  // namespace dandelionridge::net
