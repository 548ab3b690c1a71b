// Stand-ins for the platform's store, upstreams, consumers and the network between the hosts, for
// the scripts of this review. They follow the users' pages and need nothing but the C++ library and
// nlohmann's JSON, which the deploy file lists.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand_in {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int callers_port = 18080;
constexpr int peers_port = 17070;
constexpr int ready_port = 16060;
constexpr int store_port = 15050;
constexpr int target_port = 19001;

// Milliseconds since the program began.
inline std::int64_t now_ms() {
    static const auto begin = clock_type::now();
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - begin).count();
}

inline void sleep_ms(std::int64_t ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(milliseconds(ms));
    }
}

// A loopback address of this run. Two runs do not collide.
inline std::string ip_of(int number) {
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(10 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250) +
           "." + std::to_string(number);
}

// ---------------------------------------------------------------- record

class record_file {
public:
    explicit record_file(const std::string& path) : out_(path) {}
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        out_ << now_ms() << " ms  " << text << '\n';
        out_.flush();
    }
    void plain(const std::string& text) {
        const std::lock_guard lock(mutex_);
        out_ << text << '\n';
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

// ---------------------------------------------------------------- sockets

inline sockaddr_in socket_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_at(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socket_address(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
        std::_Exit(2);
    }
    return fd;
}

inline int connect_to(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = socket_address(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// ---------------------------------------------------------------- HTTP

struct http_message {
    std::string start_;  // request or status line
    std::map<std::string, std::string> headers_;
    std::string body_;

    std::string header(const std::string& name) const {
        const auto found = headers_.find(name);
        return found == headers_.end() ? "" : found->second;
    }
    std::string word(int index) const {
        std::size_t from = 0;
        for (int i = 0; i < index; ++i) {
            from = start_.find(' ', from);
            if (from == std::string::npos) {
                return "";
            }
            ++from;
        }
        return start_.substr(from, start_.find(' ', from) - from);
    }
};

// Reads messages from one connection.
class http_stream {
public:
    explicit http_stream(int fd) : fd_(fd) {}

    // Reads one message. Returns nothing at the end of the connection, after an error, or after
    // `timeout_ms`.
    std::optional<http_message> read(std::int64_t timeout_ms) {
        const auto until = clock_type::now() + milliseconds(timeout_ms);
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        http_message message = parse_head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        if (message.header("transfer-encoding") == "chunked") {
            return read_chunks(until, message) ? std::optional(message) : std::nullopt;
        }
        const std::string length = message.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < size) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message.body_ = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }

    // Returns true if the last read() ended because its time was over.
    bool timed_out() const { return timed_out_; }

private:
    static http_message parse_head(const std::string& head) {
        http_message message;
        std::size_t from = head.find("\r\n");
        message.start_ = head.substr(0, from);
        while (from != std::string::npos) {
            from += 2;
            const std::size_t to = head.find("\r\n", from);
            const std::string line = head.substr(from, to == std::string::npos ? to : to - from);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers_[name] = value == std::string::npos ? "" : line.substr(value);
            }
            from = to;
        }
        return message;
    }

    bool read_chunks(clock_type::time_point until, http_message& message) {
        for (;;) {
            std::size_t end;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!fill(until)) {
                    return false;
                }
            }
            message.body_ += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    bool fill(clock_type::time_point until) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        pollfd polled{fd_, POLLIN, 0};
        timed_out_ = left <= 0 || poll(&polled, 1, static_cast<int>(left)) <= 0;
        if (timed_out_) {
            return false;
        }
        char bytes[64 * 1024];
        const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    bool timed_out_ = false;
    std::string buffer_;
};

inline std::string response_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each on a thread of its own, for the life of the program.
class server {
public:
    void start(const std::string& ip, int port, std::function<void(int)> serve) {
        const int listener = listen_at(ip, port);
        std::thread([listener, serve = std::move(serve)] {
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    continue;
                }
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([fd, serve] {
                    serve(fd);
                    close(fd);
                }).detach();
            }
        }).detach();
    }
};

// ---------------------------------------------------------------- the platform's store

inline std::string base64(const std::string& text) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group =
                group << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
        }
    }
    return out;
}

class store {
public:
    // Reads with serializable = 1 show what the store held that long ago.
    std::atomic<std::int64_t> relaxed_age_ms_ = 0;

    explicit store(const std::string& ip) {
        server().start(ip, store_port, [this](int fd) { serve(fd); });
    }

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        item& changed = items_[key];
        changed.value_ = value;
        changed.revision_ = ++revision_;
        if (changed.created_ == 0) {
            changed.created_ = revision_;
        }
        history_.push_back({key, changed, false, now_ms()});
        changed_.notify_all();
    }

    void erase(const std::string& key) {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        ++revision_;
        history_.push_back({key, {"", revision_, 0}, true, now_ms()});
        changed_.notify_all();
    }

private:
    struct item {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
    };
    struct change {
        std::string key_;
        item item_;
        bool deleted_ = false;
        std::int64_t written_ms_ = 0;
    };

    // The revision that a read sees.
    std::int64_t visible_revision(bool relaxed) const {
        const std::int64_t until = now_ms() - (relaxed ? relaxed_age_ms_.load() : 0);
        std::int64_t visible = first_revision;
        for (const change& event : history_) {
            if (event.written_ms_ <= until) {
                visible = event.item_.revision_;
            }
        }
        return visible;
    }

    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> query;
        std::size_t from = target.find('?');
        while (from != std::string::npos) {
            const std::size_t to = target.find('&', from + 1);
            const std::string part = target.substr(
                from + 1, to == std::string::npos ? std::string::npos : to - from - 1);
            const std::size_t equals = part.find('=');
            query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
            from = to;
        }
        return query;
    }

    static json item_json(const std::string& key, const item& value) {
        return {{"key", key},
                {"value", base64(value.value_)},
                {"revision", value.revision_},
                {"created", value.created_},
                {"lease", 0}};
    }

    void serve(int fd) {
        http_stream stream(fd);
        while (const auto request = stream.read(60'000)) {
            const std::string target = request->word(1);
            const std::string path = target.substr(0, target.find('?'));
            auto query = query_of(target);
            int status = 200;
            json body;
            if (path == "/api/kv-key") {
                const std::lock_guard lock(mutex_);
                const auto found = items_.find(query["key"]);
                status = found == items_.end() ? 404 : 200;
                body =
                    found == items_.end() ? json::object() : item_json(found->first, found->second);
                body["storeRevision"] = revision_;
            } else if (path == "/api/kv-range") {
                const std::lock_guard lock(mutex_);
                body["items"] = json::array();
                for (const auto& [key, value] : items_) {
                    if (key.starts_with(query["prefix"]) && key > query["after"]) {
                        body["items"].push_back(item_json(key, value));
                    }
                }
                body["hasMore"] = false;
                body["storeRevision"] = revision_;
            } else if (path == "/api/kv-watch") {
                const std::int64_t after = std::stoll(query["after"]);
                const bool relaxed = query["serializable"] == "1";
                const std::int64_t until = now_ms() + std::stoll(query["waitMs"]);
                std::unique_lock lock(mutex_);
                while (visible_revision(relaxed) <= after && now_ms() < until) {
                    changed_.wait_for(lock, milliseconds(20));
                }
                const std::int64_t visible = visible_revision(relaxed);
                body["events"] = json::array();
                for (const change& event : history_) {
                    if (event.item_.revision_ <= after || event.item_.revision_ > visible) {
                        continue;
                    }
                    body["events"].push_back(event.deleted_
                                                 ? json{{"key", event.key_},
                                                        {"revision", event.item_.revision_},
                                                        {"deleted", true}}
                                                 : item_json(event.key_, event.item_));
                }
                body["storeRevision"] = visible;
            } else {
                status = 404;
            }
            sleep_ms(4);
            if (!send_all(
                    fd, response_text(status, "Content-Type: application/json\r\n", body.dump()))) {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<change> history_;
    static constexpr std::int64_t first_revision = 10;
    std::int64_t revision_ = first_revision;
};

// ---------------------------------------------------------------- upstreams

struct run {
    std::string id_;
    std::string tenant_;
    std::int64_t at_ms_ = 0;
    int host_ = 0;
};

// All runs of all upstreams.
class run_log {
public:
    void add(run added) {
        const std::lock_guard lock(mutex_);
        runs_.push_back(std::move(added));
    }
    std::vector<run> all() const {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<run> runs_;
};

struct upstream_options {
    int slots_ = 7;
    int queue_ = 72;
    std::int64_t work_ms_ = 20;
    // Bytes of an answer to a request that is not a GET.
    std::size_t order_answer_bytes_ = 20;
};

class upstream {
public:
    upstream(int host, const std::string& ip, run_log& runs, upstream_options options)
        : host_(host), id_("i-" + std::to_string(host)), runs_(runs), options_(options) {
        server().start(ip, target_port, [this](int fd) { serve(fd); });
    }
    const std::string& id() const { return id_; }

private:
    void serve(int fd) {
        http_stream stream(fd);
        while (const auto request = stream.read(60'000)) {
            if (!respond(fd, *request)) {
                return;
            }
        }
    }

    bool respond(int fd, const http_message& request) {
        const std::string id = request.header("x-request-id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        if (request.word(1) == "/health") {
            return send_all(fd, response_text(200, "X-Instance-Id: " + id_ + "\r\n", ""));
        }
        const std::string expected = request.header("x-expected-instance");
        if (!expected.empty() && expected != id_) {
            return send_all(fd, response_text(421, echo + "X-Not-Executed: 1\r\n", ""));
        }
        const std::string deadline = request.header("x-deadline-ms");
        const std::int64_t until = now_ms() + (deadline.empty() ? 60'000 : std::stoll(deadline));
        if (!take_slot(until)) {
            return send_all(fd, response_text(503, echo + "X-Not-Executed: 1\r\n", ""));
        }
        runs_.add({id, request.header("x-tenant"), now_ms(), host_});
        const std::int64_t left = until - now_ms();
        sleep_ms(std::min(options_.work_ms_, left));
        const bool in_time = options_.work_ms_ <= left;
        std::string body = "answer to " + id;
        if (request.word(0) != "GET" && in_time) {
            body.resize(std::max(body.size(), options_.order_answer_bytes_), '.');
        }
        const bool sent = send_until(
            fd,
            response_text(in_time ? 200 : 504, echo + "X-Response-Seal: seal-" + id + "\r\n", body),
            until);
        give_slot();
        return sent;
    }

    // Sends an answer. Gives up at the request's deadline, and then closes the connection.
    static bool send_until(int fd, std::string_view bytes, std::int64_t until) {
        while (!bytes.empty()) {
            const ssize_t count =
                ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
                continue;
            }
            const std::int64_t left = until - now_ms();
            pollfd polled{fd, POLLOUT, 0};
            if ((count < 0 && errno != EAGAIN) || left <= 0 ||
                poll(&polled, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        return true;
    }

    bool take_slot(std::int64_t until) {
        std::unique_lock lock(mutex_);
        if (running_ >= options_.slots_ && waiting_ >= options_.queue_) {
            return false;
        }
        ++waiting_;
        const bool free =
            freed_.wait_for(lock, milliseconds(std::max<std::int64_t>(0, until - now_ms())),
                            [&] { return running_ < options_.slots_; });
        --waiting_;
        running_ += free ? 1 : 0;
        return free;
    }

    void give_slot() {
        const std::lock_guard lock(mutex_);
        --running_;
        freed_.notify_one();
    }

    int host_;
    std::string id_;
    run_log& runs_;
    upstream_options options_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int running_ = 0;
    int waiting_ = 0;
};

// ---------------------------------------------------------------- the network between the hosts

// Stands in front of the peer port of each host. A link names its host in its first frame, by which
// the relay knows which pair of hosts it joins. Between two hosts that are cut from each other no
// byte passes, in either direction, until the cut is healed.
class network {
public:
    // Links to `ip` are passed on to `real_ip`.
    void join(const std::string& ip, const std::string& real_ip) {
        hosts_.push_back(ip);
        server().start(ip, peers_port, [this, ip, real_ip](int fd) { carry(fd, ip, real_ip); });
    }
    void cut(const std::string& a, const std::string& b) {
        const std::lock_guard lock(mutex_);
        cuts_.insert({std::min(a, b), std::max(a, b)});
    }
    void heal() {
        const std::lock_guard lock(mutex_);
        cuts_.clear();
    }

private:
    bool is_cut(const std::string& a, const std::string& b) {
        const std::lock_guard lock(mutex_);
        return cuts_.contains({std::min(a, b), std::max(a, b)});
    }

    // Returns the host that the bytes name.
    std::string host_in(const std::string& bytes) const {
        std::string named;
        for (const std::string& host : hosts_) {
            if (bytes.find(host) != std::string::npos && host.size() > named.size()) {
                named = host;
            }
        }
        return named;
    }

    void carry(int from, const std::string& to_host, const std::string& real_ip) {
        const int to = connect_to(real_ip, peers_port);
        if (to < 0) {
            return;
        }
        std::string from_host;
        char bytes[64 * 1024];
        bool open = true;
        while (open) {
            if (!from_host.empty() && is_cut(from_host, to_host)) {
                sleep_ms(5);
                continue;
            }
            pollfd polled[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
            if (poll(polled, 2, 5) <= 0) {
                continue;
            }
            for (int side = 0; side < 2 && open; ++side) {
                if (polled[side].revents == 0) {
                    continue;
                }
                const ssize_t count = recv(side == 0 ? from : to, bytes, sizeof(bytes), 0);
                if (count <= 0) {
                    open = false;
                    break;
                }
                const std::string_view part(bytes, static_cast<std::size_t>(count));
                if (side == 0 && from_host.empty()) {
                    from_host = host_in(std::string(part));
                    while (!from_host.empty() && is_cut(from_host, to_host)) {
                        sleep_ms(5);
                    }
                }
                open = send_all(side == 0 ? to : from, part);
            }
        }
        close(to);
    }

    std::mutex mutex_;
    std::vector<std::string> hosts_;
    std::set<std::pair<std::string, std::string>> cuts_;
};

// ---------------------------------------------------------------- the processes of the system

struct fleet_options {
    std::vector<std::string> services_;  // of the upstream beside each host, from host 1 on
    upstream_options upstreams_{};
    bool through_network_ = false;
};

class fleet {
public:
    fleet(std::string program, fleet_options options)
        : program_(std::move(program)), options_(std::move(options)), store_(ip_of(250)) {
        directory_ =
            (std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid())))
                .string();
        std::filesystem::create_directories(directory_);
        for (int host = 1; host <= size(); ++host) {
            upstreams_.push_back(
                std::make_unique<upstream>(host, ip_of(host), runs_, options_.upstreams_));
            if (options_.through_network_) {
                network_.join(ip_of(host), ip_of(100 + host));
            }
            write_entry(host, "ready");
        }
    }
    ~fleet() {
        for (const auto& [host, pid] : pids_) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(directory_);
        } else {
            std::fprintf(stderr, "logs: %s\n", directory_.c_str());
        }
    }

    int size() const { return static_cast<int>(options_.services_.size()); }
    store& platform() { return store_; }
    network& links() { return network_; }
    run_log& runs() { return runs_; }
    pid_t pid(int host) { return pids_.at(host); }
    const std::string& directory() const { return directory_; }

    void write_entry(int host, const std::string& state) {
        const json entry = {{"service", options_.services_[static_cast<std::size_t>(host - 1)]},
                            {"address", ip_of(host) + ":" + std::to_string(target_port)},
                            {"zone", "z1"},
                            {"version", "v1"},
                            {"slots", options_.upstreams_.slots_},
                            {"state", state},
                            {"warmupLeftS", 0},
                            {"seq", ++sequence_},
                            {"born", 1'700'000'000'000 + host}};
        store_.put("servers/i-" + std::to_string(host), entry.dump());
    }

    void start(int host) {
        const std::string settings = write_settings(host);
        const std::string log = directory_ + "/h" + std::to_string(host) + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execl(program_.c_str(), program_.c_str(), "serve", "--config", settings.c_str(),
                  static_cast<char*>(nullptr));
            _exit(127);
        }
        pids_[host] = pid;
    }

    // Starts all processes at once and waits until each is ready.
    bool start_all() {
        for (int host = 1; host <= size(); ++host) {
            start(host);
        }
        for (int host = 1; host <= size(); ++host) {
            if (!wait_ready(host)) {
                return false;
            }
        }
        // The links between the hosts are opened meanwhile.
        sleep_ms(3000);
        return true;
    }

    bool wait_ready(int host) {
        for (int i = 0; i < 200; ++i) {
            if (ready(host)) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    bool ready(int host) {
        const int fd = connect_to(ip_of(host), ready_port);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /api/ready HTTP/1.1\r\nHost: " + ip_of(host) + "\r\n\r\n");
        const auto response = http_stream(fd).read(1000);
        close(fd);
        return response && response->word(1) == "200";
    }

    // Returns true if the process of the host has not ended by itself.
    bool alive(int host) { return waitpid(pids_.at(host), nullptr, WNOHANG) == 0; }

    void kill_host(int host) {
        kill(pids_.at(host), SIGKILL);
        waitpid(pids_.at(host), nullptr, 0);
    }

private:
    // Fills in the template of the deploy file with the values of a small deployment.
    std::string write_settings(int host) {
        const std::string ip = ip_of(host);
        const std::string peers_ip = options_.through_network_ ? ip_of(100 + host) : ip;
        const auto at = [](const std::string& host_ip, int port) {
            return host_ip + ":" + std::to_string(port);
        };
        const std::map<std::string, std::string> values = {
            {"ip", ip},
            {"zone", "z1"},
            {"listenAddrs.outbound", at(ip, callers_port)},
            {"listenAddrs.inbound", at(peers_ip, peers_port)},
            {"listenAddrs.ready", at(ip, ready_port)},
            {"appAddr", at(ip, target_port)},
            {"service", options_.services_[static_cast<std::size_t>(host - 1)]},
            {"platform.address", at(ip_of(250), store_port)},
            {"limits.memoryMb", "260"},
            {"limits.linkMbps", "1000.0"},
            {"heartbeatS", "1.5"},
            {"bounds.graceS", "6"},
            {"bounds.configApplyS", "2"},
            {"bounds.drainS", "2"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "60"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.quotaWindowS", "5"},
            {"bounds.quotaOverage", "0.25"},
            {"bounds.quotaSlack", "20"},
            {"bounds.minShare", "0.7"}};
        std::ifstream in("platform/settings.ini");
        const std::string file = directory_ + "/h" + std::to_string(host) + ".ini";
        std::ofstream out(file);
        for (std::string line; std::getline(in, line);) {
            out << fill_in(line, values) << '\n';
        }
        return file;
    }

    static std::string fill_in(std::string line, const std::map<std::string, std::string>& values) {
        const std::string zones = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";
        if (const std::size_t found = line.find(zones); found != std::string::npos) {
            line.replace(found, zones.size(), "z1:r1");
        }
        std::size_t from;
        while ((from = line.find("{{")) != std::string::npos) {
            const std::size_t to = line.find("}}", from);
            const std::string name = line.substr(from + 2, to - from - 2);
            const bool section = name[0] == '#' || name[0] == '/';
            line.replace(from, to + 2 - from, section ? "" : values.at(name));
        }
        return line;
    }

    std::string program_;
    fleet_options options_;
    std::string directory_;
    store store_;
    network network_;
    run_log runs_;
    std::vector<std::unique_ptr<upstream>> upstreams_;
    std::map<int, pid_t> pids_;
    std::int64_t sequence_ = 0;
};

// ---------------------------------------------------------------- the operator's configuration

struct route {
    std::string host_;
    std::string prefix_;
    std::string kind_;
    std::string service_;
    bool public_ = false;
};

struct tenant {
    std::string name_;
    std::vector<std::string> keys_;
    double rate_per_s_ = 0;
    int burst_ = 0;
};

inline std::string configuration(int version, const std::vector<std::string>& services,
                                 const std::vector<route>& routes,
                                 const std::vector<tenant>& tenants) {
    json resources = json::array();
    for (const route& added : routes) {
        resources.push_back({{"type", "routes"},
                             {"metadata", {{"name", "r-" + added.prefix_}}},
                             {"spec",
                              {{"host", added.host_},
                               {"prefix", added.prefix_},
                               {"kind", added.kind_},
                               {"timeoutS", 6},
                               {"targetLatencyS", 2.5},
                               {"priority", 1},
                               {"service", added.service_},
                               {"maxAttempts", 2},
                               {"public", added.public_}}}});
    }
    for (const std::string& service : services) {
        resources.push_back({{"type", "services"},
                             {"metadata", {{"name", service}}},
                             {"spec",
                              {{"healthPath", "/health"},
                               {"maxConnections", 360},
                               {"protocol", "h1"},
                               {"tls", false}}}});
    }
    for (const tenant& added : tenants) {
        resources.push_back({{"type", "tenants"},
                             {"metadata", {{"name", added.name_}}},
                             {"spec",
                              {{"apiKeys", added.keys_},
                               {"priority", 1},
                               {"ratePerS", added.rate_per_s_},
                               {"burst", added.burst_}}}});
    }
    resources.push_back({{"type", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 67108864},
                           {"headerTimeoutS", 3},
                           {"idleTimeoutS", 15}}}});
    char digits[9];
    std::snprintf(digits, sizeof(digits), "%08x", version);
    return json{{"version", digits}, {"resources", resources}}.dump();
}

// ---------------------------------------------------------------- consumers

struct sent_request {
    std::string id_;
    int host_ = 0;
    std::int64_t sent_ms_ = 0;
    std::int64_t answered_ms_ = 0;
    // 0: the connection closed; -1: the consumer's time was over; -2: the consumer left.
    int status_ = 0;
    std::string reason_;
    std::string body_;
};

constexpr int left_early = -2;

// A consumer on a host's machine, with a connection that it keeps.
class consumer {
public:
    explicit consumer(int host) : host_(host) {}
    ~consumer() { drop(); }
    consumer(const consumer&) = delete;
    consumer& operator=(const consumer&) = delete;

    sent_request send(const std::string& method, const std::string& authority,
                      const std::string& path, const std::string& id, const std::string& key,
                      const std::string& body, std::int64_t budget_ms,
                      bool leave_with_first_bytes = false) {
        sent_request request;
        request.id_ = id;
        request.host_ = host_;
        // Consumers reuse connections that were idle for up to four fifths of idleTimeoutS.
        if (fd_ >= 0 && now_ms() - last_used_ms_ > max_idle_ms) {
            drop();
        }
        if (fd_ < 0) {
            fd_ = connect_to(ip_of(host_), callers_port);
            stream_ = std::make_unique<http_stream>(fd_);
        }
        request.sent_ms_ = now_ms();
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + authority +
                           "\r\nX-Request-Id: " + id +
                           "\r\nX-Deadline-Ms: " + std::to_string(budget_ms) + "\r\n";
        if (!key.empty()) {
            text += "X-Credential: " + key + "\r\n";
        }
        if (!body.empty()) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + body;
        std::optional<http_message> response;
        if (fd_ >= 0 && send_all(fd_, text)) {
            if (leave_with_first_bytes) {
                pollfd polled{fd_, POLLIN, 0};
                poll(&polled, 1, static_cast<int>(budget_ms));
                request.answered_ms_ = now_ms();
                request.status_ = left_early;
                drop();
                return request;
            }
            response = stream_->read(budget_ms);
        }
        request.answered_ms_ = now_ms();
        last_used_ms_ = request.answered_ms_;
        if (!response) {
            request.status_ = fd_ >= 0 && stream_->timed_out() ? -1 : 0;
            drop();
            return request;
        }
        request.status_ = std::stoi(response->word(1));
        request.reason_ = response->header("x-dandelionridge-reason");
        request.body_ = response->body_;
        if (response->header("connection") == "close") {
            drop();
        }
        return request;
    }

private:
    void drop() {
        if (fd_ >= 0) {
            close(fd_);
        }
        fd_ = -1;
        stream_.reset();
    }

    static constexpr std::int64_t max_idle_ms = 12'000;

    int host_;
    int fd_ = -1;
    std::int64_t last_used_ms_ = 0;
    std::unique_ptr<http_stream> stream_;
};

// Writes what was sent, answered and run, in the order of time.
inline void write_all(record_file& record, const std::vector<sent_request>& sent,
                      const std::vector<run>& runs) {
    std::multimap<std::int64_t, std::string> lines;
    for (const sent_request& request : sent) {
        const std::string where = " at host " + std::to_string(request.host_);
        lines.emplace(request.sent_ms_, "sent " + request.id_ + where);
        lines.emplace(request.answered_ms_, "answered " + request.id_ + where + ": " +
                                                std::to_string(request.status_) + " " +
                                                request.reason_);
    }
    for (const run& one : runs) {
        lines.emplace(one.at_ms_, "run " + one.id_ + " at the upstream of host " +
                                      std::to_string(one.host_) + ", tenant " + one.tenant_);
    }
    for (const auto& [at, text] : lines) {
        record.plain(std::to_string(at) + " ms  " + text);
    }
}

struct floor_check {
    int broken_ = 0;
    int windows_ = 0;
    int requests_ = 0;
    int served_ = 0;
};

// Counts the windows of 2 s in which some, but less than 0.7, of a service's upstreams get requests
// while more than a tenth but under half of its requests are not served (FLOOR). All of the
// upstreams must be sound from `from` to `to`, and all requests be for this service.
inline floor_check check_floor(const std::vector<sent_request>& sent, const std::vector<run>& runs,
                               int upstreams, std::int64_t from, std::int64_t to) {
    constexpr std::int64_t window_ms = 2000;
    constexpr std::int64_t step_ms = 500;
    constexpr double min_share = 0.7;
    floor_check result;
    for (const sent_request& request : sent) {
        const bool inside = request.sent_ms_ >= from && request.sent_ms_ < to;
        result.requests_ += inside ? 1 : 0;
        result.served_ += inside && request.status_ == 200 ? 1 : 0;
    }
    for (std::int64_t begin = from; begin + window_ms <= to; begin += step_ms) {
        std::set<int> reached;
        for (const run& one : runs) {
            if (one.at_ms_ >= begin && one.at_ms_ < begin + window_ms) {
                reached.insert(one.host_);
            }
        }
        double requests = 0;
        double not_served = 0;
        for (const sent_request& request : sent) {
            if (request.sent_ms_ >= begin && request.sent_ms_ < begin + window_ms &&
                request.status_ != left_early) {
                requests += 1;
                not_served += request.status_ == 200 ? 0 : 1;
            }
        }
        const double share = static_cast<double>(reached.size()) / upstreams;
        const bool some = share > 0 && share < min_share;
        const bool lost = not_served > 0.1 * requests && not_served < 0.5 * requests;
        ++result.windows_;
        result.broken_ += some && lost ? 1 : 0;
    }
    return result;
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace stand_in
