// What fleets of real processes on this machine share: their addresses, files and waits.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace dandelionridge::support {

// Polls until the condition holds. Returns false if it does not within 60 s, which every test
// treats as a failure.
bool wait_for(const std::function<bool()>& condition);

// Returns a loopback address of this test process. The process id is part of it, so that test
// processes that run at the same time do not collide.
std::string loopback_ip(std::size_t number);

// Returns the path of the program under test, which is in the same directory as the test program.
std::string program_path();

// Creates a directory for the files of one fleet.
std::string make_test_directory();

// Removes it, unless the environment variable DANDELIONRIDGE_KEEP_LOGS is set.
void remove_test_directory(const std::string& directory);

// Returns the text of a file; empty if it cannot be read.
std::string file_text(const std::string& path);

}  // namespace dandelionridge::support
