#include "net/frame_traffic.h"

#include "wire/gen/fleet_types.h"

namespace dandelionridge::net {

namespace {

bool is_request_frame(const wire::frame& frame) {
    return frame.__isset.begin_ || frame.__isset.body_ || frame.__isset.credit_ ||
           frame.__isset.cancel_ || frame.__isset.head_ || frame.__isset.refused_ ||
           frame.__isset.failed_ || frame.__isset.resolve_ || frame.__isset.resolution_;
}

bool is_liveness_frame(const wire::frame& frame) {
    return frame.__isset.hello_ || frame.__isset.welcome_ || frame.__isset.ping_ ||
           frame.__isset.pong_;
}

bool is_configuration_frame(const wire::frame& frame) {
    return frame.__isset.pull_ || frame.__isset.update_ || frame.__isset.busy_ ||
           frame.__isset.view_question_ || frame.__isset.view_answer_;
}

bool is_quota_frame(const wire::frame& frame) {
    return frame.__isset.lease_request_ || frame.__isset.lease_grant_ ||
           frame.__isset.retry_loan_request_ || frame.__isset.retry_loan_;
}

}  // namespace

frame_kind kind_of(const wire::frame& frame) {
    if (is_request_frame(frame)) {
        return frame_kind::request;
    }
    if (is_liveness_frame(frame)) {
        return frame_kind::liveness;
    }
    if (is_configuration_frame(frame)) {
        return frame_kind::configuration;
    }
    if (is_quota_frame(frame)) {
        return frame_kind::quota;
    }
    return frame.__isset.membership_ ? frame_kind::membership : frame_kind::other;
}

std::string_view to_text(frame_kind kind) {
    switch (kind) {
        case frame_kind::request:
            return "request";
        case frame_kind::liveness:
            return "liveness";
        case frame_kind::configuration:
            return "configuration";
        case frame_kind::quota:
            return "quota";
        case frame_kind::membership:
            return "membership";
        case frame_kind::other:
            break;
    }
    return "other";
}

void count_frame(bytes_by_kind& bytes, const wire::frame& frame, std::size_t frame_bytes) {
    bytes.at(static_cast<std::size_t>(kind_of(frame))) += frame_bytes;
}

}  // namespace dandelionridge::net
