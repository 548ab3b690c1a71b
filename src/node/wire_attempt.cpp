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

policy::run_kind kind_of(const wire::attempt_begin& begin) {
    return policy::run_kind_of(begin.nested, begin.download, begin.idempotent);
}

wire::frame make_failure(policy::attempt_id attempt, wire::failure_reason reason) {
    wire::frame frame;
    frame.__isset.failed_ = true;
    frame.failed_.attempt = to_wire(attempt);
    frame.failed_.reason = reason;
    return frame;
}

}  // namespace dandelionridge::node
