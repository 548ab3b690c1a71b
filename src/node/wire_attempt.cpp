#include "node/wire_attempt.h"

namespace dandelionridge::node {

wire::attempt_ref to_wire(policy::attempt_id attempt) {
    wire::attempt_ref ref;
    ref.link = attempt.link_;
    ref.sequence = attempt.sequence_;
    return ref;
}

policy::attempt_id from_wire(const wire::attempt_ref& ref) {
    return {ref.link, ref.sequence};
}

}  // namespace dandelionridge::node
