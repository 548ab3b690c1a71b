// Reads and watches the platform's configuration values.
//
// The one place that knows the platform's protocol: GET /v1/values/NAME?after=VERSION&wait=MS
// answers 200 with a manifest and X-Version, or 304 when the wait ends. A manifest is a JSON object
// {"parts":[{"part":"NAME","digest":"SHA-256 of the part"}]}; parts are read at
// /v1/values/NAME/PART.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "net/http_fetch.h"

namespace dandelionridge::net {

// A version that the platform published.
struct platform_version {
    std::int64_t version_ = 0;
    std::vector<std::string> lines_;
};

struct platform_reader_options {
    base::address platform_;
    // "rules" or "hosts".
    std::string value_;
    base::duration watch_wait_{};
};

struct platform_reader_events {
    // A whole version has been read.
    std::function<void(platform_version)> published_;
    // The platform answered a call that began at that time, and had nothing newer.
    std::function<void(base::instant)> confirmed_;
    // A call failed; the reader tries again by itself.
    std::function<void(const base::error&)> failed_;
};

// Watches one value as long as it is started.
class platform_reader {
public:
    platform_reader(event_loop& loop, platform_reader_options options,
                    platform_reader_events events);

    // Watches for versions above `have`. Does nothing if it is started.
    void start(std::int64_t current_version);

    void stop();

    bool started() const { return started_; }

    // Calls made so far.
    std::uint64_t calls() const { return calls_; }

private:
    struct part {
        std::string name_;
        std::string digest_;
    };

    void watch();
    void call(const std::string& path, base::duration timeout, http_fetch::callback done);
    void on_watched(base::instant began, base::result<fetch_result> outcome);
    void on_unchanged(base::instant began, const fetch_result& response);
    void on_manifest(const fetch_result& response);
    void read_next_part();
    void on_part(base::result<fetch_result> outcome);
    void publish();
    void schedule_retry(const base::error& why);
    static base::result<std::vector<part>> parse_manifest(const std::string& text);

    event_loop& loop_;
    platform_reader_options options_;
    platform_reader_events events_;
    base::random_engine random_;
    std::unique_ptr<http_fetch> fetch_;
    timer retry_;
    bool started_ = false;
    int failures_ = 0;
    std::uint64_t calls_ = 0;
    std::int64_t current_version_ = 0;
    std::int64_t pending_version_ = 0;
    std::vector<part> parts_;
    std::size_t next_part_ = 0;
    // Text of the parts of the last version, by digest.
    std::unordered_map<std::string, std::string> known_parts_;
};

}  // namespace dandelionridge::net
