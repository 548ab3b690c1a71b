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

sigset_t awaited_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

// From here on they wait until they are asked for; threads that start later inherit it.
void hold_signals() {
    const sigset_t signals = awaited_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Waits for signals on a thread of its own: SIGTERM and SIGINT begin the planned stop, SIGHUP reads
// the settings again. SIGUSR1 ends the wait when the process ends for another reason.
class signal_waiter {
public:
    signal_waiter(node::node& served, std::string settings_file)
        : served_(served), settings_file_(std::move(settings_file)) {
        waiter_ = std::thread([this] { wait(); });
    }
    signal_waiter(const signal_waiter&) = delete;
    signal_waiter& operator=(const signal_waiter&) = delete;
    ~signal_waiter() {
        pthread_kill(waiter_.native_handle(), SIGUSR1);
        waiter_.join();
    }

private:
    void wait() {
        int received = 0;
        while (sigwait(&signals_, &received) == 0 && received == SIGHUP) {
            reload();
        }
        served_.stop();
    }

    // Settings that cannot be used leave the last ones in force.
    void reload() {
        auto settings = config::read_settings(settings_file_);
        if (!settings) {
            LOG(ERROR) << "settings not reloaded: " << settings.error().message_;
            return;
        }
        served_.reload(std::move(*settings));
    }

    node::node& served_;
    std::string settings_file_;
    sigset_t signals_ = awaited_signals();
    std::thread waiter_;
};

}  // namespace

int run_serve(const std::vector<std::string>& arguments) {
    // A signal that comes while the process starts must not end it.
    hold_signals();
    char* file = nullptr;
    const poptOption table[] = {
        {"config", 'c', POPT_ARG_STRING, &file, 0, "settings of this process", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const auto rest = parse_options("serve", arguments, table, "--config FILE");
    if (!rest) {
        return usage_error(rest.error().message_);
    }
    if (file == nullptr || !rest->empty()) {
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
    // A crash leaves its stack in the log.
    google::InstallFailureSignalHandler();
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    const base::runtime_clock clock;
    node::environment environment = settings->protocol_ == config::platform_protocol::store
                                        ? platform::make_environment(*settings)
                                        : node::values_environment();
    auto served = node::node::create(clock, *settings, std::move(environment));
    if (!served) {
        std::cerr << "dandelionridge: " << served.error().message_ << '\n';
        return exit_failed;
    }
    {
        const signal_waiter waiter(**served, settings_file);
        (*served)->run();
    }
    return exit_ok;
}

}  // namespace dandelionridge::cli
