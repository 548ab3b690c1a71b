// Slopes of state, messages and time against size, for docs/CAPACITY.md. One line a measurement:
// slope what=NAME size=N value=V unit=U
#include <malloc.h>

#include <chrono>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "base/hash.h"
#include "config/host_list.h"
#include "config/rule_parser.h"
#include "config/versioned_lines.h"
#include "net/frame_codec.h"
#include "policy/attempt_ledger.h"
#include "policy/quota.h"
#include "wire/gen/fleet_types.h"

namespace {

using namespace dandelionridge;
using clock_type = std::chrono::steady_clock;

void print(const std::string& what, std::size_t size, double value, const std::string& unit) {
    std::cout << "slope what=" << what << " size=" << size << " value=" << value << " unit=" << unit
              << '\n';
}

std::size_t heap_bytes() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double since_us(clock_type::time_point began) {
    return std::chrono::duration<double, std::micro>(clock_type::now() - began).count();
}

// The mix of the planned size: 110,000 organisations with a key each to 31,000 routes.
std::vector<std::string> make_rules(std::size_t lines) {
    std::vector<std::string> rules = {"zone z1 # plan", "service s # plan"};
    for (std::size_t i = 0; rules.size() < lines; ++i) {
        std::ostringstream line;
        if (i % 5 == 0) {
            line << "route r" << i << " match=*/path/" << i << " service=s";
        } else if (i % 5 < 3) {
            line << "organisation o" << i << " rate=10/s burst=20";
        } else {
            line << "key k" << i << " sha256=" << base::sha256_hex(std::to_string(i))
                 << " organisation=o" << i - 2;
        }
        line << " # team " << i;
        rules.push_back(line.str());
    }
    return rules;
}

void measure_rules(std::size_t size) {
    const std::vector<std::string> text = make_rules(size);
    std::size_t before = heap_bytes();
    auto began = clock_type::now();
    const config::parsed_rules parsed = config::parse_rules(1, text);
    print("rules_parse", size, since_us(began) / static_cast<double>(size), "us_per_line");
    if (parsed.rules_ == nullptr) {
        std::cerr << config::to_string(parsed.errors_.front()) << '\n';
        return;
    }
    print("rules_held", size,
          static_cast<double>(heap_bytes() - before) / static_cast<double>(size), "bytes_per_line");
    before = heap_bytes();
    const config::versioned_lines held = config::make_versioned_lines(1, text);
    print("lines_held", size,
          static_cast<double>(heap_bytes() - before) / static_cast<double>(size), "bytes_per_line");
    config::versioned_lines next = held;
    next.version_ = 2;
    next.lines_.back() += "x";
    next = config::make_versioned_lines(2, next.lines_);
    began = clock_type::now();
    const config::line_delta delta = config::make_delta(held, next);
    print("delta_make", size, since_us(began), "us");
    began = clock_type::now();
    const auto applied = config::apply_delta(held, delta);
    print("delta_apply", size, since_us(began), "us");
    constexpr int lookups = 100'000;
    began = clock_type::now();
    std::size_t found = 0;
    for (int i = 0; i < lookups; ++i) {
        const std::string path = "/path/" + std::to_string(i * 5) + "/a/b?c=d";
        found += config::find_route(*parsed.rules_, "shop", path) == nullptr ? 0 : 1;
    }
    print("route_match", size, since_us(began) / lookups, "us");
    began = clock_type::now();
    for (int i = 0; i < lookups; ++i) {
        found += config::find_key(*parsed.rules_, std::to_string(i)) == nullptr ? 0 : 1;
    }
    print("key_match", size, since_us(began) / lookups, "us");
    if (found == 0 || !applied) {
        std::cerr << "nothing was found\n";
    }
}

void measure_hosts(std::size_t hosts) {
    std::vector<std::string> lines;
    constexpr int targets_a_host = 12;
    for (std::size_t h = 0; h < hosts; ++h) {
        const std::string n = std::to_string(h);
        std::string line = R"({"host":"host-)" + n + R"(","zone":"z)" + std::to_string(h % 14) +
                           R"(","address":"10.0.0.1:7070","state":"live","targets":[)";
        for (int t = 0; t < targets_a_host; ++t) {
            line += std::string(t == 0 ? "" : ",") + R"({"target":"t-)" + n + "-" +
                    std::to_string(t) + R"(","service":"s)" +
                    std::to_string((h * targets_a_host + static_cast<std::size_t>(t)) % 3000) +
                    R"(","address":"127.0.0.1:9001"})";
        }
        lines.push_back(line + "]}");
    }
    const std::size_t before = heap_bytes();
    const auto began = clock_type::now();
    const auto parsed = config::parse_hosts(1, lines);
    print("hosts_parse", hosts, since_us(began) / static_cast<double>(hosts), "us_per_host");
    print("hosts_held", hosts,
          static_cast<double>(heap_bytes() - before) / static_cast<double>(hosts),
          "bytes_per_host");
    if (!parsed) {
        std::cerr << parsed.error().message_ << '\n';
    }
}

void measure_messages() {
    wire::frame frame;
    frame.__isset.view_question_ = true;
    frame.view_question_.nonce = 100'000;
    frame.view_question_.versions.rules = 1'000'000;
    frame.view_question_.versions.hosts = 10'000'000;
    frame.view_question_.versions.confirmed_age_ms = 1500;
    print("view_question", 1, static_cast<double>(net::encode_frame(frame).size()), "bytes");
    wire::frame request;
    request.__isset.lease_request_ = true;
    request.lease_request_.request = 100'000;
    request.lease_request_.organisation = "organisation-12345";
    request.lease_request_.tokens = 3;
    wire::frame grant;
    grant.__isset.lease_grant_ = true;
    grant.lease_grant_.request = 100'000;
    grant.lease_grant_.organisation = "organisation-12345";
    grant.lease_grant_.tokens = 3;
    grant.lease_grant_.granting = true;
    print("lease_exchange", 1,
          static_cast<double>(net::encode_frame(request).size() + net::encode_frame(grant).size()),
          "bytes");
    wire::frame update;
    update.__isset.update_ = true;
    update.update_.base = 1'000'000;
    update.update_.version = 1'000'001;
    update.update_.added = {make_rules(5).back()};
    update.update_.removed = {make_rules(5).back()};
    update.update_.digest = 1LL << 62;
    print("config_update", 1, static_cast<double>(net::encode_frame(update).size()), "bytes");
}

void measure_ledger(std::size_t attempts) {
    const std::size_t before = heap_bytes();
    policy::attempt_ledger ledger;
    ledger.boot_ = 1;
    ledger.capacity_ = attempts;
    constexpr std::int64_t entries = 100;
    for (std::size_t i = 0; i < attempts; ++i) {
        const policy::ledger_key key{static_cast<std::int64_t>(i) % entries,
                                     {1, static_cast<std::int64_t>(i) / entries + 1}};
        policy::admit_attempt(ledger, key, 1);
        policy::start_attempt(ledger, key);
        policy::end_attempt(ledger, key);
    }
    print("ledger_attempt", attempts,
          static_cast<double>(heap_bytes() - before) / static_cast<double>(attempts),
          "bytes_per_attempt");
}

void measure_quota() {
    print("quota_owner", 1, static_cast<double>(sizeof(policy::quota_owner)), "bytes");
    print("held_tokens", 1, static_cast<double>(sizeof(policy::held_tokens)), "bytes");
}

}  // namespace

int main() {
    for (const std::size_t size : {1'000, 10'000, 100'000, 251'000}) {
        measure_rules(size);
    }
    for (const std::size_t size : {100, 1'000, 5'000}) {
        measure_hosts(size);
    }
    measure_messages();
    for (const std::size_t size : {1'000, 20'000}) {
        measure_ledger(size);
    }
    measure_quota();
    return 0;
}
