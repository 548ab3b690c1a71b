#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <thread>

#include "cli/command.h"
#include "cli/options.h"
#include "config/settings.h"
#include "node/environment.h"
#include "node/node.h"
#include "platform/environment.h"

namespace dandelionridge::cli {

namespace {

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

// Blocks the handled signals on this thread and on all threads that it starts later, so that they
// stay pending until signal_waiter takes them.
void block_signals() {
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Handles signals on its own thread: SIGTERM and SIGINT begin the planned stop, SIGHUP reloads the
// settings. The destructor sends SIGUSR1 to end the wait when the process ends for another reason.
class signal_waiter {
public:
    signal_waiter(node::node& served_node, std::string settings_file)
        : served_node_(served_node), settings_file_(std::move(settings_file)) {
        thread_ = std::thread([this] { wait(); });
    }
    signal_waiter(const signal_waiter&) = delete;
    signal_waiter& operator=(const signal_waiter&) = delete;
    ~signal_waiter() {
        pthread_kill(thread_.native_handle(), SIGUSR1);
        thread_.join();
    }

private:
    void wait() {
        int signal_number = 0;
        while (sigwait(&signals_, &signal_number) == 0 && signal_number == SIGHUP) {
            reload();
        }
        served_node_.stop();
    }

    // Reads the settings file again and applies it. If it is invalid, logs the error and leaves the
    // previous settings in force.
    void reload() {
        auto settings = config::read_settings(settings_file_);
        if (!settings) {
            LOG(ERROR) << "settings not reloaded, the previous ones stay in force: "
                       << settings.error().message_;
            return;
        }
        served_node_.reload(std::move(*settings));
    }

    node::node& served_node_;
    std::string settings_file_;
    sigset_t signals_ = handled_signals();
    std::thread thread_;
};

}  // namespace

int run_serve(const std::vector<std::string>& arguments) {
    // A signal that arrives while the process starts must not terminate it.
    block_signals();
    char* file = nullptr;
    const poptOption table[] = {
        {"config", 'c', POPT_ARG_STRING, &file, 0, "settings of this process", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const auto operands = parse_options("serve", arguments, table, "--config FILE");
    if (!operands) {
        return usage_error(operands.error().message_);
    }
    if (file == nullptr || !operands->empty()) {
        return usage_error(
            "serve takes --config FILE and nothing else; see 'dandelionridge serve "
            "--help'");
    }
    const std::string settings_file = file;
    std::free(file);
    const auto settings = config::read_settings(settings_file);
    if (!settings) {
        return usage_error(settings.error().message_);
    }
    FLAGS_logtostdout = true;
    google::InitGoogleLogging("dandelionridge");
    // Writes the stack to the log on a crash.
    google::InstallFailureSignalHandler();
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    const base::runtime_clock clock;
    node::environment environment = settings->protocol_ == config::platform_protocol::store
                                        ? platform::make_environment(*settings)
                                        : node::values_environment();
    auto served_node = node::node::create(clock, *settings, std::move(environment));
    if (!served_node) {
        std::cerr << "dandelionridge: " << served_node.error().message_ << '\n';
        return exit_failed;
    }
    {
        const signal_waiter waiter(**served_node, settings_file);
        (*served_node)->run();
    }
    return exit_ok;
}

}  // namespace dandelionridge::cli
