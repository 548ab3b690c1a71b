// Reads and watches the platform's configuration values.
//
// Only this module uses this protocol of the platform. GET /v1/values/NAME?after=VERSION&wait=MS
// returns 200 with a manifest and X-Version, or 304 if nothing newer is published before the wait
// ends. A manifest is a JSON object {"parts":[{"part":"NAME","digest":"SHA-256 of the part"}]}.
// Parts are read at /v1/values/NAME/PART.
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
    // Lines of all parts, in the order of the manifest.
    std::vector<std::string> lines_;
};

struct platform_reader_options {
    base::address platform_;
    // Name of the value: "rules" or "hosts".
    std::string value_;
    // Time for which the platform may hold a call open until a newer version is published.
    base::duration watch_wait_{};
};

struct platform_reader_events {
    // Called when a whole version was read.
    std::function<void(platform_version)> published_;
    // Called with the time at which the current version counts as confirmed: the start of a call
    // that found nothing newer, or of the call that returned the manifest of a new version.
    std::function<void(base::instant)> confirmed_;
    // Called when a call failed. The reader retries automatically.
    std::function<void(const base::error&)> failed_;
};

// Watches one value between start() and stop().
class platform_reader {
public:
    platform_reader(event_loop& loop, platform_reader_options options,
                    platform_reader_events events);

    // Starts to watch for versions above `current_version`. Does nothing if already started.
    void start(std::int64_t current_version);

    // Cancels the call or retry in progress.
    void stop();

    bool started() const { return started_; }

    // Returns the number of calls made so far.
    std::uint64_t request_count() const { return calls_; }

private:
    struct part {
        std::string name_;
        // SHA-256 of the part's text, in hexadecimal.
        std::string digest_;
    };

    void watch();
    void call(const std::string& path, base::duration timeout, http_fetch::callback done);
    void on_watched(base::instant started_at, base::result<fetch_result> outcome);
    void on_unchanged(base::instant started_at, const fetch_result& response);
    void on_manifest(base::instant requested_at, const fetch_result& response);
    void read_next_part();
    void on_part(base::result<fetch_result> outcome);
    void publish();
    void schedule_retry(const base::error& error);
    static base::result<std::vector<part>> parse_manifest(const std::string& text);

    event_loop& loop_;
    platform_reader_options options_;
    platform_reader_events events_;
    base::random_engine random_;
    std::unique_ptr<http_fetch> fetch_;
    timer retry_timer_;
    bool started_ = false;
    // Consecutive failed calls, at most max_doublings.
    int failures_ = 0;
    std::uint64_t calls_ = 0;
    std::int64_t current_version_ = 0;
    // Version whose parts are being read, its parts, and the index of the next one to read.
    std::int64_t pending_version_ = 0;
    base::instant manifest_requested_at_{};
    // No call has begun since the last version was published.
    bool just_published_ = false;
    std::vector<part> parts_;
    std::size_t next_part_ = 0;
    // Texts of the parts of the last version and of those read since, by digest. Known parts are
    // not read again.
    std::unordered_map<std::string, std::string> known_parts_;
};

}  // namespace dandelionridge::net
