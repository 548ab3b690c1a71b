#include "support/kept_traffic.h"

#include "support/local.h"

namespace dandelionridge::support {

kept_traffic::kept_traffic(kept_traffic_plan plan) : plan_(std::move(plan)) {
    threads_.reserve(plan_.callers_);
    for (std::size_t caller_index = 0; caller_index < plan_.callers_; ++caller_index) {
        threads_.emplace_back([this, caller_index] { run(caller_index); });
    }
}

kept_traffic::~kept_traffic() {
    finish();
}

void kept_traffic::run(std::size_t caller_index) {
    kept_caller caller;
    std::mt19937 random(plan_.seed_ + static_cast<unsigned int>(caller_index));
    std::uniform_int_distribution<std::int64_t> pause_us(
        std::chrono::microseconds(plan_.min_pause_).count(),
        std::chrono::microseconds(plan_.max_pause_).count());
    for (std::size_t sequence = 0; !stopped_; ++sequence) {
        const std::string id = "k" + std::to_string(caller_index) + "-" + std::to_string(sequence);
        const kept_response response = caller.send(plan_.request_(caller_index, id));
        if (response.end_ != exchange_end::not_connected) {
            const std::lock_guard lock(mutex_);
            exchanges_.push_back({id, response.end_, response.status_, response.outcome_});
        }
        ++requests_;
        std::this_thread::sleep_for(std::chrono::microseconds(pause_us(random)));
    }
    connections_ += caller.connections();
}

bool kept_traffic::wait_for_requests(std::size_t count) const {
    const std::size_t wanted = requests_ + count;
    return wait_for([&] { return requests_ >= wanted; });
}

std::vector<kept_exchange> kept_traffic::finish() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return exchanges_;
}

std::vector<std::string> ids_ended(const std::vector<kept_exchange>& exchanges, exchange_end end) {
    std::vector<std::string> ids;
    for (const kept_exchange& exchange : exchanges) {
        if (exchange.end_ == end) {
            ids.push_back(exchange.id_);
        }
    }
    return ids;
}

}  // namespace dandelionridge::support
