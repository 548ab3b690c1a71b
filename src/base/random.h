// Random numbers, seeded from the host's entropy in a running process and with fixed seeds in
// tests.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace dandelionridge::base {

using random_engine = std::mt19937_64;

// Returns an engine seeded from the host's entropy.
random_engine make_random_engine();

// Returns a random positive 63-bit number, which can be taken as unique over all boots of all
// hosts.
std::int64_t random_id(random_engine& engine);

// Returns sixteen random hexadecimal digits.
std::string random_token(random_engine& engine);

// Returns a random number in [0, bound). The bound must be positive.
std::uint64_t random_below(random_engine& engine, std::uint64_t bound);

}  // namespace dandelionridge::base
