// Hashes: xxHash for placement and digests, SHA-256 for keys.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionridge::base {

// Returns a 64-bit digest of a text, which is the same on every host.
std::uint64_t digest64(std::string_view text);

// Returns the SHA-256 of a text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

// Returns whether two texts are equal, in a time that depends on their lengths only.
bool equal_constant_time(std::string_view left, std::string_view right);

// Returns the rendezvous weight of a member for a subject; the member with the highest weight owns
// the subject.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view member);

// Returns the indices of the `count` members with the highest weights, highest first.
std::vector<std::size_t> rendezvous_top(std::string_view subject,
                                        std::span<const std::string> members, std::size_t count);

}  // namespace dandelionridge::base
