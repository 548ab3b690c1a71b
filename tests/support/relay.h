// A TCP relay before a host's peer port, to cut or silence links between processes.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "base/address.h"

namespace dandelionridge::support {

// A direction as seen from the entry that opened the link.
enum class relay_direction { to_target_proxy, to_caller_proxy };

class relay {
public:
    relay(const base::address& listen_address, const base::address& upstream_address);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    // From now on nothing passes in that direction on the links that are open; new links work.
    void hold_open_links(relay_direction direction);

    // What was held passes again.
    void release();

    // While cut, no new link can be opened.
    void refuse_new_links(bool cut) { refuse_links_ = cut; }

    // Links opened so far.
    int opened() const { return opened_; }

private:
    struct pipe {
        int caller_proxy_fd_ = -1;
        int target_proxy_fd_ = -1;
        bool hold_to_target_proxy_ = false;
        bool hold_to_caller_proxy_ = false;
        bool closed_ = false;
    };

    void run();
    void accept_one();
    static bool pump(int from, int to);

    base::address upstream_address_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> refuse_links_ = false;
    std::atomic<int> opened_ = 0;
    std::mutex mutex_;
    std::list<pipe> pipes_;
    std::thread thread_;
};

}  // namespace dandelionridge::support
