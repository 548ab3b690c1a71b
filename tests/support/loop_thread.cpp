#include "support/loop_thread.h"

#include <future>

namespace dandelionridge::support {

loop_thread::loop_thread() : loop_(std::move(net::event_loop::create(clock_).value())) {
    thread_ = std::thread([this] { loop_->run(); });
}

loop_thread::~loop_thread() {
    loop_->stop();
    thread_.join();
}

void loop_thread::run(const std::function<void()>& work) {
    std::promise<void> done;
    loop_->post([&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

}  // namespace dandelionridge::support
