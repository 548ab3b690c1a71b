#include "support/caller.h"

#include <curl/curl.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

struct response_sink {
    caller_response* response_ = nullptr;
    EVP_MD_CTX* digest_ = nullptr;
    bool discard_bytes_ = false;
    std::atomic<bool>* body_began_ = nullptr;
};

std::size_t on_body(char* bytes, std::size_t item_bytes, std::size_t item_count, void* user) {
    auto* sink = static_cast<response_sink*>(user);
    const std::size_t total = item_bytes * item_count;
    EVP_DigestUpdate(sink->digest_, bytes, total);
    sink->response_->body_bytes_ += total;
    *sink->body_began_ = true;
    if (!sink->discard_bytes_) {
        sink->response_->body_.append(bytes, total);
    }
    return total;
}

std::size_t on_header(char* bytes, std::size_t item_bytes, std::size_t item_count, void* user) {
    auto* sink = static_cast<response_sink*>(user);
    const std::string_view line(bytes, item_bytes * item_count);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name(line.substr(0, colon));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::string value(line.substr(colon + 1));
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r\n") + 1);
        sink->response_->headers_[name] = value;
    }
    return item_bytes * item_count;
}

std::string finish_digest(EVP_MD_CTX* digest) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest_bytes{};
    unsigned int length = 0;
    EVP_DigestFinal_ex(digest, digest_bytes.data(), &length);
    static constexpr std::string_view hex_digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(hex_digits[digest_bytes[i] >> 4U]);
        hex.push_back(hex_digits[digest_bytes[i] & 15U]);
    }
    return hex;
}

}  // namespace

std::string caller_response::header(const std::string& name) const {
    const auto found = headers_.find(name);
    return found == headers_.end() ? "" : found->second;
}

caller::caller() {
    static const CURLcode global = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(global);
    handle_ = curl_easy_init();
}

caller::~caller() {
    curl_easy_cleanup(handle_);
}

caller_response caller::send(const caller_request& request) {
    caller_response response;
    response_sink sink{&response, EVP_MD_CTX_new(), request.discard_body_,
                       request.body_started_.get()};
    EVP_DigestInit_ex(sink.digest_, EVP_sha256(), nullptr);
    curl_easy_reset(handle_);
    curl_slist* headers = nullptr;
    for (const std::string& header : request.headers_) {
        headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(handle_, CURLOPT_URL, ("http://" + request.url_).c_str());
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    curl_easy_setopt(handle_, CURLOPT_NOBODY, request.method_ == "HEAD" ? 1L : 0L);
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, request.timeout_ms_);
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, &sink);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, &sink);
    if (request.body_) {
        curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request.body_->data());
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body_->size()));
    }
    const CURLcode code = curl_easy_perform(handle_);
    response.complete_ = code == CURLE_OK;
    response.timed_out_ = code == CURLE_OPERATION_TIMEDOUT;
    response.connect_failed_ = code == CURLE_COULDNT_CONNECT;
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    response.status_ = static_cast<int>(status);
    response.body_sha256_ = finish_digest(sink.digest_);
    EVP_MD_CTX_free(sink.digest_);
    curl_slist_free_all(headers);
    return response;
}

std::string sha256_of(const std::string& bytes) {
    return base::sha256_hex(bytes);
}

}  // namespace dandelionridge::support
