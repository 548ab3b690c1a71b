// Measures how memory, message sizes and times grow with size, for docs/CAPACITY.md. Prints one
// line per measurement: slope what=NAME size=N value=V unit=U
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

double elapsed_us(clock_type::time_point started_at) {
    return std::chrono::duration<double, std::micro>(clock_type::now() - started_at).count();
}

// Returns rules in the mix of the planned size, which has 110,000 organisations with one key each
// and 31,000 routes.
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
    const std::vector<std::string> rule_lines = make_rules(size);
    std::size_t heap_before = heap_bytes();
    auto started_at = clock_type::now();
    const config::parsed_rules parsed = config::parse_rules(1, rule_lines);
    print("rules_parse", size, elapsed_us(started_at) / static_cast<double>(size), "us_per_line");
    if (parsed.rules_ == nullptr) {
        std::cerr << config::to_string(parsed.errors_.front()) << '\n';
        return;
    }
    print("rules_held", size,
          static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(size),
          "bytes_per_line");
    heap_before = heap_bytes();
    const config::versioned_lines base_lines = config::make_versioned_lines(1, rule_lines);
    print("lines_held", size,
          static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(size),
          "bytes_per_line");
    config::versioned_lines next_lines = base_lines;
    next_lines.version_ = 2;
    next_lines.lines_.back() += "x";
    next_lines = config::make_versioned_lines(2, next_lines.lines_);
    started_at = clock_type::now();
    const config::line_delta delta = config::make_delta(base_lines, next_lines);
    print("delta_make", size, elapsed_us(started_at), "us");
    started_at = clock_type::now();
    const auto applied = config::apply_delta(base_lines, delta);
    print("delta_apply", size, elapsed_us(started_at), "us");
    constexpr int lookup_count = 100'000;
    started_at = clock_type::now();
    std::size_t found_count = 0;
    for (int i = 0; i < lookup_count; ++i) {
        const std::string path = "/path/" + std::to_string(i * 5) + "/a/b?c=d";
        found_count += config::find_route(*parsed.rules_, "shop", path) == nullptr ? 0 : 1;
    }
    print("route_match", size, elapsed_us(started_at) / lookup_count, "us");
    started_at = clock_type::now();
    for (int i = 0; i < lookup_count; ++i) {
        found_count += config::find_key(*parsed.rules_, std::to_string(i)) == nullptr ? 0 : 1;
    }
    print("key_match", size, elapsed_us(started_at) / lookup_count, "us");
    if (found_count == 0 || !applied) {
        std::cerr << "no route or key was found, or the delta could not be applied\n";
    }
}

void measure_hosts(std::size_t hosts) {
    std::vector<std::string> lines;
    constexpr int targets_per_host = 12;
    for (std::size_t host_index = 0; host_index < hosts; ++host_index) {
        const std::string host_number = std::to_string(host_index);
        std::string line = R"({"host":"host-)" + host_number + R"(","zone":"z)" +
                           std::to_string(host_index % 14) +
                           R"(","address":"10.0.0.1:7070","state":"live","targets":[)";
        for (int target_index = 0; target_index < targets_per_host; ++target_index) {
            line += std::string(target_index == 0 ? "" : ",") + R"({"target":"t-)" + host_number +
                    "-" + std::to_string(target_index) + R"(","service":"s)" +
                    std::to_string(
                        (host_index * targets_per_host + static_cast<std::size_t>(target_index)) %
                        3000) +
                    R"(","address":"127.0.0.1:9001"})";
        }
        lines.push_back(line + "]}");
    }
    const std::size_t heap_before = heap_bytes();
    const auto started_at = clock_type::now();
    const auto parsed = config::parse_hosts(1, lines);
    print("hosts_parse", hosts, elapsed_us(started_at) / static_cast<double>(hosts), "us_per_host");
    print("hosts_held", hosts,
          static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(hosts),
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
    const std::size_t heap_before = heap_bytes();
    policy::attempt_ledger ledger;
    ledger.boot_ = 1;
    ledger.capacity_ = attempts;
    constexpr std::int64_t caller_proxies = 100;
    for (std::size_t i = 0; i < attempts; ++i) {
        const policy::ledger_key key{static_cast<std::int64_t>(i) % caller_proxies,
                                     {1, static_cast<std::int64_t>(i) / caller_proxies + 1}};
        policy::admit_attempt(ledger, key, 1);
        policy::start_attempt(ledger, key);
        policy::end_attempt(ledger, key);
    }
    print("ledger_attempt", attempts,
          static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(attempts),
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
