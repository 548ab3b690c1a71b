#include "support/local.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace dandelionridge::support {

namespace {

constexpr auto max_wait = std::chrono::seconds(60);
constexpr auto poll_interval = std::chrono::milliseconds(10);

}  // namespace

bool wait_for(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string loopback_ip(std::size_t number) {
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + "." +
           std::to_string(number + 1);
}

std::string program_path() {
    return (std::filesystem::canonical("/proc/self/exe").parent_path() / "dandelionridge").string();
}

std::string make_test_directory() {
    static std::atomic<int> count = 0;
    const std::filesystem::path directory =
        std::filesystem::temp_directory_path() /
        ("dandelionridge-" + std::to_string(getpid()) + "-" + std::to_string(++count));
    std::filesystem::create_directories(directory);
    return directory;
}

void remove_test_directory(const std::string& directory) {
    std::error_code ignored;
    if (std::getenv("DANDELIONRIDGE_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory, ignored);
    }
}

std::string file_text(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace dandelionridge::support
