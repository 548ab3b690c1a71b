#include "base/clock.h"

#include <ctime>

namespace dandelionridge::base {

namespace {

duration read_clock(clockid_t id) {
    timespec now{};
    clock_gettime(id, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace

instant runtime_clock::now() const {
    if (paused_) {
        return paused_at_;
    }
    return instant(read_clock(CLOCK_BOOTTIME));
}

std::int64_t runtime_clock::wall_ms() const {
    return whole_ms(read_clock(CLOCK_REALTIME));
}

void runtime_clock::pause() {
    paused_at_ = now();
    paused_ = true;
}

void runtime_clock::advance(duration step) {
    paused_at_ += step;
}

std::int64_t whole_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

}  // namespace dandelionridge::base
