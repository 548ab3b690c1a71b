#include "filter/chain.h"

#include <array>
#include <utility>

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

filter_result resolve_again(request_context& context, config::rules_ptr rules) {
    context.rules_ = std::move(rules);
    identify(context);
    return route(context);
}

}  // namespace dandelionridge::filter
