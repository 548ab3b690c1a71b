#include "net/event_loop.h"

#include <csignal>
#include <utility>

#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

constexpr base::duration heartbeat_interval = base::milliseconds(100);
constexpr unsigned int buffer_bytes = 16 * 1024;
constexpr unsigned int library_timeout_s = 3600;
constexpr unsigned int file_limit = 8192;

lws_usec_t to_usec(base::duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

}  // namespace

event_loop::event_loop(const base::runtime_clock& clock) : clock_(clock), last_beat_(clock.now()) {
    heartbeat_.loop_ = this;
}

base::result<std::unique_ptr<event_loop>> event_loop::create(const base::runtime_clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, [](int, const char*) {});
    std::unique_ptr<event_loop> loop(new event_loop(clock));
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.user = loop.get();
    info.pt_serv_buf_size = buffer_bytes;
    info.fd_limit_per_thread = file_limit;
    info.gid = -1;
    info.uid = -1;
    // The library's own timeouts are per context, and their default of 5 s would cut slow targets.
    info.timeout_secs = library_timeout_s;
    info.connect_timeout_secs = library_timeout_s;
    loop->context_ = lws_create_context(&info);
    if (loop->context_ == nullptr) {
        return base::fail(base::error_kind::system,
                          "no event loop could be made; raise the limit of open files (ulimit -n)");
    }
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "clients";
    info.protocols = client_protocols();
    loop->client_vhost_ = lws_create_vhost(loop->context_, &info);
    if (loop->client_vhost_ == nullptr) {
        return base::fail(base::error_kind::system,
                          "no client side could be made; free some memory and start again");
    }
    on_heartbeat(&loop->heartbeat_.timer_);
    return loop;
}

event_loop::~event_loop() {
    if (context_ != nullptr) {
        lws_sul_cancel(&heartbeat_.timer_);
        lws_context_destroy(context_);
    }
}

void event_loop::run() {
    while (!stopped_) {
        run_once();
    }
}

void event_loop::run_once() {
    drain_inbox();
    if (!stopped_) {
        lws_service(context_, 0);
    }
}

void event_loop::stop() {
    stopped_ = true;
    lws_cancel_service(context_);
}

void event_loop::post(std::function<void()> message) {
    {
        const std::lock_guard lock(inbox_mutex_);
        inbox_.push_back(std::move(message));
    }
    lws_cancel_service(context_);
}

void event_loop::defer(std::function<void()> message) {
    post(std::move(message));
}

listener_slot& event_loop::add_listener(void* listener, std::string name, std::string ip) {
    listeners_.push_back({listener, std::move(name), std::move(ip)});
    return listeners_.back();
}

void event_loop::drain_inbox() {
    std::deque<std::function<void()>> messages;
    {
        const std::lock_guard lock(inbox_mutex_);
        messages.swap(inbox_);
    }
    for (auto& message : messages) {
        message();
    }
}

std::uint64_t event_loop::pause_count() {
    const base::instant now = clock_.now();
    if (now - last_beat_ > pause_bound) {
        ++pauses_;
        last_beat_ = now;
    }
    return pauses_;
}

void event_loop::on_heartbeat(lws_sorted_usec_list_t* timer) {
    auto* beat = reinterpret_cast<heartbeat*>(timer);
    event_loop& loop = *beat->loop_;
    loop.pause_count();
    loop.last_beat_ = loop.clock_.now();
    lws_sul_schedule(loop.context_, 0, timer, &event_loop::on_heartbeat,
                     to_usec(heartbeat_interval));
}

timer::timer(event_loop& loop) : loop_(loop) {
    slot_.owner_ = this;
}

timer::~timer() {
    cancel();
}

void timer::start(base::duration delay, std::function<void()> expired) {
    expired_ = std::move(expired);
    const lws_usec_t wait = std::max<lws_usec_t>(1, to_usec(delay));
    lws_sul_schedule(loop_.context(), 0, &slot_.entry_, &timer::on_expired, wait);
}

void timer::cancel() {
    lws_sul_cancel(&slot_.entry_);
    expired_ = nullptr;
}

void timer::on_expired(lws_sorted_usec_list_t* entry) {
    timer* self = reinterpret_cast<slot*>(entry)->owner_;
    const std::function<void()> expired = std::exchange(self->expired_, nullptr);
    if (expired) {
        expired();
    }
}

}  // namespace dandelionridge::net
