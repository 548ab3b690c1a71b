// Stand-ins for the platform's store, upstreams and consumers, and the processes under test. They
// need nothing but the C++ library and POSIX sockets. All addresses are loopback addresses.
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
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand_ins {

using clock_type = std::chrono::steady_clock;
using instant = clock_type::time_point;

inline const instant begun_at = clock_type::now();

inline double seconds_of(instant when) {
    return std::chrono::duration<double>(when - begun_at).count();
}

inline double now_s() {
    return seconds_of(clock_type::now());
}

inline void sleep_s(double seconds) {
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleep_until_s(double when) {
    sleep_s(when - now_s());
}

// The record of a case: one line for each thing that was sent, answered or run.
class record {
public:
    explicit record(const std::string& file) : out_(file) {}

    void line(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", now_s());
        const std::lock_guard lock(mutex_);
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct message {
    std::string start_line_;
    std::map<std::string, std::string> headers_;  // names in lower case
    std::string body_;
    std::string method_;
    std::string path_;
    int status_ = 0;
    bool complete_ = false;

    std::string header(const std::string& name) const {
        const auto found = headers_.find(name);
        return found == headers_.end() ? "" : found->second;
    }
};

// One end of a connection with buffered reading.
class channel {
public:
    explicit channel(int fd) : fd_(fd) {
        int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(fd_); }

    int fd() const { return fd_; }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Closes with a reset.
    void reset() {
        const linger hard{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        shutdown(fd_, SHUT_RD);
    }

    // Reads a whole message. Returns false at the end of the connection, at an error, or at the
    // time limit; `out` then holds what was read, with `complete_` false.
    bool read(message& out, double until_s, bool is_response, bool head_only = false) {
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until_s)) {
                return false;
            }
        }
        std::istringstream head(buffer_.substr(0, head_end));
        buffer_.erase(0, head_end + 4);
        std::string line;
        std::getline(head, line);
        out.start_line_ = line.substr(0, line.find('\r'));
        std::istringstream first(out.start_line_);
        if (is_response) {
            std::string version;
            first >> version >> out.status_;
        } else {
            first >> out.method_ >> out.path_;
        }
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            out.headers_[name] = value == std::string::npos ? "" : line.substr(value);
        }
        if (is_response && out.status_ >= 100 && out.status_ < 200) {
            out = message();
            return read(out, until_s, is_response, head_only);
        }
        if (out.header("transfer-encoding") == "chunked") {
            return read_chunks(out, until_s);
        }
        const std::string length = out.header("content-length");
        const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
        if (!head_only) {
            while (buffer_.size() < wanted) {
                if (!fill(until_s)) {
                    return false;
                }
            }
            out.body_ = buffer_.substr(0, wanted);
            buffer_.erase(0, wanted);
        }
        out.complete_ = true;
        return true;
    }

    // Waits until the peer closes the connection or the time is over. Returns true if it closed.
    bool closed_by(double until_s) {
        while (fill(until_s)) {
        }
        return ended_;
    }

    const std::string& unread() const { return buffer_; }

private:
    bool read_chunks(message& out, double until_s) {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until_s)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            buffer_.erase(0, end + 2);
            while (buffer_.size() < size + 2) {
                if (!fill(until_s)) {
                    return false;
                }
            }
            out.body_ += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                out.complete_ = true;
                return true;
            }
        }
    }

    bool fill(double until_s) {
        const double left = until_s - now_s();
        pollfd state{fd_, POLLIN, 0};
        if (left <= 0 || poll(&state, 1, std::max(1, static_cast<int>(left * 1000))) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    std::string buffer_;
    bool ended_ = false;
};

inline sockaddr_in endpoint_of(const std::string& ip, int port) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
    return endpoint;
}

// Returns a listening socket, or -1.
inline int listen_at(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in endpoint = endpoint_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// Returns a connection, or null if it is not established within the time.
inline std::unique_ptr<channel> connect_to(const std::string& ip, int port, double timeout_s = 1) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in endpoint = endpoint_of(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
        pollfd state{fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<channel>(fd);
}

// Returns a port that is free at all of the addresses. `taken` are not returned.
inline int free_port(const std::vector<std::string>& ips, std::set<int>& taken) {
    static std::atomic<int> next{21000 + static_cast<int>(getpid() % 4000)};
    for (int tries = 0; tries < 4000; ++tries) {
        const int port = next++;
        bool free = !taken.contains(port);
        for (const std::string& ip : ips) {
            const int fd = free ? listen_at(ip, port) : -1;
            free = fd >= 0;
            if (fd >= 0) {
                close(fd);
            }
        }
        if (free) {
            taken.insert(port);
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

// A server with one thread for each connection. The handler answers one request; it returns false
// to close the connection.
class http_server {
public:
    using handler = std::function<bool(channel&, const message&)>;

    http_server(const std::string& ip, int port, handler on_request)
        : on_request_(std::move(on_request)), listener_(listen_at(ip, port)) {
        if (listener_ < 0) {
            std::fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
            std::exit(2);
        }
        accepting_ = std::thread([this] { accept_all(); });
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() { stop(); }

    // Closes the listener and all connections, and waits for the handlers.
    void stop() {
        if (stopped_.exchange(true)) {
            return;
        }
        accepting_.join();
        close(listener_);
        close_connections();
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                if (open_.empty()) {
                    return;
                }
            }
            sleep_s(0.01);
        }
    }

    bool stopped() const { return stopped_; }

    // While set, the connections are reset, and so are new ones.
    void refuse(bool refused) {
        refused_ = refused;
        if (refused) {
            close_connections();
        }
    }

private:
    void close_connections() {
        const std::lock_guard lock(mutex_);
        for (const int fd : open_) {
            const linger hard{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            shutdown(fd, SHUT_RDWR);
        }
    }

    void accept_all() {
        while (!stopped_) {
            pollfd state{listener_, POLLIN, 0};
            if (poll(&state, 1, 20) <= 0) {
                continue;
            }
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            if (refused_) {
                const linger hard{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
                close(fd);
                continue;
            }
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd) {
        {
            channel peer(fd);
            message request;
            while (!stopped_ && !refused_ && peer.read(request, now_s() + 600, false)) {
                if (!on_request_(peer, request)) {
                    break;
                }
                request = message();
            }
            const std::lock_guard lock(mutex_);
            open_.erase(fd);
        }
    }

    handler on_request_;
    int listener_;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> refused_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::thread accepting_;
};

inline std::string response_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& bytes) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                                        : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

inline std::string query_value(const std::string& path, const std::string& name) {
    const std::size_t found = std::min(path.find("?" + name + "="), path.find("&" + name + "="));
    if (found == std::string::npos) {
        return "";
    }
    const std::size_t begin = found + name.size() + 2;
    return path.substr(begin, path.find('&', begin) - begin);
}

// The platform's store. Each machine reaches it at an address of its own, so that the path of one
// machine can be cut. Relaxed reads are `relaxed_lag_s` old.
class store {
public:
    explicit store(double relaxed_lag_s) : relaxed_lag_s_(relaxed_lag_s) {}
    ~store() {
        {
            const std::lock_guard lock(mutex_);
            ended_ = true;
        }
        changed_.notify_all();
        entrances_.clear();
    }

    void open_for(const std::string& machine, const std::string& ip, int port) {
        entrances_[machine] = std::make_unique<http_server>(
            ip, port, [this, machine](channel& peer, const message& request) {
                return answer(machine, peer, request);
            });
    }

    // Cuts the path of a machine to the store, with resets, or heals it.
    void cut(const std::string& machine, bool is_cut) {
        {
            const std::lock_guard lock(mutex_);
            if (is_cut) {
                cut_.insert(machine);
            } else {
                cut_.erase(machine);
            }
        }
        entrances_.at(machine)->refuse(is_cut);
        changed_.notify_all();
    }

    void put(const std::string& key, const std::string& value) { write(key, value, false); }
    void erase(const std::string& key) { write(key, "", true); }

    // Returns whether the last watch of a machine was a current one.
    bool reads_currently(const std::string& machine) {
        const std::lock_guard lock(mutex_);
        const auto found = last_watch_current_.find(machine);
        return found != last_watch_current_.end() && found->second;
    }

    // Returns the number of calls of a machine.
    int calls_of(const std::string& machine) {
        const std::lock_guard lock(mutex_);
        return calls_[machine];
    }

private:
    struct change {
        std::string key_;
        std::string value_;
        long revision_ = 0;
        bool deleted_ = false;
        instant at_;
    };

    void write(const std::string& key, const std::string& value, bool deleted) {
        {
            const std::lock_guard lock(mutex_);
            const change made{key, value, ++revision_, deleted, clock_type::now()};
            if (deleted) {
                items_.erase(key);
            } else {
                items_[key] = made;
            }
            history_.push_back(made);
        }
        changed_.notify_all();
    }

    static std::string json_of(const change& item) {
        const std::string head =
            "{\"key\":\"" + item.key_ + "\",\"revision\":" + std::to_string(item.revision_);
        return item.deleted_ ? head + ",\"deleted\":true}"
                             : head + ",\"value\":\"" + base64(item.value_) +
                                   "\",\"created\":" + std::to_string(item.revision_) +
                                   ",\"lease\":0}";
    }

    bool answer(const std::string& machine, channel& peer, const message& request) {
        std::unique_lock lock(mutex_);
        ++calls_[machine];
        const bool relaxed = query_value(request.path_, "serializable") == "1";
        std::string body;
        int status = 200;
        if (request.path_.rfind("/api/kv-range", 0) == 0) {
            for (const auto& [key, item] : items_) {
                body += (body.empty() ? "" : ",") + json_of(item);
            }
            body = "{\"items\":[" + body + "],\"hasMore\":false,\"storeRevision\":" +
                   std::to_string(revision_) + "}";
        } else if (request.path_.rfind("/api/kv-key", 0) == 0) {
            const auto found = items_.find(query_value(request.path_, "key"));
            status = found == items_.end() ? 404 : 200;
            body = found == items_.end() ? "{}" : json_of(found->second);
        } else {
            last_watch_current_[machine] = !relaxed;
            const long after = std::stol(query_value(request.path_, "after"));
            const instant end = clock_type::now() + std::chrono::milliseconds(std::stol(
                                                        query_value(request.path_, "waitMs")));
            const double lag = relaxed ? relaxed_lag_s_ : 0;
            long reached = after;
            for (;;) {
                instant next = end;
                for (const change& item : history_) {
                    if (item.revision_ <= after) {
                        continue;
                    }
                    const instant visible_at =
                        item.at_ + std::chrono::duration_cast<clock_type::duration>(
                                       std::chrono::duration<double>(lag));
                    if (visible_at > clock_type::now()) {
                        next = std::min(next, visible_at);
                        break;
                    }
                    body += (body.empty() ? "" : ",") + json_of(item);
                    reached = item.revision_;
                }
                if (!body.empty() || clock_type::now() >= end || ended_ ||
                    cut_.contains(machine)) {
                    break;
                }
                changed_.wait_until(lock, next);
            }
            body = "{\"events\":[" + body + "],\"storeRevision\":" + std::to_string(reached) + "}";
        }
        lock.unlock();
        return peer.send(response_text(status, "Content-Type: application/json\r\n", body));
    }

    double relaxed_lag_s_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool ended_ = false;
    long revision_ = 10;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::map<std::string, bool> last_watch_current_;
    std::map<std::string, int> calls_;
    std::set<std::string> cut_;
    std::map<std::string, std::unique_ptr<http_server>> entrances_;
};

// An upstream. It runs a request as soon as it has it, for `work_s`, and answers with its seal.
class upstream {
public:
    struct run {
        std::string request_id_;
        std::string tenant_;
        double at_s_ = 0;
    };

    upstream(record& log, std::string id, const std::string& ip, int port, double work_s)
        : log_(log),
          id_(std::move(id)),
          work_s_(work_s),
          server_(ip, port, [this](channel& peer, const message& request) {
              return answer(peer, request);
          }) {}

    const std::string& id() const { return id_; }

    // The upstream ends: its connections are reset.
    void end() { server_.stop(); }

    void set_work(double work_s) { work_s_ = work_s; }

    std::vector<run> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    bool answer(channel& peer, const message& request) {
        const std::string request_id = request.header("x-request-id");
        const std::string echo = "X-Request-Id: " + request_id + "\r\n";
        if (request.path_ == "/health") {
            return peer.send(response_text(200, echo + "X-Instance-Id: " + id_ + "\r\n", ""));
        }
        const std::string expected = request.header("x-expected-instance");
        if (!expected.empty() && expected != id_) {
            return peer.send(response_text(421, echo + "X-Not-Executed: 1\r\n", ""));
        }
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({request_id, request.header("x-tenant"), now_s()});
        }
        log_.line("upstream " + id_ + " runs " + request.method_ + " " + request.path_ + " of " +
                  request_id + ", tenant " + request.header("x-tenant"));
        // It stops work at the value of X-Deadline-Ms that it received.
        const std::string deadline = request.header("x-deadline-ms");
        const double allowed_s = deadline.empty() ? 600 : std::stod(deadline) / 1000;
        const bool in_time = work_s_ <= allowed_s;
        const double until = now_s() + std::min(work_s_.load(), allowed_s);
        while (now_s() < until && !server_.stopped()) {
            sleep_s(std::min(0.02, until - now_s()));
        }
        if (server_.stopped()) {
            return false;
        }
        if (!in_time) {
            return peer.send(
                response_text(504, echo + "X-Response-Seal: seal." + id_ + "\r\n", ""));
        }
        return peer.send(response_text(
            200, echo + "X-Response-Seal: seal." + id_ + "\r\nX-Server-Load: 1,0,20\r\n",
            "body of " + request_id + " from " + id_ + "\n"));
    }

    record& log_;
    std::string id_;
    std::atomic<double> work_s_;
    std::mutex mutex_;
    std::vector<run> runs_;
    http_server server_;
};

// A program under test.
class program {
public:
    program(const std::vector<std::string>& command, const std::string& output) {
        pid_ = fork();
        if (pid_ == 0) {
            // The program ends with this process.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            std::vector<char*> words;
            for (const std::string& word : command) {
                words.push_back(const_cast<char*>(word.c_str()));
            }
            words.push_back(nullptr);
            execv(words[0], words.data());
            _exit(127);
        }
    }
    program(const program&) = delete;
    program& operator=(const program&) = delete;
    ~program() { end(SIGKILL); }

    void signal(int number) const {
        if (!reaped_) {
            kill(pid_, number);
        }
    }

    // Sends a signal and waits for the end. Returns the status.
    int end(int number) {
        signal(number);
        return wait();
    }

    int wait() {
        if (!reaped_) {
            waitpid(pid_, &status_, 0);
            reaped_ = true;
        }
        return status_;
    }

    bool running() {
        if (!reaped_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
            reaped_ = true;
        }
        return !reaped_;
    }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool reaped_ = false;
};

// The machines of a small deployment. The settings are those that platform/settings.ini gives with
// the bounds of the site kampylos-prod.
class deployment {
public:
    struct machine {
        std::string name_;
        std::string ip_;
        std::string zone_;
        std::string service_;
        std::string store_ip_;
        std::unique_ptr<program> process_;
    };

    deployment(std::string directory, double relaxed_lag_s)
        : directory_(std::move(directory)), store_(relaxed_lag_s) {}

    // Adds a machine; all are added before the ports are chosen.
    void add(const std::string& zone, const std::string& service) {
        const std::string number = std::to_string(machines_.size() + 1);
        const std::string block = std::to_string(40 + getpid() % 200);
        machines_.push_back({"m" + number, "127." + block + ".1." + number, zone, service,
                             "127." + block + ".2." + number, nullptr});
    }

    void choose_ports() {
        std::vector<std::string> ips;
        std::vector<std::string> store_ips;
        for (const machine& added : machines_) {
            ips.push_back(added.ip_);
            store_ips.push_back(added.store_ip_);
        }
        std::set<int> taken;
        callers_port_ = free_port(ips, taken);
        peers_port_ = free_port(ips, taken);
        ready_port_ = free_port(ips, taken);
        app_port_ = free_port(ips, taken);
        store_port_ = free_port(store_ips, taken);
        for (const machine& added : machines_) {
            store_.open_for(added.name_, added.store_ip_, store_port_);
        }
    }

    void start(machine& started) {
        const std::string file = directory_ + "/" + started.name_ + ".ini";
        std::ofstream out(file);
        std::map<std::string, bool> zones;
        std::string regions;
        for (const machine& other : machines_) {
            if (!zones[other.zone_]) {
                zones[other.zone_] = true;
                regions += (regions.empty() ? "" : ",") + other.zone_ + ":thess";
            }
        }
        const auto at = [&](int port) { return started.ip_ + ":" + std::to_string(port); };
        out << "[host]\nname = " << started.ip_ << "\nzone = " << started.zone_
            << "\nregions = " << regions << "\n[listen]\ncallers = " << at(callers_port_)
            << "\npeers = " << at(peers_port_) << "\nadmin = " << at(ready_port_)
            << "\n[target]\naddress = " << at(app_port_) << "\nservice = " << started.service_
            << "\n[platform]\nform = store\naddress = " << started.store_ip_ << ":" << store_port_
            << "\n[limits]\nmemory_mb = 260\nlink_mbps = 1000.0\n[times]\nfreshness = lenient\n"
               "drain_bound = 6s\nwatch_wait = 2s\nheartbeat = 1.5s\nrules_bound = 2s\n"
               "leaving_bound = 2s\n[retries]\nratio = 0.2\nslack = 56\nwindow = 10s\n"
               "[quota]\nwindow = 5s\noverage = 0.25\nslack = 20\n[ejection]\nleast_share = 0.7\n";
        out.close();
        started.process_ = std::make_unique<program>(
            std::vector<std::string>{"target/dandelionridge", "serve", "--config", file},
            directory_ + "/" + started.name_ + ".log");
    }

    // Returns whether a machine says that it is ready.
    bool ready(const machine& asked) const {
        const auto peer = connect_to(asked.ip_, ready_port_);
        message response;
        return peer != nullptr &&
               peer->send("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
               peer->read(response, now_s() + 1, true) && response.status_ == 200;
    }

    // Waits until all machines are ready. Returns false after 20 s.
    bool wait_until_ready() {
        const double until = now_s() + 20;
        for (const machine& asked : machines_) {
            while (!ready(asked)) {
                if (now_s() > until) {
                    return false;
                }
                sleep_s(0.05);
            }
        }
        return true;
    }

    std::string entry(const machine& host, const std::string& state, long sequence,
                      long born_ms) const {
        return "{\"service\":\"" + host.service_ + "\",\"address\":\"" + host.ip_ + ":" +
               std::to_string(app_port_) + "\",\"zone\":\"" + host.zone_ +
               "\",\"version\":\"v1\",\"slots\":20,\"state\":\"" + state +
               "\",\"warmupLeftS\":0,\"seq\":" + std::to_string(sequence) +
               ",\"born\":" + std::to_string(born_ms) + "}";
    }

    // Sends a request on a connection of its own. Returns the response; status 0 if there is none.
    message send(const machine& at, const std::string& request, double timeout_s) const {
        message response;
        const auto peer = connect_to(at.ip_, callers_port_);
        if (peer != nullptr && peer->send(request)) {
            peer->read(response, now_s() + timeout_s, true);
        }
        return response;
    }

    std::vector<machine>& machines() { return machines_; }
    store& platform() { return store_; }
    int callers_port() const { return callers_port_; }
    int app_port() const { return app_port_; }

private:
    std::string directory_;
    store store_;
    std::vector<machine> machines_;
    int callers_port_ = 0;
    int peers_port_ = 0;
    int ready_port_ = 0;
    int app_port_ = 0;
    int store_port_ = 0;
};

inline std::string route_json(const std::string& name, const std::string& prefix,
                              const std::string& service, const std::string& kind,
                              double timeout_s, bool is_public) {
    return "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + name +
           "\"},\"spec\":{\"host\":\"desk.example\",\"prefix\":\"" + prefix + "\",\"service\":\"" +
           service + "\",\"kind\":\"" + kind + "\",\"maxAttempts\":2,\"timeoutS\":" +
           std::to_string(timeout_s) + ",\"targetLatencyS\":2,\"priority\":1,\"public\":" +
           (is_public ? "true" : "false") + "}}";
}

inline std::string service_json(const std::string& name) {
    return "{\"type\":\"services\",\"metadata\":{\"name\":\"" + name +
           "\"},\"spec\":{\"healthPath\":\"/health\"}}";
}

inline std::string limits_json() {
    return "{\"type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\"maxHeaderBytes\":"
           "16384,\"maxBodyBytes\":1048576,\"headerTimeoutS\":5,\"idleTimeoutS\":30}}";
}

// True unless the script runs without its disruption.
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace stand_ins
