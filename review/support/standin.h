// Stand-ins for the review's scripts: the platform's store, an upstream, a TCP proxy that resets
// connections, and a consumer. Plain sockets and threads, no library. They follow PROTOCOL.md of
// the users' pages and do nothing else than what a case asks of them.
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
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;

inline double now_s() {
    static const clock::time_point start = clock::now();
    return std::chrono::duration<double>(clock::now() - start).count();
}

inline void sleep_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

// record.txt: what was sent, answered and run, a line each.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr) {
            std::fprintf(file_, "%9.4f %s\n", now_s(), text.c_str());
        }
        if (echo_) {
            std::printf("%9.4f %s\n", now_s(), text.c_str());
            std::fflush(stdout);
        }
    }
    void result(const std::string& text) {
        line("RESULT " + text);
        std::printf("%s\n", text.c_str());
        flush();
    }
    void flush() {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr) {
            std::fflush(file_);
        }
    }
    bool echo_ = false;

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// ---- sockets ----

struct address {
    std::string ip_;
    int port_ = 0;
    std::string text() const { return ip_ + ":" + std::to_string(port_); }
};

inline sockaddr_in to_sockaddr(const address& where) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(where.port_));
    inet_pton(AF_INET, where.ip_.c_str(), &endpoint.sin_addr);
    return endpoint;
}

inline void set_no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Listens on a free port of an address. Returns -1 on failure.
inline int listen_on(address& where) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in endpoint = to_sockaddr(where);
    socklen_t size = sizeof(endpoint);
    if (bind(fd, reinterpret_cast<sockaddr*>(&endpoint), size) != 0 || listen(fd, 512) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&endpoint), &size) != 0) {
        close(fd);
        return -1;
    }
    where.port_ = ntohs(endpoint.sin_port);
    return fd;
}

// Returns a port that is free on that address now.
inline int free_port(const std::string& ip) {
    address where{ip, 0};
    const int fd = listen_on(where);
    if (fd >= 0) {
        close(fd);
    }
    return where.port_;
}

inline int connect_to(const address& where) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint = to_sockaddr(where);
    if (connect(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
        close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void reset_close(int fd) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close(fd);
}

// ---- HTTP/1.1 ----

struct message {
    // First line without CR LF.
    std::string start_;
    // Lower-case names.
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    std::string method_, path_;
    int status_ = 0;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers_) {
            if (key == name) {
                return value;
            }
        }
        return "";
    }
};

// Reads messages of one connection. `idle_s` bounds the wait for bytes.
class http_stream {
public:
    explicit http_stream(int fd) : fd_(fd) {}

    enum class end { message, closed, reset, timeout, malformed };

    // Reads the next message. `head_only` leaves the body unread (HEAD).
    end read(message& out, double deadline, bool response) {
        out = {};
        std::size_t head_end;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const end state = more(deadline);
            if (state != end::message) {
                return state;
            }
        }
        const std::string head = buffer_.substr(0, head_end);
        buffer_.erase(0, head_end + 4);
        parse_head(head, out, response);
        if (response && out.status_ >= 100 && out.status_ < 200) {
            return read(out, deadline, response);
        }
        if (out.header("transfer-encoding") == "chunked") {
            return read_chunks(out, deadline);
        }
        const std::string length = out.header("content-length");
        if (!length.empty()) {
            const std::size_t count = std::strtoull(length.c_str(), nullptr, 10);
            while (buffer_.size() < count) {
                const end state = more(deadline);
                if (state != end::message) {
                    out.body_ = buffer_;
                    missing_ = count;
                    return state;
                }
            }
            out.body_ = buffer_.substr(0, count);
            buffer_.erase(0, count);
            return end::message;
        }
        if (response && out.status_ != 204 && out.status_ != 304) {
            for (;;) {
                const end state = more(deadline);
                if (state == end::closed) {
                    out.body_ = std::exchange(buffer_, {});
                    return end::message;
                }
                if (state != end::message) {
                    return state;
                }
            }
        }
        return end::message;
    }

    // Goes on with an answer for which read() had not enough time. Only an answer with a length can
    // be continued after its head.
    end read_rest(message& out, double deadline) {
        if (out.status_ == 0) {
            return read(out, deadline, true);
        }
        while (buffer_.size() < missing_) {
            const end state = more(deadline);
            if (state != end::message) {
                out.body_ = buffer_;
                return state;
            }
        }
        out.body_ = buffer_.substr(0, missing_);
        buffer_.erase(0, missing_);
        return end::message;
    }

    const std::string& unread() const { return buffer_; }

private:
    end more(double deadline) {
        const double left = deadline - now_s();
        if (left <= 0) {
            return end::timeout;
        }
        pollfd wait{fd_, POLLIN, 0};
        const int ready = poll(&wait, 1, static_cast<int>(left * 1000) + 1);
        if (ready == 0) {
            return end::timeout;
        }
        char bytes[16384];
        const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
        if (count == 0) {
            return end::closed;
        }
        if (count < 0) {
            return end::reset;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return end::message;
    }

    end read_line(std::string& line, double deadline) {
        std::size_t at;
        while ((at = buffer_.find("\r\n")) == std::string::npos) {
            const end state = more(deadline);
            if (state != end::message) {
                return state;
            }
        }
        line = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return end::message;
    }

    end read_chunks(message& out, double deadline) {
        for (;;) {
            std::string line;
            end state = read_line(line, deadline);
            if (state != end::message) {
                return state;
            }
            const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
            while (buffer_.size() < size + 2) {
                state = more(deadline);
                if (state != end::message) {
                    return state;
                }
            }
            out.body_ += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                return end::message;
            }
        }
    }

    static void parse_head(const std::string& head, message& out, bool response) {
        std::istringstream lines(head);
        std::string line;
        bool first = true;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (first) {
                out.start_ = line;
                first = false;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            out.headers_.emplace_back(name, value);
        }
        std::istringstream start(out.start_);
        if (response) {
            std::string version;
            start >> version >> out.status_;
        } else {
            start >> out.method_ >> out.path_;
        }
    }

    int fd_;
    std::string buffer_;
    // Length of the body that read() did not get in full.
    std::size_t missing_ = 0;
};

inline const char* to_text(http_stream::end value) {
    switch (value) {
        case http_stream::end::message:
            return "answer";
        case http_stream::end::closed:
            return "closed";
        case http_stream::end::reset:
            return "reset";
        case http_stream::end::timeout:
            return "no answer in time";
        case http_stream::end::malformed:
            break;
    }
    return "malformed";
}

// Accepts connections and runs a handler on a thread each, until stopped.
class server {
public:
    // `handle` owns the descriptor.
    server(const std::string& ip, int port, std::function<void(int)> handle)
        : where_{ip, port}, handle_(std::move(handle)) {
        listener_ = listen_on(where_);
        if (listener_ < 0) {
            std::fprintf(stderr, "cannot listen on %s\n", where_.text().c_str());
            std::exit(2);
        }
        thread_ = std::thread([this] { run(); });
    }
    ~server() {
        stopped_ = true;
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    const address& where() const { return where_; }

private:
    void run() {
        while (!stopped_) {
            pollfd wait{listener_, POLLIN, 0};
            if (poll(&wait, 1, 50) <= 0) {
                continue;
            }
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            set_no_delay(fd);
            std::thread([this, fd] { handle_(fd); }).detach();
        }
    }

    address where_;
    std::function<void(int)> handle_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// ---- the platform's store ----

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63U];
        }
    }
    return out;
}

// Items, revisions, ranges and watches as PROTOCOL.md tells them; never fails.
class store {
public:
    explicit store(const std::string& ip)
        : server_(ip, 0, [this](int fd) { serve(fd); }) {}
    ~store() {
        stopped_ = true;
        changed_.notify_all();
    }
    const address& where() const { return server_.where(); }

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        items_[key] = {value, ++revision_, false};
        history_.push_back({key, items_[key]});
        changed_.notify_all();
    }
    void erase(const std::string& key) {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        history_.push_back({key, {"", ++revision_, true}});
        changed_.notify_all();
    }

private:
    struct item {
        std::string value_;
        long revision_ = 0;
        bool deleted_ = false;
    };

    static std::string parameter(const std::string& path, const std::string& name) {
        const std::size_t at = path.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = at + name.size() + 1;
        return path.substr(from, path.find('&', from) - from);
    }

    static std::string json_of(const std::string& key, const item& value) {
        std::string text = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(value.revision_);
        if (value.deleted_) {
            return text + ",\"deleted\":true}";
        }
        return text + ",\"created\":" + std::to_string(value.revision_) +
               ",\"lease\":0,\"value\":\"" + base64(value.value_) + "\"}";
    }

    std::string answer(const std::string& path, int& status) {
        status = 200;
        std::unique_lock lock(mutex_);
        if (path.starts_with("/api/kv-key")) {
            const std::string key = parameter(path, "key");
            const auto found = items_.find(key);
            if (found == items_.end()) {
                status = 404;
                return "{}";
            }
            std::string text = json_of(key, found->second);
            text.pop_back();
            return text + ",\"storeRevision\":" + std::to_string(revision_) + "}";
        }
        const std::string prefix = parameter(path, "prefix");
        if (path.starts_with("/api/kv-range")) {
            std::string list;
            for (const auto& [key, value] : items_) {
                if (key.starts_with(prefix)) {
                    list += (list.empty() ? "" : ",") + json_of(key, value);
                }
            }
            return "{\"items\":[" + list +
                   "],\"hasMore\":false,\"storeRevision\":" + std::to_string(revision_) + "}";
        }
        const long after = std::strtol(parameter(path, "after").c_str(), nullptr, 10);
        const auto wait =
            std::chrono::milliseconds(std::strtol(parameter(path, "waitMs").c_str(), nullptr, 10));
        changed_.wait_for(lock, wait, [&] { return stopped_ || revision_ > after; });
        std::string list;
        for (const auto& [key, value] : history_) {
            if (value.revision_ > after && key.starts_with(prefix)) {
                list += (list.empty() ? "" : ",") + json_of(key, value);
            }
        }
        return "{\"events\":[" + list + "],\"storeRevision\":" + std::to_string(revision_) + "}";
    }

    void serve(int fd) {
        http_stream stream(fd);
        message request;
        while (!stopped_ &&
               stream.read(request, now_s() + 600, false) == http_stream::end::message) {
            int status = 200;
            const std::string body = answer(request.path_, status);
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                                  (status == 200 ? " OK" : " Not Found") +
                                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        close(fd);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> stopped_ = false;
    std::map<std::string, item> items_;
    std::vector<std::pair<std::string, item>> history_;
    long revision_ = 10;
    server server_;
};

// ---- a TCP proxy that can reset its connections ----

class tcp_proxy {
public:
    tcp_proxy(const std::string& ip, int port, address to)
        : to_(std::move(to)), server_(ip, port, [this](int fd) { forward(fd); }) {}
    const address& where() const { return server_.where(); }

    // Resets a share of the open connections on both sides, picked at random. Returns how many.
    std::size_t reset(double share, std::mt19937& random) {
        const std::lock_guard lock(mutex_);
        std::vector<link*> open;
        for (link& entry : links_) {
            if (!entry.gone_) {
                open.push_back(&entry);
            }
        }
        std::shuffle(open.begin(), open.end(), random);
        const auto count = static_cast<std::size_t>(static_cast<double>(open.size()) * share);
        for (std::size_t i = 0; i < count; ++i) {
            open[i]->reset_ = true;
            // An abortive disconnect, which the forwarding thread then finishes by a close.
            sockaddr none{};
            none.sa_family = AF_UNSPEC;
            connect(open[i]->from_, &none, sizeof(none));
            connect(open[i]->to_, &none, sizeof(none));
        }
        return count;
    }
    // While cut, no bytes pass in either direction and new connections hang; they are held, not
    // lost.
    void cut(bool enabled) { cut_ = enabled; }

    // Bytes a second in each direction of a connection; 0 for no limit.
    void set_rate(double bytes_per_s) { rate_ = bytes_per_s; }

    std::size_t open() {
        const std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (const link& entry : links_) {
            count += entry.gone_ ? 0 : 1;
        }
        return count;
    }

private:
    struct link {
        int from_ = -1;
        int to_ = -1;
        bool reset_ = false;
        bool gone_ = false;
    };

    bool pump(int from, int to) const {
        char bytes[16384];
        const double rate = rate_;
        const std::size_t most = rate > 0 ? 1460 : sizeof(bytes);
        const ssize_t count = recv(from, bytes, most, 0);
        if (rate > 0 && count > 0) {
            sleep_s(static_cast<double>(count) / rate);
        }
        return count > 0 && send_all(to, std::string(bytes, static_cast<std::size_t>(count)));
    }

    void wait_while_cut() const {
        while (cut_) {
            sleep_s(0.005);
        }
    }

    void forward(int from) {
        wait_while_cut();
        const int to = connect_to(to_);
        if (to < 0) {
            reset_close(from);
            return;
        }
        link* entry = nullptr;
        {
            const std::lock_guard lock(mutex_);
            entry = &links_.emplace_back();
            entry->from_ = from;
            entry->to_ = to;
        }
        for (;;) {
            pollfd wait[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
            poll(wait, 2, -1);
            wait_while_cut();
            if (wait[0].revents != 0 && !pump(from, to)) {
                break;
            }
            if (wait[1].revents != 0 && !pump(to, from)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        entry->gone_ = true;
        close(from);
        close(to);
    }

    address to_;
    std::atomic<bool> cut_ = false;
    std::atomic<double> rate_ = 0;
    std::mutex mutex_;
    std::list<link> links_;
    server server_;
};

// ---- processes ----

class child {
public:
    child(const std::vector<std::string>& command, const std::string& log) {
        std::vector<char*> words;
        for (const std::string& word : command) {
            words.push_back(const_cast<char*>(word.c_str()));
        }
        words.push_back(nullptr);
        pid_ = fork();
        if (pid_ == 0) {
            // It never outlives the case.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            close_range(3, ~0U, 0);
            execv(words[0], words.data());
            _exit(127);
        }
    }
    ~child() {
        if (!ended()) {
            signal(SIGKILL);
            signal(SIGCONT);
            waitpid(pid_, nullptr, 0);
        }
    }
    void signal(int number) {
        if (!reaped_) {
            kill(pid_, number);
        }
    }
    bool ended() {
        if (!reaped_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
            reaped_ = true;
        }
        return reaped_;
    }
    int status() const { return status_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool reaped_ = false;
};

inline std::string temporary_folder() {
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        std::exit(2);
    }
    return name;
}

inline std::string random_id(std::mt19937_64& random) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// ---- a small deployment ----

struct deployment_options {
    // Service of each host's upstream.
    std::vector<std::string> services_;
    int slots_ = 5;
    double grace_s_ = 6;
    // The links between the processes pass through TCP proxies.
    bool proxied_links_ = false;
    int max_attempts_ = 2;
};

inline constexpr const char* tenant_key = "kcuyj8pjbvk9m68k7b2e";

// Settings and processes of a few hosts, as platform/settings.ini and the deploy file give them.
class deployment {
public:
    // `upstreams`: where each host's process reaches its upstream, on the host's own address.
    deployment(const deployment_options& options, const std::string& program)
        : options_(options), program_(program), folder_(temporary_folder()), store_("127.0.0.1") {
        const unsigned base = static_cast<unsigned>(getpid()) % 200 + 20;
        for (std::size_t i = 0; i < options_.services_.size(); ++i) {
            ips_.push_back("127." + std::to_string(base) + ".1." + std::to_string(i + 1));
        }
        callers_ = common_port();
        peers_ = common_port();
        admin_ = common_port();
        processes_.resize(ips_.size());
        for (std::size_t i = 0; options_.proxied_links_ && i < ips_.size(); ++i) {
            links_.push_back(std::make_unique<tcp_proxy>(ips_[i], peers_, listening_peers(i)));
        }
    }
    ~deployment() {
        for (auto& process : processes_) {
            process.reset();
        }
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            const std::string command = "rm -rf '" + folder_ + "'";
            static_cast<void>(std::system(command.c_str()));
        } else {
            std::printf("kept %s\n", folder_.c_str());
        }
    }

    const std::string& ip(std::size_t host) const { return ips_[host]; }
    std::size_t size() const { return ips_.size(); }
    address callers(std::size_t host) const { return {ips_[host], callers_}; }
    // Where a host's process listens for the others: its own address, or one behind the proxy.
    address listening_peers(std::size_t host) const {
        std::string ip = ips_[host];
        if (options_.proxied_links_) {
            ip.replace(ip.find(".1."), 3, ".2.");
        }
        return {ip, peers_};
    }
    tcp_proxy& links_to(std::size_t host) { return *links_[host]; }
    address admin(std::size_t host) const { return {ips_[host], admin_}; }
    store& platform() { return store_; }
    child& process(std::size_t host) { return *processes_[host]; }
    const std::string& folder() const { return folder_; }

    // Writes the store entry of a host's upstream.
    void write_entry(std::size_t host, const address& upstream, const std::string& id,
                     const std::string& state = "ready") {
        store_.put("servers/" + id,
                   "{\"service\":\"" + options_.services_[host] + "\",\"address\":\"" +
                       upstream.text() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" +
                       std::to_string(options_.slots_) + ",\"state\":\"" + state +
                       "\",\"warmupLeftS\":0,\"seq\":" + std::to_string(++sequence_) +
                       ",\"born\":1764900000000}");
    }

    // Starts the process of a host.
    void start(std::size_t host, const address& upstream) {
        const std::string file = folder_ + "/h" + std::to_string(host) + ".ini";
        std::ofstream out(file);
        out << "[host]\nname = " << ips_[host] << "\nzone = z1\nregions = z1:r1\n"
            << "[listen]\ncallers = " << callers(host).text() << "\npeers = " << listening_peers(host).text()
            << "\nadmin = " << admin(host).text() << "\n[target]\naddress = " << upstream.text()
            << "\nservice = " << options_.services_[host]
            << "\n[platform]\nform = store\naddress = " << store_.where().text()
            << "\n[times]\nfreshness = lenient\ndrain_bound = " << options_.grace_s_
            << "s\nwatch_wait = 2s\nheartbeat = 1500ms\nrules_bound = 2s\nleaving_bound = 2s\n"
            << "[retries]\nratio = 0.2\nslack = 56\nwindow = 10s\n"
            << "[quota]\nwindow = 5s\noverage = 0.25\nslack = 20\n[ejection]\nleast_share = 0.7\n";
        out.close();
        processes_[host] = std::make_unique<child>(
            std::vector<std::string>{program_, "serve", "--config", file},
            folder_ + "/h" + std::to_string(host) + ".log");
    }

    // Returns the body of a path of the admin address; empty on failure.
    std::string admin_page(std::size_t host, const std::string& path) const {
        const int fd = connect_to(admin(host));
        if (fd < 0) {
            return "";
        }
        http_stream stream(fd);
        message answer;
        send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n");
        const bool ok = stream.read(answer, now_s() + 2, true) == http_stream::end::message;
        close(fd);
        return ok && answer.status_ == 200 ? answer.body_ : "";
    }

    bool wait_ready(double seconds = 20) {
        for (std::size_t host = 0; host < size(); ++host) {
            const double until = now_s() + seconds;
            const std::string links = "\"links_open\": " + std::to_string(size());
            while (admin_page(host, "/api/ready").empty() ||
                   admin_page(host, "/status").find(links) == std::string::npos) {
                if (now_s() > until) {
                    return false;
                }
                sleep_s(0.05);
            }
        }
        return true;
    }

    // Writes the end of each process's log and its state into the record.
    void explain(record_file& record) {
        for (std::size_t host = 0; host < size(); ++host) {
            std::ifstream in(folder_ + "/h" + std::to_string(host) + ".log");
            std::vector<std::string> lines;
            for (std::string line; std::getline(in, line);) {
                lines.push_back(line);
            }
            for (std::size_t i = lines.size() < 8 ? 0 : lines.size() - 8; i < lines.size(); ++i) {
                record.line("log " + std::to_string(host) + " " + lines[i]);
            }
            record.line("ended " + std::to_string(processes_[host]->ended()) + " status " +
                        admin_page(host, "/status"));
        }
        record.flush();
    }

    // A configuration with, for each service S, host S.example: /reads/ (idempotent) and /orders/
    // (non_idempotent), and one tenant without a limit.
    std::string configuration(const std::string& version, double timeout_s,
                              const std::string& key = tenant_key) const {
        std::string list;
        for (const std::string& name :
             std::set<std::string>(options_.services_.begin(), options_.services_.end())) {
            const auto route = [&](const std::string& prefix, const std::string& kind) {
                std::ostringstream text;
                text << "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-" << name
                     << prefix.substr(1, prefix.size() - 2) << "\"},\"spec\":{\"host\":\"" << name
                     << ".example\",\"prefix\":\"" << prefix << "\",\"kind\":\"" << kind
                     << "\",\"timeoutS\":" << timeout_s
                     << ",\"targetLatencyS\":2,\"priority\":1,\"service\":\"" << name
                     << "\",\"maxAttempts\":" << options_.max_attempts_ << ",\"public\":false}},";
                return text.str();
            };
            list += route("/reads/", "idempotent") + route("/orders/", "non_idempotent");
            list += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + name +
                    "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":330,"
                    "\"protocol\":\"h1\",\"tls\":false}},";
        }
        return "{\"version\":\"" + version + "\",\"resources\":[" + list +
               "{\"type\":\"tenants\",\"metadata\":{\"name\":\"bozi300\"},\"spec\":{\"apiKeys\":[\"" +
               key +
               "\"],\"priority\":1}},{\"type\":\"limits\",\"metadata\":{},\"spec\":{"
               "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
               "\"idleTimeoutS\":15}}]}";
    }

private:
    // Returns a port that is free on the addresses of all hosts, and was not returned before: ports
    // are the same on all hosts.
    int common_port() {
        for (;;) {
            const int port = free_port(ips_[0]);
            bool usable = taken_.insert(port).second;
            for (std::size_t i = 0; i < ips_.size(); ++i) {
                for (const std::string& ip : {ips_[i], listening_peers(i).ip_}) {
                    address where{ip, port};
                    const int fd = listen_on(where);
                    usable = usable && fd >= 0;
                    if (fd >= 0) {
                        close(fd);
                    }
                }
            }
            if (usable) {
                return port;
            }
        }
    }

    std::set<int> taken_;
    deployment_options options_;
    std::string program_;
    std::string folder_;
    store store_;
    std::vector<std::string> ips_;
    int callers_ = 0;
    int peers_ = 0;
    int admin_ = 0;
    long sequence_ = 0;
    std::vector<std::unique_ptr<tcp_proxy>> links_;
    std::vector<std::unique_ptr<child>> processes_;
};

// ---- an upstream ----

struct run_entry {
    std::string upstream_;
    std::string method_;
    std::string path_;
    std::string body_;
    std::string tenant_;
    std::string caller_;
};

// Runs of all upstreams, by request id.
class run_book {
public:
    void add(const std::string& id, run_entry entry) {
        const std::lock_guard lock(mutex_);
        runs_[id].push_back(std::move(entry));
    }
    std::map<std::string, std::vector<run_entry>> all() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<run_entry>> runs_;
};

// One request at a time on a connection, `slots` in all, a few more wait. A run begins once the
// whole request has been read; its body is then final. Ends idle connections after `idle_s`.
class upstream {
public:
    upstream(const std::string& ip, std::string id, run_book& book, record_file& record, int slots,
             double work_s, double idle_s = 10)
        : id_(std::move(id)),
          book_(book),
          record_(record),
          slots_(slots),
          work_s_(work_s),
          idle_s_(idle_s),
          server_(ip, 0, [this](int fd) { serve(fd); }) {}
    const address& where() const { return server_.where(); }
    const std::string& id() const { return id_; }
    // Body of the answer to a request; a case may set another.
    std::function<std::string(const message&)> make_body_;
    // Called when the last byte of an answer was handed over to the system.
    std::function<void(const std::string&)> on_answered_;
    // Share of the requests that it runs and answers with 500.
    double failing_share_ = 0;

private:
    static std::string answer(int status, const char* reason, const std::string& headers,
                              const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    bool take_slot() {
        std::unique_lock lock(mutex_);
        if (waiting_ >= queue_) {
            return false;
        }
        ++waiting_;
        free_.wait(lock, [&] { return running_ < slots_; });
        --waiting_;
        ++running_;
        return true;
    }
    void free_slot() {
        const std::lock_guard lock(mutex_);
        --running_;
        free_.notify_one();
    }

    void serve(int fd) {
        http_stream stream(fd);
        message request;
        std::mt19937 random(std::random_device{}());
        for (;;) {
            const auto state = stream.read(request, now_s() + idle_s_, false);
            if (state != http_stream::end::message) {
                break;
            }
            const std::string id = request.header("x-request-id");
            const std::string echo = "X-Request-Id: " + id + "\r\n";
            if (request.path_ == "/health") {
                if (!send_all(fd, answer(200, "OK", "X-Instance-Id: " + id_ + "\r\n", ""))) {
                    break;
                }
                continue;
            }
            const std::string expected = request.header("x-expected-instance");
            if (!expected.empty() && expected != id_) {
                send_all(fd, answer(421, "Misdirected Request",
                                    echo + "X-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            if (!take_slot()) {
                send_all(fd, answer(503, "Service Unavailable",
                                    echo + "X-Not-Executed: 1\r\n", ""));
                continue;
            }
            book_.add(id, {id_, request.method_, request.path_, request.body_,
                           request.header("x-tenant"), request.header("x-caller-service")});
            record_.line("run      " + id + " at " + id_ + " " + request.method_ + " " +
                         request.path_ + " body " + std::to_string(request.body_.size()) +
                         " bytes '" + request.body_.substr(0, 24) + "'");
            sleep_s(work_s_);
            free_slot();
            const bool fails = (random() % 1000) < 1000 * failing_share_;
            const std::string body = make_body_ ? make_body_(request) : "done " + id + "\n";
            if (!send_all(fd, answer(fails ? 500 : 200, fails ? "Internal Server Error" : "OK",
                                     echo + "X-Response-Seal: " + id_ + "." + id + "\r\n",
                                     body))) {
                break;
            }
            if (on_answered_) {
                on_answered_(id);
            }
        }
        close(fd);
    }

    std::string id_;
    run_book& book_;
    record_file& record_;
    int slots_;
    int queue_ = 48;
    double work_s_;
    double idle_s_;
    std::mutex mutex_;
    std::condition_variable free_;
    int waiting_ = 0;
    int running_ = 0;
    server server_;
};

// ---- a consumer ----

struct sent_request {
    std::string id_;
    std::string method_ = "POST";
    std::string path_;
    std::string host_;
    std::string body_;
    bool chunked_ = false;
    int deadline_ms_ = 12000;
};

struct outcome {
    http_stream::end end_ = http_stream::end::reset;
    message answer_;
};

inline std::string request_text(const sent_request& request) {
    std::ostringstream text;
    text << request.method_ << " " << request.path_ << " HTTP/1.1\r\nHost: " << request.host_
         << "\r\nX-Request-Id: " << request.id_ << "\r\nX-Deadline-Ms: " << request.deadline_ms_
         << "\r\nX-Credential: " << tenant_key << "\r\n";
    if (request.method_ == "GET") {
        text << "\r\n";
        return text.str();
    }
    if (!request.chunked_) {
        text << "Content-Length: " << request.body_.size() << "\r\n\r\n" << request.body_;
        return text.str();
    }
    text << "Transfer-Encoding: chunked\r\n\r\n"
         << std::hex << request.body_.size() << "\r\n"
         << request.body_ << "\r\n0\r\n\r\n";
    return text.str();
}

// Keeps one connection to a host's process.
class consumer {
public:
    explicit consumer(address where) : where_(std::move(where)) {}
    ~consumer() { drop(); }

    outcome send(const sent_request& request) {
        outcome result;
        if (fd_ < 0) {
            fd_ = connect_to(where_);
            stream_ = std::make_unique<http_stream>(fd_);
        }
        if (fd_ < 0 || !send_all(fd_, request_text(request))) {
            drop();
            return result;
        }
        result.end_ = stream_->read(result.answer_, now_s() + request.deadline_ms_ / 1000.0 + 1, true);
        if (result.end_ != http_stream::end::message ||
            result.answer_.header("connection") == "close") {
            drop();
        }
        return result;
    }
    void drop() {
        if (fd_ >= 0) {
            close(fd_);
        }
        fd_ = -1;
    }

private:
    address where_;
    int fd_ = -1;
    std::unique_ptr<http_stream> stream_;
};

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace review
