#include "support/platform_stub.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

// Returns the number after "NAME=" in a path's query, or 0 if there is none.
std::int64_t query_number(const std::string& path, const std::string& name) {
    const std::size_t name_offset = path.find(name + "=");
    return name_offset == std::string::npos
               ? 0
               : std::stoll(path.substr(name_offset + name.size() + 1));
}

}  // namespace

class platform_handler final : public net::http_handler {
public:
    platform_handler(platform_stub& platform, net::http_exchange& exchange,
                     const net::http_request& request)
        : platform_(platform), exchange_(exchange), wait_timer_(platform.thread_.loop()) {
        ++platform_.calls_;
        if (platform_.unavailable_) {
            exchange_.abort();
            return;
        }
        const std::string prefix = "/v1/values/";
        const std::string path = request.path_.substr(0, request.path_.find('?'));
        std::string name = path.substr(std::min(prefix.size(), path.size()));
        const std::size_t slash = name.find('/');
        if (slash != std::string::npos) {
            value_name_ = name.substr(0, slash);
            part_ = name.substr(slash + 1);
            platform_.watchers_.insert(this);
            respond_with_part();
            return;
        }
        value_name_ = name;
        known_version_ = query_number(request.path_, "after");
        const std::int64_t wait_ms = query_number(request.path_, "wait");
        platform_.watchers_.insert(this);
        if (!respond_if_newer()) {
            wait_timer_.start(base::milliseconds(wait_ms), [this] { respond_unchanged(); });
        }
    }
    platform_handler(const platform_handler&) = delete;
    platform_handler& operator=(const platform_handler&) = delete;
    ~platform_handler() override { platform_.watchers_.erase(this); }

    bool respond_if_newer() {
        const auto& value = platform_.values_[value_name_];
        if (responded_ || !part_.empty() || value.version_ <= known_version_) {
            return false;
        }
        respond(200, value.version_, value.manifest_);
        return true;
    }

    bool respond_with_part() {
        if (responded_ || part_.empty() || platform_.parts_held_) {
            return false;
        }
        const auto& published = platform_.values_[value_name_];
        const auto found = published.parts_.find(part_);
        const bool known = found != published.parts_.end();
        respond(known ? 200 : 404, published.version_, known ? found->second : "");
        return true;
    }

    void abort_exchange() {
        if (!responded_) {
            responded_ = true;
            exchange_.abort();
        }
    }

    void on_body(std::string_view /*bytes*/) override {}
    void on_body_end() override {}
    void on_sent(std::size_t /*bytes*/) override {}

private:
    void respond_unchanged() {
        if (!responded_) {
            respond(304, platform_.values_[value_name_].version_, "");
        }
    }

    void respond(int status, std::int64_t version, const std::string& body) {
        responded_ = true;
        net::http_response response;
        response.status_ = status;
        response.headers_ = {{"x-version", std::to_string(version)}};
        net::send_response(exchange_, std::move(response), body);
    }

    platform_stub& platform_;
    net::http_exchange& exchange_;
    net::timer wait_timer_;
    std::string value_name_;
    // Part that the call is for; empty if it is for the manifest.
    std::string part_;
    std::int64_t known_version_ = 0;
    bool responded_ = false;
};

platform_stub::platform_stub(const base::address& address) {
    thread_.run([&] {
        net::http_server_options options;
        options.address_ = address;
        server_ =
            std::move(net::http_server::create(
                          thread_.loop(), std::move(options),
                          [this](net::http_exchange& exchange, const net::http_request& request) {
                              return std::make_unique<platform_handler>(*this, exchange, request);
                          })
                          .value());
    });
}

platform_stub::~platform_stub() {
    // The handlers, which refer to this stub, are destroyed by deferred functions.
    thread_.run([&] {
        server_.reset();
        thread_.loop().run_deferred();
    });
}

void platform_stub::hold_parts(bool hold) {
    thread_.run([&] {
        parts_held_ = hold;
        for (platform_handler* handler : std::set<platform_handler*>(watchers_)) {
            handler->respond_with_part();
        }
    });
}

void platform_stub::set_value(const std::string& value_name, std::int64_t version,
                              const std::vector<std::string>& lines, std::size_t part_lines) {
    published_value new_value;
    new_value.version_ = version;
    nlohmann::json parts = nlohmann::json::array();
    for (std::size_t from = 0; from < lines.size(); from += part_lines) {
        std::string text;
        for (std::size_t i = from; i < std::min(lines.size(), from + part_lines); ++i) {
            text += lines[i] + "\n";
        }
        const std::string name = "part" + std::to_string(from / part_lines);
        parts.push_back({{"part", name}, {"digest", base::sha256_hex(text)}});
        new_value.parts_[name] = std::move(text);
    }
    new_value.manifest_ = nlohmann::json{{"version", version}, {"parts", parts}}.dump();
    values_[value_name] = std::move(new_value);
}

void platform_stub::publish(const std::string& value_name, std::int64_t version,
                            const std::vector<std::string>& lines, std::size_t part_lines) {
    thread_.run([&] {
        set_value(value_name, version, lines, part_lines);
        const std::set<platform_handler*> watchers = watchers_;
        for (platform_handler* handler : watchers) {
            handler->respond_if_newer();
        }
    });
}

void platform_stub::publish_stale(const std::string& value_name, std::int64_t version,
                                  const std::vector<std::string>& lines) {
    thread_.run([&] { set_value(value_name, version, lines, lines.size()); });
}

void platform_stub::set_unavailable(bool unavailable) {
    thread_.run([&] {
        unavailable_ = unavailable;
        const std::set<platform_handler*> watchers = watchers_;
        for (platform_handler* handler : watchers) {
            if (unavailable_) {
                handler->abort_exchange();
            }
        }
    });
}

}  // namespace dandelionridge::support
