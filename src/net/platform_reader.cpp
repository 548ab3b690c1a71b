#include "net/platform_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "config/rule_parser.h"

namespace dandelionridge::net {

namespace {

constexpr base::duration shortest_retry = base::milliseconds(200);
constexpr base::duration longest_retry = base::seconds(10);
constexpr base::duration answer_grace = base::seconds(5);
constexpr int most_doublings = 6;
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

// The version that an answer names, or 0.
std::int64_t version_of(const fetch_result& answer) {
    std::int64_t version = 0;
    if (const std::string* text = find_header(answer.headers_, "x-version")) {
        std::from_chars(text->data(), text->data() + text->size(), version);
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
      retry_(loop) {}

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
    retry_.cancel();
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
    // The first call of a watch answers at once, so that a start is confirmed without a wait.
    const base::duration wait =
        current_version_ == 0 ? base::duration::zero() : options_.watch_wait_;
    const std::string path = "?after=" + std::to_string(current_version_) +
                             "&wait=" + std::to_string(base::whole_ms(wait));
    const base::instant began = loop_.clock().now();
    call(path, wait + answer_grace, [this, began](base::result<fetch_result> outcome) {
        on_watched(began, std::move(outcome));
    });
}

void platform_reader::on_watched(base::instant began, base::result<fetch_result> outcome) {
    if (!outcome) {
        schedule_retry(outcome.error());
        return;
    }
    if (outcome->status_ == status_not_modified) {
        on_unchanged(began, *outcome);
        return;
    }
    if (outcome->status_ != status_ok) {
        schedule_retry({base::error_kind::network, "the platform answered with status " +
                                                       std::to_string(outcome->status_) +
                                                       "; check its health"});
        return;
    }
    on_manifest(*outcome);
}

void platform_reader::on_unchanged(base::instant began, const fetch_result& response) {
    const std::int64_t version = version_of(response);
    if (version > 0 && version < current_version_) {
        schedule_retry({base::error_kind::bad_value,
                        "the platform answers with version " + std::to_string(version) +
                            ", older than " + std::to_string(current_version_) +
                            "; it is stale, so its answers confirm nothing"});
        return;
    }
    failures_ = 0;
    events_.confirmed_(began);
    if (started_) {
        watch();
    }
}

base::result<std::vector<platform_reader::part>> platform_reader::parse_manifest(
    const std::string& text) {
    const nlohmann::json manifest = nlohmann::json::parse(text, nullptr, false);
    const auto wrong = [] {
        return base::fail(base::error_kind::bad_value,
                          "a manifest cannot be read; publish {\"parts\":[{\"part\":NAME,"
                          "\"digest\":SHA-256}]}");
    };
    if (!manifest.is_object() || !manifest.contains("parts") || !manifest["parts"].is_array()) {
        return wrong();
    }
    std::vector<part> parts;
    for (const auto& entry : manifest["parts"]) {
        if (!entry.is_object() || !entry.contains("part") || !entry["part"].is_string() ||
            !entry.contains("digest") || !entry["digest"].is_string()) {
            return wrong();
        }
        parts.push_back({entry["part"].get<std::string>(), entry["digest"].get<std::string>()});
    }
    return parts;
}

void platform_reader::on_manifest(const fetch_result& response) {
    pending_version_ = version_of(response);
    auto parts = parse_manifest(response.body_);
    if (!parts || pending_version_ <= 0) {
        schedule_retry(parts ? base::error{base::error_kind::bad_value,
                                           "a manifest has no X-Version; publish it with one"}
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
    call("/" + parts_[next_part_].name_, answer_grace,
         [this](base::result<fetch_result> outcome) { on_part(std::move(outcome)); });
}

void platform_reader::on_part(base::result<fetch_result> outcome) {
    if (!outcome) {
        schedule_retry(outcome.error());
        return;
    }
    const std::string& expected = parts_[next_part_].digest_;
    if (outcome->status_ != status_ok || base::sha256_hex(outcome->body_) != expected) {
        // The part belongs to another version than the manifest: begin again.
        schedule_retry({base::error_kind::bad_value,
                        "part '" + parts_[next_part_].name_ +
                            "' does not match its manifest; it is read again with the next one"});
        return;
    }
    known_parts_[expected] = std::move(outcome->body_);
    read_next_part();
}

void platform_reader::publish() {
    failures_ = 0;
    platform_version published;
    published.version_ = pending_version_;
    std::unordered_map<std::string, std::string> kept;
    for (const part& one : parts_) {
        const std::string& text = known_parts_[one.digest_];
        for (std::string& line : config::split_lines(text)) {
            published.lines_.push_back(std::move(line));
        }
        kept.emplace(one.digest_, text);
    }
    known_parts_ = std::move(kept);
    const base::instant read_at = loop_.clock().now();
    current_version_ = std::max(current_version_, pending_version_);
    events_.published_(std::move(published));
    events_.confirmed_(read_at);
    if (started_) {
        watch();
    }
}

void platform_reader::schedule_retry(const base::error& why) {
    events_.failed_(why);
    if (!started_) {
        return;
    }
    failures_ = std::min(failures_ + 1, most_doublings);
    const base::duration ceiling = std::min(longest_retry, shortest_retry * (1 << failures_));
    const auto spread = static_cast<std::uint64_t>(base::whole_ms(ceiling));
    const base::duration wait =
        shortest_retry + base::milliseconds(base::random_below(random_, spread));
    retry_.start(wait, [this] { watch(); });
}

}  // namespace dandelionridge::net
