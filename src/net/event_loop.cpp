#include "net/event_loop.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

// Interval at which the loop checks for how long it did not run.
constexpr base::duration heartbeat_interval = base::milliseconds(100);
constexpr unsigned int service_buffer_bytes = 16 * 1024;
constexpr unsigned int lws_timeout_s = 3600;
constexpr unsigned int max_open_files = 8192;

itimerspec to_itimerspec(base::duration value) {
    // A value of zero would disarm the timer.
    const auto nanoseconds = std::max<std::int64_t>(1, value.count());
    constexpr std::int64_t ns_per_second = 1'000'000'000;
    itimerspec spec{};
    spec.it_value.tv_sec = nanoseconds / ns_per_second;
    spec.it_value.tv_nsec = nanoseconds % ns_per_second;
    return spec;
}

}  // namespace

event_loop::event_loop(const base::runtime_clock& clock)
    : clock_(clock), last_heartbeat_(clock.now()) {}

base::result<std::unique_ptr<event_loop>> event_loop::create(const base::runtime_clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, [](int, const char*) {});
    std::unique_ptr<event_loop> loop(new event_loop(clock));
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.user = loop.get();
    info.pt_serv_buf_size = service_buffer_bytes;
    info.fd_limit_per_thread = max_open_files;
    info.gid = -1;
    info.uid = -1;
    // The timeouts of libwebsockets apply to the whole context, and their default of 5 s would
    // close connections to slow targets.
    info.timeout_secs = lws_timeout_s;
    info.connect_timeout_secs = lws_timeout_s;
    loop->context_ = lws_create_context(&info);
    if (loop->context_ == nullptr) {
        return base::fail(
            base::error_kind::system,
            "cannot create the event loop; raise the limit of open files (ulimit -n)");
    }
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "clients";
    info.protocols = protocols();
    loop->client_vhost_ = lws_create_vhost(loop->context_, &info);
    if (loop->client_vhost_ == nullptr) {
        return base::fail(base::error_kind::system,
                          "cannot create the client vhost; free some memory and start again");
    }
    if (!loop->open_timer_fd()) {
        return base::fail(
            base::error_kind::system,
            "cannot create the timer of the event loop; raise the limit of open files (ulimit -n)");
    }
    loop->heartbeat_ = std::make_unique<timer>(*loop);
    loop->on_heartbeat();
    return loop;
}

event_loop::~event_loop() {
    run_deferred();
    if (context_ != nullptr) {
        heartbeat_.reset();
        lws_context_destroy(context_);
    }
}

void event_loop::run() {
    while (!stopped_) {
        run_once();
    }
}

void event_loop::run_once() {
    run_posted_tasks();
    if (!stopped_) {
        lws_service(context_, 0);
    }
}

void event_loop::stop() {
    stopped_ = true;
    lws_cancel_service(context_);
}

void event_loop::post(std::function<void()> task) {
    {
        const std::lock_guard lock(posted_tasks_mutex_);
        posted_tasks_.push_back(std::move(task));
    }
    lws_cancel_service(context_);
}

void event_loop::defer(std::function<void()> task) {
    post(std::move(task));
}

void event_loop::run_deferred() {
    bool more = true;
    while (more) {
        run_posted_tasks();
        const std::lock_guard lock(posted_tasks_mutex_);
        more = !posted_tasks_.empty();
    }
}

// Runs the tasks that wait now; those that they post run with the next events. Tasks are taken one
// at a time, so that run_deferred() within one of them reaches the rest.
void event_loop::run_posted_tasks() {
    std::unique_lock lock(posted_tasks_mutex_);
    for (std::size_t left = posted_tasks_.size(); left > 0 && !posted_tasks_.empty(); --left) {
        std::function<void()> task = std::move(posted_tasks_.front());
        posted_tasks_.pop_front();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

std::uint64_t event_loop::pause_count() {
    const base::instant now = clock_.now();
    if (now - last_heartbeat_ > pause_threshold) {
        ++pauses_;
        last_heartbeat_ = now;
        if (stall_handler_) {
            stall_handler_();
        }
        defer([this] { notify_pause_listeners(); });
    }
    return pauses_;
}

// Listeners that another one removes are not called, nor are those that it adds: they did not exist
// during the pause.
void event_loop::notify_pause_listeners() {
    const std::vector<pause_listener*> listeners(pause_listeners_.begin(), pause_listeners_.end());
    for (pause_listener* listener : listeners) {
        if (pause_listeners_.contains(listener)) {
            listener->on_pause();
        }
    }
}

void event_loop::on_heartbeat() {
    if (clock_.now() - last_heartbeat_ > stall_threshold && stall_handler_) {
        stall_handler_();
    }
    pause_count();
    last_heartbeat_ = clock_.now();
    heartbeat_->start(heartbeat_interval, [this] { on_heartbeat(); });
}

// Creates the timer descriptor. Returns false on failure. libwebsockets closes the descriptor when
// it destroys the context.
bool event_loop::open_timer_fd() {
    timer_fd_ = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    if (timer_fd_ < 0) {
        return false;
    }
    lws_sock_file_fd_type file{};
    file.filefd = timer_fd_;
    return lws_adopt_descriptor_vhost(client_vhost_, LWS_ADOPT_RAW_FILE_DESC, file, timer_protocol,
                                      nullptr) != nullptr;
}

void event_loop::arm_timer_fd() {
    if (timers_.empty() || timers_.begin()->first == timer_fd_deadline_) {
        return;
    }
    timer_fd_deadline_ = timers_.begin()->first;
    const itimerspec spec = to_itimerspec(timer_fd_deadline_ - clock_.now());
    timerfd_settime(timer_fd_, 0, &spec, nullptr);
}

void event_loop::on_timer_fd() {
    std::uint64_t count = 0;
    static_cast<void>(read(timer_fd_, &count, sizeof(count)));
    timer_fd_deadline_ = {};
    const base::instant now = clock_.now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        timers_.begin()->second->expire();
    }
    arm_timer_fd();
}

int on_timer_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                   std::size_t /*length*/) {
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        static_cast<event_loop*>(lws_context_user(lws_get_context(wsi)))->on_timer_fd();
    }
    return 0;
}

timer::timer(event_loop& loop) : loop_(loop) {}

timer::~timer() {
    cancel();
}

void timer::start(base::duration delay, std::function<void()> on_expired) {
    cancel();
    callback_ = std::move(on_expired);
    queue_position_ = loop_.timers_.emplace(loop_.clock_.now() + delay, this);
    loop_.arm_timer_fd();
}

void timer::cancel() {
    if (queue_position_) {
        loop_.timers_.erase(*queue_position_);
        queue_position_.reset();
    }
    callback_ = nullptr;
}

void timer::expire() {
    loop_.timers_.erase(*queue_position_);
    queue_position_.reset();
    const std::function<void()> callback = std::exchange(callback_, nullptr);
    if (callback) {
        callback();
    }
}

}  // namespace dandelionridge::net
