#include "net/platform_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "config/rule_parser.h"

namespace dandelionridge::net {

namespace {

// A retry waits for min_retry_delay and a random time, whose limit doubles with each consecutive
// failure up to max_retry_jitter.
constexpr base::duration min_retry_delay = base::milliseconds(200);
constexpr base::duration max_retry_jitter = base::seconds(10);
// Time limit for a response, in addition to the wait that the call requests.
constexpr base::duration response_grace = base::seconds(5);
// Consecutive failures after which the limit of the random time does not double again.
constexpr int max_doublings = 6;
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

// Returns the version in the response's X-Version header, or 0.
std::int64_t version_of(const fetch_result& response) {
    std::int64_t version = 0;
    if (const std::string* header = find_header(response.headers_, "x-version")) {
        std::from_chars(header->data(), header->data() + header->size(), version);
    }
    return version;
}

}  // namespace

platform_reader::platform_reader(event_loop& loop, platform_reader_options options,
                                 platform_reader_events events)
    : loop_(loop),
      options_(std::move(options)),
      events_(std::move(events)),
      random_(base::make_random_engine()),
      retry_timer_(loop) {}

void platform_reader::start(std::int64_t current_version) {
    if (started_) {
        return;
    }
    started_ = true;
    current_version_ = std::max(current_version_, current_version);
    watch();
}

void platform_reader::stop() {
    started_ = false;
    fetch_.reset();
    retry_timer_.cancel();
}

void platform_reader::call(const std::string& path, base::duration timeout,
                           http_fetch::callback done) {
    ++calls_;
    fetch_options options;
    options.server_ = options_.platform_;
    options.path_ = "/v1/values/" + options_.value_ + path;
    options.timeout_ = timeout;
    fetch_ = std::make_unique<http_fetch>(loop_, std::move(options), std::move(done));
}

void platform_reader::watch() {
    // Without a wait the platform responds at once, so that a start and a new version are confirmed
    // without delay.
    const bool confirm_at_once = current_version_ == 0 || std::exchange(just_published_, false);
    const base::duration wait = confirm_at_once ? base::duration::zero() : options_.watch_wait_;
    const std::string path = "?after=" + std::to_string(current_version_) +
                             "&wait=" + std::to_string(base::whole_ms(wait));
    const base::instant started_at = loop_.clock().now();
    call(path, wait + response_grace, [this, started_at](base::result<fetch_result> outcome) {
        on_watched(started_at, std::move(outcome));
    });
}

void platform_reader::on_watched(base::instant started_at, base::result<fetch_result> outcome) {
    if (!outcome) {
        schedule_retry(outcome.error());
        return;
    }
    if (outcome->status_ == status_not_modified) {
        on_unchanged(started_at, *outcome);
        return;
    }
    if (outcome->status_ != status_ok) {
        schedule_retry({base::error_kind::network, "the platform responded with status " +
                                                       std::to_string(outcome->status_) +
                                                       ", not 200 or 304; check its health"});
        return;
    }
    on_manifest(started_at, *outcome);
}

void platform_reader::on_unchanged(base::instant started_at, const fetch_result& response) {
    const std::int64_t version = version_of(response);
    if (version > 0 && version < current_version_) {
        schedule_retry({base::error_kind::bad_value,
                        "the platform responded with version " + std::to_string(version) +
                            ", older than " + std::to_string(current_version_) +
                            "; it is stale, so its response does not confirm the "
                            "current version"});
        return;
    }
    failures_ = 0;
    events_.confirmed_(started_at);
    if (started_) {
        watch();
    }
}

base::result<std::vector<platform_reader::part>> platform_reader::parse_manifest(
    const std::string& text) {
    const nlohmann::json manifest = nlohmann::json::parse(text, nullptr, false);
    const auto invalid_manifest = [] {
        return base::fail(base::error_kind::bad_value,
                          "cannot parse a manifest; publish {\"parts\":[{\"part\":NAME,"
                          "\"digest\":SHA-256}]}");
    };
    if (!manifest.is_object() || !manifest.contains("parts") || !manifest["parts"].is_array()) {
        return invalid_manifest();
    }
    std::vector<part> parts;
    for (const auto& entry : manifest["parts"]) {
        if (!entry.is_object() || !entry.contains("part") || !entry["part"].is_string() ||
            !entry.contains("digest") || !entry["digest"].is_string()) {
            return invalid_manifest();
        }
        parts.push_back({entry["part"].get<std::string>(), entry["digest"].get<std::string>()});
    }
    return parts;
}

void platform_reader::on_manifest(base::instant requested_at, const fetch_result& response) {
    manifest_requested_at_ = requested_at;
    pending_version_ = version_of(response);
    auto parts = parse_manifest(response.body_);
    if (!parts || pending_version_ <= 0) {
        schedule_retry(parts ? base::error{base::error_kind::bad_value,
                                           "a manifest has no valid X-Version header; "
                                           "publish it with a version above 0"}
                             : parts.error());
        return;
    }
    parts_ = std::move(*parts);
    next_part_ = 0;
    read_next_part();
}

void platform_reader::read_next_part() {
    while (next_part_ < parts_.size() && known_parts_.contains(parts_[next_part_].digest_)) {
        ++next_part_;
    }
    if (next_part_ == parts_.size()) {
        publish();
        return;
    }
    call("/" + parts_[next_part_].name_, response_grace,
         [this](base::result<fetch_result> outcome) { on_part(std::move(outcome)); });
}

void platform_reader::on_part(base::result<fetch_result> outcome) {
    if (!outcome) {
        schedule_retry(outcome.error());
        return;
    }
    const std::string& expected = parts_[next_part_].digest_;
    if (outcome->status_ != status_ok || base::sha256_hex(outcome->body_) != expected) {
        // The part was not received or belongs to another version than the manifest: start over
        // with a new manifest.
        schedule_retry({base::error_kind::bad_value,
                        "part '" + parts_[next_part_].name_ +
                            "' was not received or does not match the digest in its "
                            "manifest; it is read again with the next manifest"});
        return;
    }
    known_parts_[expected] = std::move(outcome->body_);
    read_next_part();
}

void platform_reader::publish() {
    failures_ = 0;
    platform_version published;
    published.version_ = pending_version_;
    std::unordered_map<std::string, std::string> current_parts;
    for (const part& published_part : parts_) {
        const std::string& text = known_parts_[published_part.digest_];
        for (std::string& line : config::split_lines(text)) {
            published.lines_.push_back(std::move(line));
        }
        current_parts.emplace(published_part.digest_, text);
    }
    known_parts_ = std::move(current_parts);
    current_version_ = std::max(current_version_, pending_version_);
    events_.published_(std::move(published));
    just_published_ = true;
    events_.confirmed_(manifest_requested_at_);
    if (started_) {
        watch();
    }
}

void platform_reader::schedule_retry(const base::error& error) {
    events_.failed_(error);
    if (!started_) {
        return;
    }
    failures_ = std::min(failures_ + 1, max_doublings);
    const base::duration max_jitter =
        std::min(max_retry_jitter, min_retry_delay * (1 << failures_));
    const auto max_jitter_ms = static_cast<std::uint64_t>(base::whole_ms(max_jitter));
    const base::duration wait =
        min_retry_delay + base::milliseconds(base::random_below(random_, max_jitter_ms));
    retry_timer_.start(wait, [this] { watch(); });
}

}  // namespace dandelionridge::net
