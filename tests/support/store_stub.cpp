#include "support/store_stub.h"

#include <nlohmann/json.hpp>

#include "base/base64.h"

namespace dandelionridge::support {

namespace {

using nlohmann::json;

std::string parameter(const std::string& path, const std::string& name) {
    const std::size_t at = path.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
}

std::int64_t number(const std::string& path, const std::string& name) {
    const std::string text = parameter(path, name);
    return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

class store_handler final : public net::http_handler {
public:
    store_handler(store_stub& store, net::http_exchange& exchange, std::string path)
        : store_(store), exchange_(exchange), path_(std::move(path)), wait_(store.thread_.loop()) {
        {
            const std::lock_guard lock(store_.mutex_);
            store_.calls_.push_back(path_);
        }
        begin();
    }
    store_handler(const store_handler&) = delete;
    store_handler& operator=(const store_handler&) = delete;
    ~store_handler() override { store_.watchers_.erase(this); }

    void on_body(std::string_view /*bytes*/) override {}
    void on_body_end() override {}
    void on_sent(std::size_t /*bytes*/) override {}

    // Answers a watch if there is news for it.
    void look() {
        if (number(path_, "after") < store_.compacted_revision_) {
            answer(410, json::object());
            return;
        }
        json events = json::array();
        for (const store_stub::change& one : store_.history_) {
            if (one.revision_ > number(path_, "after")) {
                events.push_back(to_json(one));
            }
        }
        if (!events.empty()) {
            answer(200, {{"events", events}, {"storeRevision", store_.revision_}});
        }
    }

private:
    void begin() {
        constexpr int unavailable = 503;
        constexpr int over_rate = 429;
        switch (store_.fault_) {
            case store_fault::none:
                break;
            case store_fault::unavailable:
                answer(unavailable, json::object());
                return;
            case store_fault::over_rate:
                answer(over_rate, json::object());
                return;
            case store_fault::reset:
                exchange_.abort();
                return;
            case store_fault::silent:
                return;
            case store_fault::garbage:
                send(200, "this is no JSON");
                return;
        }
        if (path_.starts_with("/api/kv-range")) {
            answer_range();
            return;
        }
        store_.watchers_.insert(this);
        look();
        if (!answered_) {
            wait_.start(base::milliseconds(number(path_, "waitMs")), [this] {
                answer(200, {{"events", json::array()}, {"storeRevision", store_.revision_}});
            });
        }
    }

    static json to_json(const store_stub::change& one) {
        if (one.deleted_) {
            return {{"key", one.key_}, {"revision", one.revision_}, {"deleted", true}};
        }
        return {{"key", one.key_},
                {"value", base::base64_encode(one.value_)},
                {"revision", one.revision_},
                {"created", one.revision_},
                {"lease", 0}};
    }

    void answer_range() {
        json items = json::array();
        bool more = false;
        const std::string after = parameter(path_, "after");
        for (const auto& [key, one] : store_.items_) {
            if (key <= after) {
                continue;
            }
            if (items.size() == store_.page_items_) {
                more = true;
                break;
            }
            items.push_back(to_json(one));
        }
        answer(200, {{"items", items}, {"hasMore", more}, {"storeRevision", store_.revision_}});
    }

    void answer(int status, const json& body) { send(status, body.dump()); }

    void send(int status, const std::string& body) {
        if (answered_) {
            return;
        }
        answered_ = true;
        store_.watchers_.erase(this);
        net::http_response answer;
        answer.status_ = status;
        net::send_response(exchange_, std::move(answer), body);
    }

    store_stub& store_;
    net::http_exchange& exchange_;
    std::string path_;
    net::timer wait_;
    bool answered_ = false;
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
    thread_.run([&] { server_.reset(); });
}

void store_stub::notify_watchers() {
    for (store_handler* handler : std::set<store_handler*>(watchers_)) {
        handler->look();
    }
}

void store_stub::put(const std::string& key, const std::string& value) {
    thread_.run([&] {
        items_[key] = {key, value, ++revision_, false};
        history_.push_back(items_[key]);
        notify_watchers();
    });
}

void store_stub::drop(const std::string& key) {
    thread_.run([&] {
        items_.erase(key);
        history_.push_back({key, "", ++revision_, true});
        notify_watchers();
    });
}

void store_stub::compact() {
    thread_.run([&] {
        history_.clear();
        compacted_revision_ = ++revision_;
        notify_watchers();
    });
}

void store_stub::set_fault(store_fault fault) {
    thread_.run([&] { fault_ = fault; });
}

std::vector<std::string> store_stub::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}

}  // namespace dandelionridge::support
