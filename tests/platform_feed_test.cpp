// Tests the store feed against a stub of the store, with each fault that the store's documentation
// names, and the rules for entries that disappear during an outage.
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <thread>

#include "platform/config_lines.h"
#include "platform/store_feed.h"
#include "platform/store_view.h"
#include "support/local.h"
#include "support/store_stub.h"

using namespace dandelionridge;
using namespace dandelionridge::platform;
using namespace dandelionridge::support;

namespace {

// Runs of this program at the same time have stubs at different addresses.
const base::address store_address{loopback_ip(90), 18999};

// Polls until the condition holds. Returns false if it does not within 15 s.
bool eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < 1500; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

// Runs a feed on its own thread and keeps what it published last.
class feed_recorder {
public:
    // `current_reads`: this host is one of those that watch the store.
    explicit feed_recorder(bool current_reads = true,
                           base::duration wait = base::milliseconds(300)) {
        thread_.run([this, current_reads, wait] {
            control::config_feed_callbacks callbacks;
            callbacks.published_ = [this](control::config_value_kind kind, std::int64_t version,
                                          const std::vector<std::string>& lines) {
                const std::lock_guard lock(mutex_);
                (kind == control::config_value_kind::rules ? rules_ : hosts_) = lines;
                if (kind == control::config_value_kind::hosts) {
                    versions_increase_ = versions_increase_ && version > version_;
                    version_ = version;
                }
            };
            callbacks.confirmed_ = [](base::instant) {};
            callbacks.failed_ = [this](const base::error&) {
                available_at_failure_ = feed_->platform_available();
                ++failures_;
            };
            callbacks.recovered_ = [] {};
            callbacks.restored_ = [](std::int64_t, std::int64_t) {};
            callbacks.hold_changed_ = [this](const control::platform_hold& hold) {
                const std::lock_guard lock(mutex_);
                hold_ = hold;
            };
            feed_ = std::make_unique<store_feed>(
                std::make_unique<http_store_client>(thread_.loop(), store_address),
                watch_times{wait, base::milliseconds(250), base::seconds(7)}, std::move(callbacks));
            feed_->set_current_reads(current_reads, {});
        });
    }
    feed_recorder(const feed_recorder&) = delete;
    feed_recorder& operator=(const feed_recorder&) = delete;
    ~feed_recorder() {
        thread_.run([this] { feed_.reset(); });
    }

    void set_current_reads(bool enabled, base::duration evidence_age = {}) {
        thread_.run([&] { feed_->set_current_reads(enabled, evidence_age); });
    }
    control::platform_hold hold() const {
        const std::lock_guard lock(mutex_);
        return hold_;
    }
    std::optional<base::instant> current_as_of() {
        std::optional<base::instant> as_of;
        thread_.run([&] { as_of = feed_->current_as_of(); });
        return as_of;
    }

    std::vector<std::string> hosts() const {
        const std::lock_guard lock(mutex_);
        return hosts_;
    }
    std::vector<std::string> rules() const {
        const std::lock_guard lock(mutex_);
        return rules_;
    }
    bool versions_increase() const { return versions_increase_; }
    int failures() const { return failures_; }
    // Whether the feed called the platform available when it last reported a failure.
    bool available_at_failure() const { return available_at_failure_; }

private:
    loop_thread thread_;
    mutable std::mutex mutex_;
    std::vector<std::string> hosts_;
    std::vector<std::string> rules_;
    control::platform_hold hold_;
    std::int64_t version_ = 0;
    std::atomic<bool> versions_increase_ = true;
    std::atomic<int> failures_ = 0;
    std::atomic<bool> available_at_failure_ = false;
    std::unique_ptr<store_feed> feed_;
};

const std::string configuration = R"({"version":"00000003","resources":[]})";

constexpr std::int64_t era = 1;

store_item make_item(const std::string& id, std::int64_t revision) {
    return {"servers/" + id, "value", revision, false};
}

}  // namespace

TEST_CASE("the feed reads the store in pages and then watches it", "[platform][contract]") {
    store_stub store(store_address, 2);
    store.put("op/config", configuration);
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        store.put(std::string("servers/") + id, id);
    }
    const feed_recorder feed;
    REQUIRE(eventually([&] { return feed.hosts().size() == 5; }));
    CHECK(config_text(feed.rules()) == configuration);
    CHECK(store.calls()[1] == "/api/kv-range?prefix=&after=servers/a");
    store.erase("servers/c");
    store.put("servers/f", "f");
    REQUIRE(eventually([&] {
        return feed.hosts() == std::vector<std::string>{"a a", "b b", "d d", "e e", "f f"};
    }));
    CHECK(store.calls().back().find("/api/kv-watch?") == 0);
    CHECK(feed.versions_increase());
    CHECK(feed.failures() == 0);
}

// Guards against: a change reached no host within its bound, because all of them watched with reads
// that may be seconds old.
TEST_CASE("a feed never watches with reads that may be old", "[platform][contract]") {
    store_stub store(store_address);
    store.put("servers/a", "a");
    const feed_recorder feed(true);
    REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
    store.put("servers/b", "b");
    REQUIRE(eventually([&] { return feed.hosts().size() == 2; }));
    REQUIRE(eventually([&] { return store.calls().size() > 4; }));
    for (const std::string& call : store.calls()) {
        CHECK(call.find("serializable") == std::string::npos);
    }
}

// Guards against: a host that has to read currently, because those that do so for it are lost, went
// on to rely on them. And against: each host fetched each change whole from the store.
TEST_CASE("a feed rests until its host has to read, and then reads at once",
          "[platform][contract]") {
    constexpr base::duration long_wait = base::seconds(60);
    store_stub store(store_address);
    store.put("servers/a", "a");
    feed_recorder feed(false, long_wait);
    REQUIRE(eventually([&] { return feed.current_as_of().has_value(); }));
    const auto as_of_first_read = feed.current_as_of();
    store.put("servers/b", "b");
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    CHECK(feed.hosts().size() == 1);
    CHECK(store.calls().size() == 1);
    CHECK(feed.current_as_of() == as_of_first_read);
    feed.set_current_reads(true);
    CHECK(eventually([&] { return feed.hosts().size() == 2; }));
    CHECK(eventually([&] { return feed.current_as_of() > as_of_first_read; }));
    // The two full reads, and the watch that waits.
    CHECK(eventually([&] { return store.calls().size() == 3; }));
    CHECK_FALSE(feed.hold().active_);
    feed.set_current_reads(false);
    store.put("servers/c", "c");
    CHECK(eventually([&] { return feed.hosts().size() == 3; }));
    store.put("servers/d", "d");
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    CHECK(feed.hosts().size() == 3);
    CHECK(store.calls().size() == 3);
}

// Guards against: a host whose feed rested during an outage dropped the sound targets whose entries
// had lapsed in it.
TEST_CASE("a feed that may have missed an outage keeps entries that the store lacks",
          "[platform][contract]") {
    store_stub store(store_address);
    store.put("servers/a", "a");
    store.put("servers/b", "b");
    feed_recorder feed(false);
    REQUIRE(eventually([&] { return feed.hosts().size() == 2; }));
    store.erase("servers/b");
    feed.set_current_reads(true, base::seconds(3));
    REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
    CHECK(feed.hold().missing_targets_ == std::set<std::string>{"b"});
    CHECK(eventually([&] { return !feed.hold().active_; }));
}

TEST_CASE("after each fault of the store the feed publishes the changes made during it",
          "[platform][contract]") {
    for (const store_fault fault :
         {store_fault::unavailable, store_fault::over_rate, store_fault::reset, store_fault::silent,
          store_fault::garbage}) {
        INFO(static_cast<int>(fault));
        store_stub store(store_address);
        store.put("servers/a", "a");
        const feed_recorder feed;
        REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
        store.set_fault(fault);
        store.put("servers/b", "b");
        store.compact();
        REQUIRE(eventually([&] { return feed.failures() > 0; }));
        store.set_fault(store_fault::none);
        REQUIRE(eventually([&] { return feed.hosts().size() == 2; }));
        CHECK(feed.versions_increase());
    }
}

TEST_CASE("the feed reads all items again when the store has discarded its history",
          "[platform][contract]") {
    store_stub store(store_address);
    store.put("servers/a", "a");
    const feed_recorder feed;
    REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
    store.compact();
    store.put("servers/b", "b");
    REQUIRE(eventually([&] { return feed.hosts().size() == 2; }));
    CHECK(feed.failures() == 0);
}

TEST_CASE("a rejected value does not make the platform unavailable, a failed call does",
          "[platform][contract]") {
    store_stub store(store_address);
    store.put("servers/a", "a");
    const feed_recorder feed;
    REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
    store.put("op/config", "not a configuration");
    REQUIRE(eventually([&] { return feed.failures() == 1; }));
    CHECK(feed.available_at_failure());
    store.set_fault(store_fault::unavailable);
    REQUIRE(eventually([&] { return feed.failures() == 2; }));
    CHECK_FALSE(feed.available_at_failure());
}

// Guards against: all hosts of a fleet fetched the whole configuration to find out whether the
// store responds again, and kept its link full.
TEST_CASE("a feed does not fetch the configuration to find out whether the store responds",
          "[platform][contract]") {
    store_stub store(store_address);
    store.put("servers/a", "a");
    const feed_recorder feed;
    REQUIRE(eventually([&] { return feed.hosts().size() == 1; }));
    store.set_fault(store_fault::unavailable);
    const auto probes = [&] {
        std::vector<std::string> paths = store.calls();
        std::erase_if(paths,
                      [](const std::string& path) { return path.find("kv-key") == path.npos; });
        return paths;
    };
    REQUIRE(eventually([&] { return !probes().empty(); }));
    CHECK(probes().front().find("op/config") == std::string::npos);
}

TEST_CASE("entries that disappear during an outage are missing for the hold time", "[platform]") {
    const base::instant start{base::seconds(100)};
    store_view view;
    const std::vector<store_item> all = {make_item("a", 1), make_item("b", 2)};
    CHECK(apply_snapshot(view, all, era, 5, start).servers_);
    // An outage ends, and the store lacks b.
    begin_hold(view, start);
    CHECK(apply_snapshot(view, std::vector<store_item>{make_item("a", 1)}, era, 7, start).servers_);
    CHECK(server_lines(view) == std::vector<std::string>{"a value"});
    CHECK(view.missing_ == std::set<std::string>{"b"});
    SECTION("an entry that comes back is listed again") {
        CHECK(
            apply_events(view, std::vector<store_item>{make_item("b", 8)}, start + base::seconds(1))
                .servers_);
        CHECK(view.missing_.empty());
        CHECK(server_lines(view).size() == 2);
        CHECK(end_hold(view, start + missing_entry_hold_time));
        CHECK(server_lines(view).size() == 2);
    }
    SECTION("an entry that does not come back is missing until the hold time is over") {
        CHECK_FALSE(end_hold(view, start + missing_entry_hold_time - base::milliseconds(1)));
        CHECK(view.missing_ == std::set<std::string>{"b"});
        CHECK(end_hold(view, start + missing_entry_hold_time));
        CHECK(view.missing_.empty());
        CHECK(server_lines(view).size() == 1);
        CHECK_FALSE(end_hold(view, start + missing_entry_hold_time));
    }
    SECTION("an entry that is deleted within the hold time is missing") {
        store_item deleted = make_item("a", 9);
        deleted.deleted_ = true;
        CHECK(apply_events(view, std::vector<store_item>{deleted}, start).servers_);
        CHECK(view.missing_ == std::set<std::string>{"a", "b"});
    }
    SECTION("a change to draining takes effect at once") {
        store_item leaving = make_item("a", 9);
        leaving.value_ = "draining";
        CHECK(apply_events(view, std::vector<store_item>{leaving}, start).servers_);
        CHECK(server_lines(view).front() == "a draining");
    }
}

TEST_CASE("without an outage a removal takes effect at once", "[platform]") {
    const base::instant start{base::seconds(100)};
    store_view view;
    apply_snapshot(view, std::vector<store_item>{make_item("a", 1), make_item("b", 2)}, era, 5,
                   start);
    store_item deleted = make_item("b", 6);
    deleted.deleted_ = true;
    CHECK(apply_events(view, std::vector<store_item>{deleted}, start).servers_);
    CHECK(server_lines(view).size() == 1);
}
