#include "support/store_stub.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"

namespace dandelionridge::support {

namespace {

using nlohmann::json;

// Returns the text after "NAME=" in a path's query, or "" if there is none.
std::string query_parameter(const std::string& path, const std::string& name) {
    const std::size_t name_offset = path.find(name + "=");
    if (name_offset == std::string::npos) {
        return "";
    }
    const std::size_t value_offset = name_offset + name.size() + 1;
    return path.substr(value_offset, path.find('&', value_offset) - value_offset);
}

// Returns the number after "NAME=" in a path's query, or 0 if there is none.
std::int64_t query_number(const std::string& path, const std::string& name) {
    const std::string text = query_parameter(path, name);
    return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

class store_handler final : public net::http_handler {
public:
    store_handler(store_stub& store, net::http_exchange& exchange, std::string path)
        : store_(store),
          exchange_(exchange),
          path_(std::move(path)),
          wait_timer_(store.thread_.loop()),
          lag_timer_(store.thread_.loop()) {
        {
            const std::lock_guard lock(store_.mutex_);
            store_.calls_.push_back(path_);
        }
        handle_request();
    }
    store_handler(const store_handler&) = delete;
    store_handler& operator=(const store_handler&) = delete;
    ~store_handler() override { store_.watchers_.erase(this); }

    void on_body(std::string_view /*bytes*/) override {}
    void on_body_end() override {}
    void on_sent(std::size_t /*bytes*/) override {}

    // Responds to a watch if events after its revision exist, or with 410 if they were compacted or
    // the store does not have that revision.
    void send_new_events() {
        if (store_.fault_ == store_fault::silent) {
            return;
        }
        const std::int64_t after = query_number(path_, "after");
        if (after < store_.state_.compacted_revision_ || after > store_.state_.revision_) {
            respond(410, json::object());
            return;
        }
        json events = json::array();
        std::int64_t revision = store_.state_.revision_;
        for (const store_stub::change& item : store_.state_.history_) {
            if (item.revision_ <= after) {
                continue;
            }
            if (const base::duration hidden_for = time_until_visible(item);
                hidden_for.count() > 0) {
                lag_timer_.start(hidden_for, [this] { send_new_events(); });
                revision = item.revision_ - 1;
                break;
            }
            events.push_back(to_json(item));
        }
        if (!events.empty()) {
            respond(200, {{"events", events}, {"storeRevision", revision}});
        }
    }

private:
    void handle_request() {
        constexpr int service_unavailable_status = 503;
        constexpr int too_many_requests_status = 429;
        switch (store_.fault_) {
            case store_fault::none:
                break;
            case store_fault::unavailable:
                respond(service_unavailable_status, json::object());
                return;
            case store_fault::over_rate:
                respond(too_many_requests_status, json::object());
                return;
            case store_fault::reset:
                exchange_.abort();
                return;
            case store_fault::silent:
                return;
            case store_fault::garbage:
                send_body(200, "this is not JSON");
                return;
        }
        if (path_.starts_with("/api/kv-range")) {
            respond_with_range();
            return;
        }
        if (path_.starts_with("/api/kv-key")) {
            respond_with_item();
            return;
        }
        store_.watchers_.insert(this);
        send_new_events();
        if (!responded_) {
            wait_timer_.start(base::milliseconds(query_number(path_, "waitMs")), [this] {
                if (store_.fault_ == store_fault::silent) {
                    return;
                }
                const std::int64_t after = query_number(path_, "after");
                respond(200, {{"events", json::array()}, {"storeRevision", after}});
            });
        }
    }

    // Returns how long a change stays hidden from this call.
    base::duration time_until_visible(const store_stub::change& item) const {
        if (path_.find("serializable=1") == std::string::npos) {
            return {};
        }
        return item.written_at_ + store_.relaxed_lag_ - store_.thread_.loop().clock().now();
    }

    static json to_json(const store_stub::change& item) {
        if (item.deleted_) {
            return {{"key", item.key_}, {"revision", item.revision_}, {"deleted", true}};
        }
        return {{"key", item.key_},
                {"value", base::base64_encode(item.value_)},
                {"revision", item.revision_},
                {"created", item.revision_},
                {"lease", 0}};
    }

    void respond_with_item() {
        constexpr int not_found_status = 404;
        const auto found = store_.state_.items_.find(query_parameter(path_, "key"));
        if (found == store_.state_.items_.end()) {
            respond(not_found_status, json::object());
        } else {
            respond(200, to_json(found->second));
        }
    }

    void respond_with_range() {
        json items = json::array();
        bool has_more = false;
        const std::string after = query_parameter(path_, "after");
        if (!after.empty() && store_.restored_at_next_page_) {
            store_.go_back_to(*std::exchange(store_.restored_at_next_page_, std::nullopt));
        }
        for (const auto& [key, item] : store_.state_.items_) {
            if (key <= after) {
                continue;
            }
            if (items.size() == store_.page_items_) {
                has_more = true;
                break;
            }
            items.push_back(to_json(item));
        }
        respond(
            200,
            {{"items", items}, {"hasMore", has_more}, {"storeRevision", store_.state_.revision_}});
    }

    void respond(int status, const json& body) { send_body(status, body.dump()); }

    void send_body(int status, const std::string& body) {
        if (responded_) {
            return;
        }
        responded_ = true;
        store_.watchers_.erase(this);
        net::http_response response;
        response.status_ = status;
        response.headers_ = {{"store-era", store_.named_era_.empty() ? std::to_string(store_.era_)
                                                                     : store_.named_era_}};
        net::send_response(exchange_, std::move(response), body);
    }

    store_stub& store_;
    net::http_exchange& exchange_;
    std::string path_;
    net::timer wait_timer_;
    net::timer lag_timer_;
    bool responded_ = false;
};

store_stub::store_stub(const base::address& address, std::size_t page_items)
    : page_items_(page_items) {
    thread_.run([&] {
        net::http_server_options options;
        options.address_ = address;
        server_ = std::move(
            net::http_server::create(
                thread_.loop(), std::move(options),
                [this](net::http_exchange& exchange, const net::http_request& request) {
                    return std::make_unique<store_handler>(*this, exchange, request.path_);
                })
                .value());
    });
}

store_stub::~store_stub() {
    // The handlers, which refer to this stub, are destroyed by deferred functions.
    thread_.run([&] {
        server_.reset();
        thread_.loop().run_deferred();
    });
}

void store_stub::notify_watchers() {
    for (store_handler* handler : std::set<store_handler*>(watchers_)) {
        handler->send_new_events();
    }
}

void store_stub::write(const std::string& key, const std::string& value) {
    state_.items_[key] = {key, value, ++state_.revision_, false, thread_.loop().clock().now()};
    state_.history_.push_back(state_.items_[key]);
}

void store_stub::put(const std::string& key, const std::string& value) {
    thread_.run([&] {
        write(key, value);
        notify_watchers();
    });
}

void store_stub::erase(const std::string& key) {
    thread_.run([&] {
        state_.items_.erase(key);
        state_.history_.push_back(
            {key, "", ++state_.revision_, true, thread_.loop().clock().now()});
        notify_watchers();
    });
}

void store_stub::compact() {
    thread_.run([&] {
        state_.history_.clear();
        state_.compacted_revision_ = ++state_.revision_;
        notify_watchers();
    });
}

store_stub::copy store_stub::make_copy() {
    copy made;
    thread_.run([&] { made = state_; });
    return made;
}

void store_stub::go_back_to(const copy& source) {
    state_ = source;
    ++era_;
}

void store_stub::restore(const copy& source, const writes& rewritten) {
    thread_.run([&] {
        go_back_to(source);
        for (const auto& [key, value] : rewritten) {
            write(key, value);
        }
        notify_watchers();
    });
}

void store_stub::restore_at_next_page(const copy& source) {
    thread_.run([&] { restored_at_next_page_ = source; });
}

void store_stub::set_named_era(const std::string& era) {
    thread_.run([&] { named_era_ = era; });
}

void store_stub::set_fault(store_fault fault) {
    thread_.run([&] { fault_ = fault; });
}

void store_stub::set_relaxed_lag(base::duration lag) {
    thread_.run([&] { relaxed_lag_ = lag; });
}

std::vector<std::string> store_stub::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}

}  // namespace dandelionridge::support
