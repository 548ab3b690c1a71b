// A child process of a test. The destructor kills it.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace dandelionridge::support {

class process {
public:
    // Starts a program and appends its standard output and error to a file.
    process(const std::vector<std::string>& command, const std::string& output_file);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    void send_signal(int signal) const;

    // Waits until the process has ended. Returns its exit status, or 128 plus the signal that ended
    // it.
    int wait();

    // Returns true if the process has ended, without waiting.
    bool ended();

    // Returns the resident memory in bytes.
    std::size_t resident_bytes() const;

    // Returns the highest resident memory so far, in bytes.
    std::size_t peak_resident_bytes() const;

    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = -1;
    bool reaped_ = false;
};

}  // namespace dandelionridge::support
