// Tests of the reader of the platform's values against a stub of the platform.
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <vector>

#include "net/platform_reader.h"
#include "support/local.h"
#include "support/loop_thread.h"
#include "support/platform_stub.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

// Runs a reader on its own thread and keeps the times at which it confirmed a version.
class reader_recorder {
public:
    explicit reader_recorder(const base::address& platform) {
        thread_.run([this, &platform] {
            net::platform_reader_events events;
            events.published_ = [this](const net::platform_version&) { ++published_; };
            events.confirmed_ = [this](base::instant at) {
                const std::lock_guard lock(mutex_);
                confirmed_at_.push_back(at);
            };
            events.failed_ = [](const base::error&) {};
            reader_ = std::make_unique<net::platform_reader>(
                thread_.loop(), net::platform_reader_options{platform, "rules", base::seconds(60)},
                std::move(events));
            reader_->start(0);
        });
    }
    reader_recorder(const reader_recorder&) = delete;
    reader_recorder& operator=(const reader_recorder&) = delete;
    ~reader_recorder() {
        thread_.run([this] { reader_.reset(); });
    }

    int published() const { return published_; }
    std::vector<base::instant> confirmed_at() const {
        const std::lock_guard lock(mutex_);
        return confirmed_at_;
    }
    base::instant now() {
        base::instant result;
        thread_.run([&] { result = thread_.loop().clock().now(); });
        return result;
    }

private:
    loop_thread thread_;
    mutable std::mutex mutex_;
    std::vector<base::instant> confirmed_at_;
    std::atomic<int> published_ = 0;
    std::unique_ptr<net::platform_reader> reader_;
};

}  // namespace

TEST_CASE("a version counts as confirmed when its manifest was requested, not when it was read",
          "[net][contract]") {
    const base::address address{loopback_ip(91), 18998};
    platform_stub platform(address);
    platform.hold_parts(true);
    platform.publish("rules", 1, {"a", "b"}, 1);
    reader_recorder reader(address);
    REQUIRE(wait_for([&] { return platform.calls() == 2; }));
    const base::instant released_at = reader.now();
    platform.hold_parts(false);
    REQUIRE(wait_for([&] { return reader.published() == 1; }));
    // The call that follows at once confirms the version without the wait of a watch.
    REQUIRE(wait_for([&] { return reader.confirmed_at().size() == 2; }));
    CHECK(reader.confirmed_at()[0] < released_at);
    CHECK(reader.confirmed_at()[1] >= released_at);
}
