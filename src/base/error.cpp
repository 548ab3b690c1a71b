#include "base/error.h"

#include <utility>

namespace dandelionridge::base {

tl::unexpected<error> fail(error_kind kind, std::string message) {
    return tl::unexpected<error>(error{kind, std::move(message)});
}

}  // namespace dandelionridge::base
