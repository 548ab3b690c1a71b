#include "support/process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace dandelionridge::support {

namespace {

int exit_status(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}  // namespace

process::process(const std::vector<std::string>& command, const std::string& output_file) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
        sigset_t empty_mask;
        sigemptyset(&empty_mask);
        sigprocmask(SIG_SETMASK, &empty_mask, nullptr);
        const int output_fd =
            open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output_fd, STDOUT_FILENO);
        dup2(output_fd, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
}

process::~process() {
    if (!ended()) {
        send_signal(SIGKILL);
        send_signal(SIGCONT);
        wait();
    }
}

void process::send_signal(int signal) const {
    if (!reaped_) {
        kill(pid_, signal);
    }
}

int process::wait() {
    if (!reaped_) {
        waitpid(pid_, &status_, 0);
        reaped_ = true;
    }
    return exit_status(status_);
}

bool process::ended() {
    if (!reaped_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
        reaped_ = true;
    }
    return reaped_;
}

std::size_t process::resident_bytes() const {
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t process::peak_resident_bytes() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    constexpr std::string_view name = "VmHWM:";
    while (std::getline(status, line)) {
        if (line.starts_with(name)) {
            constexpr std::size_t bytes_per_kb = 1024;
            return std::stoul(line.substr(name.size())) * bytes_per_kb;
        }
    }
    return 0;
}

}  // namespace dandelionridge::support
