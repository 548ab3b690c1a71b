#include "base/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace dandelionridge::base {

namespace {

constexpr std::size_t chars_per_group = 4;
constexpr std::size_t bytes_per_group = 3;

}  // namespace

std::string base64_encode(std::string_view bytes) {
    std::string encoded(
        chars_per_group * ((bytes.size() + bytes_per_group - 1) / bytes_per_group) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

std::optional<std::string> base64_decode(std::string_view text) {
    if (text.empty()) {
        return std::string();
    }
    if (text.size() % chars_per_group != 0) {
        return std::nullopt;
    }
    std::string decoded(bytes_per_group * text.size() / chars_per_group + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    const auto padding = std::count(text.end() - 2, text.end(), '=');
    decoded.resize(static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, length - padding)));
    return decoded;
}

}  // namespace dandelionridge::base
