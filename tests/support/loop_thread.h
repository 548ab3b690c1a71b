// An event loop on its own thread, for stubs that tests control from another thread.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "base/clock.h"
#include "net/event_loop.h"

namespace dandelionridge::support {

class loop_thread {
public:
    loop_thread();
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread();

    net::event_loop& loop() { return *loop_; }

    // Runs a function on the loop's thread and waits until it returns.
    void run(const std::function<void()>& work);

private:
    base::runtime_clock clock_;
    std::unique_ptr<net::event_loop> loop_;
    std::thread thread_;
};

}  // namespace dandelionridge::support
