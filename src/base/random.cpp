#include "base/random.h"

#include <array>
#include <cassert>
#include <cstdio>
#include <limits>

namespace dandelionridge::base {

random_engine make_random_engine() {
    std::random_device entropy;
    std::seed_seq seed{entropy(), entropy(), entropy(), entropy()};
    return random_engine(seed);
}

std::int64_t random_id(random_engine& engine) {
    std::uniform_int_distribution<std::int64_t> distribution(
        1, std::numeric_limits<std::int64_t>::max());
    return distribution(engine);
}

std::string random_token(random_engine& engine) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(engine()));
    return text.data();
}

std::uint64_t random_below(random_engine& engine, std::uint64_t bound) {
    assert(bound > 0);
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

}  // namespace dandelionridge::base
