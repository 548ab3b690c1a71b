#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace dandelionridge::base {

std::uint64_t digest64(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

bool equal_constant_time(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t rendezvous_weight(std::string_view subject, std::string_view member) {
    return XXH3_64bits_withSeed(member.data(), member.size(), digest64(subject));
}

std::vector<std::size_t> rendezvous_top(std::string_view subject,
                                        std::span<const std::string> members, std::size_t count) {
    struct weighted_member {
        std::uint64_t weight_;
        std::size_t index_;
    };
    std::vector<weighted_member> candidates;
    candidates.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        candidates.push_back({rendezvous_weight(subject, members[i]), i});
    }
    std::sort(candidates.begin(), candidates.end(),
              [&](const weighted_member& a, const weighted_member& b) {
                  return a.weight_ != b.weight_ ? a.weight_ > b.weight_
                                                : members[a.index_] < members[b.index_];
              });
    std::vector<std::size_t> top;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
        top.push_back(candidates[i].index_);
    }
    return top;
}

}  // namespace dandelionridge::base
