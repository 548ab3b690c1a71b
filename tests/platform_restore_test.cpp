// Tests how a process reads a store that comes back from a copy some seconds old, with the store's
// feed and the values in force that it feeds.
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "control/configuration.h"
#include "platform/environment.h"
#include "platform/store_messages.h"
#include "platform/store_view.h"
#include "support/local.h"
#include "support/store_stub.h"

using namespace dandelionridge;
using namespace dandelionridge::platform;
using namespace dandelionridge::support;

namespace {

// Runs of this program at the same time have stubs at different addresses.
const base::address store_address{loopback_ip(91), 18998};

constexpr auto hosts = control::config_value_kind::hosts;
constexpr auto rules = control::config_value_kind::rules;

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

// The states of the targets in use, by name.
using target_states = std::map<std::string, std::string>;

// Runs a feed and the values in force on a thread of its own.
class store_reader {
public:
    store_reader() {
        settings_.platform_address_ = store_address;
        settings_.peer_listen_address_ = {"127.0.0.1", 7};
        settings_.watch_wait_ = base::milliseconds(300);
        settings_.heartbeat_ = base::milliseconds(500);
        thread_.run([this] { open(); });
    }
    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;
    ~store_reader() {
        thread_.run([this] { feed_.reset(); });
    }

    target_states targets() {
        target_states states;
        thread_.run([&] {
            for (const config::host_entry& host : values_->hosts()->hosts_) {
                states[host.targets_.front().name_] = host.leaving_ ? "draining" : "ready";
            }
        });
        return states;
    }
    std::set<std::string> evacuated() {
        std::set<std::string> zones;
        thread_.run([&] { zones = values_->hosts()->evacuated_zones_; });
        return zones;
    }
    std::int64_t version(control::config_value_kind kind) {
        std::int64_t version = 0;
        thread_.run([&] { version = values_->version(kind); });
        return version;
    }
    bool shares_hosts() {
        bool shared = false;
        thread_.run([&] { shared = values_->is_shared(hosts); });
        return shared;
    }
    bool platform_available() {
        bool available = false;
        thread_.run([&] { available = feed_->platform_available(); });
        return available;
    }
    std::string last_failure() {
        std::string failure;
        thread_.run([&] { failure = last_failure_; });
        return failure;
    }
    // Offers a list as a peer sends it.
    void offer_from_peer(std::int64_t version, const std::vector<std::string>& lines) {
        thread_.run([&] {
            const config::versioned_lines offered = config::make_versioned_lines(version, lines);
            values_->offer_delta(hosts, config::make_delta({}, offered));
        });
    }
    std::int64_t restores() {
        std::int64_t restores = 0;
        thread_.run([&] { restores = restores_; });
        return restores;
    }

private:
    void open() {
        node::environment environment = make_environment(settings_);
        values_ = std::make_unique<control::configuration>(environment.parsers_);
        control::config_feed_callbacks callbacks;
        callbacks.published_ = [this](control::config_value_kind kind, std::int64_t version,
                                      const std::vector<std::string>& lines) {
            values_->offer_lines(kind, version, lines);
        };
        callbacks.confirmed_ = [](base::instant) {};
        callbacks.failed_ = [this](const base::error& error) { last_failure_ = error.message_; };
        callbacks.recovered_ = [] {};
        callbacks.hold_changed_ = [this](const control::platform_hold& hold) {
            values_->set_hold(hold);
        };
        callbacks.restored_ = [this](std::int64_t, std::int64_t) { ++restores_; };
        feed_ = environment.make_feed_(thread_.loop(), settings_, std::move(callbacks));
        feed_->set_current_reads(true, {});
    }

    config::settings settings_;
    loop_thread thread_;
    std::unique_ptr<control::configuration> values_;
    std::unique_ptr<control::config_feed> feed_;
    std::string last_failure_;
    std::int64_t restores_ = 0;
};

std::string key_of(const std::string& target) {
    return "servers/" + target;
}

// Returns the entry of a target, whose name ends in the last number of its IP address.
std::string entry_of(const std::string& target, const std::string& state, int sequence,
                     std::int64_t started_ms = 1'700'000'000'000) {
    return nlohmann::json{{"service", "s1"},
                          {"address", "10.1.0." + target.substr(target.rfind('-') + 1) + ":8080"},
                          {"zone", "z1"},
                          {"version", "v1"},
                          {"slots", 5},
                          {"state", state},
                          {"warmupLeftS", 0},
                          {"seq", sequence},
                          {"born", started_ms}}
        .dump();
}

std::string configuration_of(const std::string& version) {
    return R"({"version":")" + version + R"(","resources":[]})";
}

}  // namespace

// Guards against a host list that is ignored after a restore, because its revision is below the one
// of before, so that new targets get no requests and leaving ones go on getting them.
TEST_CASE("a list read after a restore is in force although its revision is lower",
          "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    const store_stub::copy copy = store.make_copy();
    for (int sequence = 2; sequence <= 9; ++sequence) {
        store.put(key_of("i-2"), entry_of("i-2", "ready", sequence));
    }
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    store.restore(copy);
    store.put(key_of("i-3"), entry_of("i-3", "ready", 1));
    REQUIRE(eventually([&] { return reader.targets().contains("i-3"); }));
    // Later changes under revisions that were given out before take effect too.
    store.put(key_of("i-1"), entry_of("i-1", "draining", 10));
    REQUIRE(eventually([&] { return reader.targets()["i-1"] == "draining"; }));
    CHECK(reader.restores() == 1);
}

// Guards against the loss of what was written under revisions that were given out again: a watch
// after such a revision gets the events that come later, but not those before.
TEST_CASE("what was written under revisions given out again is read", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store.put("op/config", configuration_of("00000001"));
    store_reader reader;
    const store_stub::copy copy = store.make_copy();
    store.put(key_of("i-1"), entry_of("i-1", "ready", 2));
    store.put("op/config", configuration_of("00000002"));
    REQUIRE(eventually([&] { return reader.version(rules) == 2; }));
    store.restore(copy, {{"op/config", configuration_of("00000003")},
                         {key_of("i-2"), entry_of("i-2", "ready", 1)},
                         {key_of("i-3"), entry_of("i-3", "ready", 1)}});
    CHECK(eventually([&] { return reader.version(rules) == 3; }));
    CHECK(eventually([&] { return reader.targets().size() == 3; }));
}

// Guards against a list that is made of pages from before and after a restore.
TEST_CASE("a read during which the store is restored starts anew", "[platform][restore]") {
    store_stub store(store_address, 2);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store.put(key_of("i-3"), entry_of("i-3", "ready", 1));
    store.put(key_of("i-4"), entry_of("i-4", "ready", 1));
    const store_stub::copy copy = store.make_copy();
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    store.restore_at_next_page(copy);
    store_reader reader;
    REQUIRE(eventually([&] { return !reader.targets().empty(); }));
    CHECK(reader.targets() == target_states{{"i-1", "ready"}, {"i-3", "ready"}, {"i-4", "ready"}});
}

// Guards against responses of a replica that has not been restored yet, or that come late: they
// would bring back what the restore has undone.
TEST_CASE("a response of an earlier era is not applied", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    store.restore(store.make_copy());
    REQUIRE(eventually([&] { return reader.restores() == 1; }));
    store.set_named_era("1");
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    REQUIRE(eventually([&] { return !reader.last_failure().empty(); }));
    CHECK(reader.last_failure().find("era 1") != std::string::npos);
    CHECK(reader.targets().size() == 1);
    store.set_named_era("");
    CHECK(eventually([&] { return reader.targets().size() == 2; }));
    CHECK(reader.restores() == 1);
}

// Guards against an era that cannot be read being taken for another one.
TEST_CASE("a response without a valid era is not applied", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    for (const char* era : {"two", "-1", "1x", "9223", "99999999999999999999"}) {
        INFO(era);
        const std::string problem = std::string("'") + era + "'";
        store.set_named_era(era);
        CHECK(eventually([&] { return reader.last_failure().find(problem) != std::string::npos; }));
        store.set_named_era("");
        store.put(key_of("i-1"), entry_of("i-1", "ready", 2));
        CHECK(eventually([&] { return reader.platform_available(); }));
    }
    CHECK(reader.restores() == 0);
}

// Guards against targets that are taken out of use or passed on as gone since their entries were
// written after the copy was made: they are written again a little later.
TEST_CASE("targets that the copy lacks stay in use for the hold time", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    const store_stub::copy copy = store.make_copy();
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    const std::int64_t version_before = reader.version(hosts);
    store.restore(copy);
    REQUIRE(eventually([&] { return reader.version(hosts) > version_before; }));
    CHECK(reader.targets().size() == 2);
    CHECK_FALSE(reader.shares_hosts());
    SECTION("a target that is written again stays") {
        store.put(key_of("i-2"), entry_of("i-2", "ready", 2));
        CHECK(eventually([&] { return reader.shares_hosts(); }));
        CHECK(reader.targets().size() == 2);
    }
    SECTION("a target that is not written again is gone after it") {
        CHECK(eventually([&] { return reader.targets().size() == 1; }));
        CHECK(reader.shares_hosts());
    }
}

// Guards against an order of lists that a restore turns round, or that overflows.
TEST_CASE("lists are ordered by era and then by revision", "[platform][restore]") {
    const auto version = [](std::int64_t era, std::int64_t revision) {
        store_view view;
        view.era_ = era;
        view.revision_ = revision;
        return servers_version(view);
    };
    CHECK(version(1, 7) < version(1, 8));
    CHECK(version(1, max_revision) < version(2, 0));
    CHECK(version(2, 7) < version(3, 1));
    CHECK(version(max_era, 0) > version(max_era - 1, max_revision));
    CHECK(version(max_era, max_revision) > version(max_era, max_revision - 1));
    // As programs that know no eras count them, as long as the store was never restored, but after
    // the list of a program that knows no evacuations at the same revision.
    CHECK(version(0, 7) == 7500);
    CHECK(version(1, 7) == 7500);
    CHECK(lists_evacuations(version(1, 7)));
    CHECK(lists_evacuations(version(max_era, max_revision)));
    CHECK_FALSE(lists_evacuations(7000));
}

// Guards against requests to a target that is known to be leaving, since the copy shows it as it
// was before.
TEST_CASE("a leaving target that the copy shows as ready stays leaving", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    const store_stub::copy copy = store.make_copy();
    store.put(key_of("i-1"), entry_of("i-1", "draining", 3));
    REQUIRE(eventually([&] { return reader.targets()["i-1"] == "draining"; }));
    const std::int64_t version_before = reader.version(hosts);
    store.restore(copy);
    REQUIRE(eventually([&] { return reader.version(hosts) > version_before; }));
    CHECK(reader.targets() == target_states{{"i-1", "draining"}, {"i-2", "ready"}});
    SECTION("its next entry is in force") {
        store.put(key_of("i-1"), entry_of("i-1", "ready", 4));
        CHECK(eventually([&] { return reader.targets()["i-1"] == "ready"; }));
    }
    SECTION("so is the entry of a later start") {
        store.put(key_of("i-1"), entry_of("i-1", "ready", 1, 1'700'000'000'001));
        CHECK(eventually([&] { return reader.targets()["i-1"] == "ready"; }));
    }
    SECTION("the list is passed on when the store has removed the entry") {
        CHECK_FALSE(reader.shares_hosts());
        store.erase(key_of("i-1"));
        CHECK(eventually([&] { return reader.shares_hosts(); }));
        CHECK(reader.targets() == target_states{{"i-2", "ready"}});
    }
    SECTION("an entry that the store keeps for longer than those of silent targets is in force") {
        CHECK(eventually([&] { return reader.targets()["i-1"] == "ready"; }));
        CHECK(reader.shares_hosts());
    }
}

// Guards against requests to a target that has left, or to another one at its address, since the
// copy still lists it.
TEST_CASE("a removed target that the copy lists stays out of use", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    const store_stub::copy copy = store.make_copy();
    store.erase(key_of("i-1"));
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    // Another target has the address from now on.
    store.put(key_of("j-1"), entry_of("j-1", "ready", 1, 1'700'000'000'005));
    REQUIRE(eventually([&] { return reader.targets().contains("j-1"); }));
    const std::int64_t version_before = reader.version(hosts);
    store.restore(copy);
    REQUIRE(eventually([&] { return reader.version(hosts) > version_before; }));
    CHECK(reader.targets() == target_states{{"j-1", "ready"}, {"i-2", "ready"}});
    CHECK_FALSE(reader.shares_hosts());
    SECTION("until it writes again") {
        store.put(key_of("i-1"), entry_of("i-1", "ready", 2));
        CHECK(eventually([&] { return reader.targets().contains("i-1"); }));
    }
    SECTION("until its entry has outlived those of silent targets") {
        CHECK(eventually([&] { return reader.targets().contains("i-1"); }));
        CHECK(reader.shares_hosts());
    }
}

// Guards against a copy that reaches a process, which has not read the store since, by its peers.
TEST_CASE("a peer's list from a copy does not undo what is known better", "[platform][restore]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "draining", 5));
    store.put(key_of("i-2"), entry_of("i-2", "ready", 5));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    store_view copy;
    copy.era_ = 2;
    copy.revision_ = 1;
    reader.offer_from_peer(servers_version(copy), {"i-1 " + entry_of("i-1", "ready", 4),
                                                   "i-2 " + entry_of("i-2", "draining", 6)});
    CHECK(reader.version(hosts) == servers_version(copy));
    CHECK(reader.targets() == target_states{{"i-1", "draining"}, {"i-2", "draining"}});
    CHECK_FALSE(reader.shares_hosts());
}

// Guards against an older configuration that comes back with the copy.
TEST_CASE("a configuration that the copy lacks stays in force", "[platform][restore]") {
    store_stub store(store_address);
    store.put("op/config", configuration_of("00000001"));
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    const store_stub::copy copy = store.make_copy();
    store.put("op/config", configuration_of("00000002"));
    REQUIRE(eventually([&] { return reader.version(rules) == 2; }));
    store.restore(copy);
    store.put(key_of("i-2"), entry_of("i-2", "ready", 1));
    REQUIRE(eventually([&] { return reader.targets().size() == 2; }));
    CHECK(reader.version(rules) == 2);
    store.put("op/config", configuration_of("00000005"));
    CHECK(eventually([&] { return reader.version(rules) == 5; }));
}

// Guards against requests to an evacuated zone because the copy was made before the evacuation.
TEST_CASE("an evacuation that the copy lacks stays in force until the restore is over",
          "[platform][restore][evacuation]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    const store_stub::copy copy = store.make_copy();
    store.put("op/evacuate/z1", "{}");
    REQUIRE(eventually([&] { return reader.evacuated().contains("z1"); }));
    const std::int64_t version_before = reader.version(hosts);
    store.restore(copy);
    REQUIRE(eventually([&] { return reader.version(hosts) > version_before; }));
    CHECK(reader.evacuated().contains("z1"));
    CHECK_FALSE(reader.shares_hosts());
    SECTION("one that is written again stays until it is deleted") {
        store.put("op/evacuate/z1", "{}");
        REQUIRE(eventually([&] { return reader.shares_hosts(); }));
        CHECK(reader.evacuated().contains("z1"));
        store.erase("op/evacuate/z1");
        CHECK(eventually([&] { return reader.evacuated().empty(); }));
    }
    SECTION("one that is not written again ends with the restore") {
        CHECK(eventually([&] { return reader.evacuated().empty(); }));
        CHECK(eventually([&] { return reader.shares_hosts(); }));
    }
}

// Guards against an outage of the store, or a list of an older program, that ends an evacuation.
TEST_CASE("an evacuation outlasts an outage and the lists of older programs",
          "[platform][evacuation]") {
    store_stub store(store_address);
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store.put("op/evacuate/z1", "{}");
    store_reader reader;
    REQUIRE(eventually([&] { return reader.evacuated().contains("z1"); }));
    store.set_fault(store_fault::reset);
    REQUIRE(eventually([&] { return !reader.platform_available(); }));
    CHECK(reader.evacuated().contains("z1"));
    const std::string entry = "i-1 " + entry_of("i-1", "ready", 2);
    const std::int64_t revision = reader.version(hosts) / 1000;
    reader.offer_from_peer((revision + 1) * 1000, {entry});
    REQUIRE(reader.version(hosts) == (revision + 1) * 1000);
    CHECK(reader.evacuated().contains("z1"));
    // A program that knows evacuations reports the withdrawal.
    reader.offer_from_peer((revision + 2) * 1000 + 500, {entry});
    CHECK(reader.evacuated().empty());
    reader.offer_from_peer((revision + 3) * 1000 + 500, {entry, "evacuate/z2 {}"});
    CHECK(reader.evacuated() == std::set<std::string>{"z2"});
}

// Guards against a target that evacuates a zone by its id, and against an odd key that affects the
// rest of the list.
TEST_CASE("only the operator's keys evacuate a zone", "[platform][evacuation]") {
    store_stub store(store_address);
    store.put("op/evacuate/", "{}");
    store.put("op/evacuate/z 3", "{}");
    store.put("op/evacuate/z4", "not an object");
    store.put(key_of("evacuate/z1"), entry_of("i-9", "ready", 1));
    store.put(key_of("i-1"), entry_of("i-1", "ready", 1));
    store_reader reader;
    REQUIRE(eventually([&] { return reader.targets().size() == 1; }));
    CHECK(reader.evacuated() == std::set<std::string>{"z4"});
    store.erase("op/evacuate/z4");
    CHECK(eventually([&] { return reader.evacuated().empty(); }));
}
