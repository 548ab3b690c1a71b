#include "filter/chain.h"

#include <array>

namespace dandelionridge::filter {

namespace {

using step = filter_result (*)(request_context&);

constexpr std::array<step, 2> steps = {authenticate, route};

}  // namespace

filter_result run_chain(request_context& context) {
    for (const step run : steps) {
        if (const filter_result refused = run(context)) {
            return refused;
        }
    }
    return std::nullopt;
}

}  // namespace dandelionridge::filter
