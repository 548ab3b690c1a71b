// A TCP relay in front of a host's peer port, with which tests stall or refuse links between
// processes.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "base/address.h"

namespace dandelionridge::support {

// The direction in which bytes travel on a link. The caller proxy is the side that opened it.
enum class relay_direction { to_target_proxy, to_caller_proxy };

class relay {
public:
    relay(const base::address& listen_address, const base::address& upstream_address);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    // Stops forwarding in one direction on the links that are open now. Links opened later are not
    // affected.
    void hold_open_links(relay_direction direction);

    // Breaks each link that is open now once it has forwarded that many more bytes to the caller
    // proxy.
    void cut_open_links_after(std::size_t bytes_to_caller_proxy);

    // Resumes forwarding on all links, including the bytes that were held.
    void release();

    // While `refuse` is set, new connections are closed without being connected to the host.
    void refuse_new_links(bool refuse) { refuse_links_ = refuse; }

    // Makes bytes that arrive from now on wait for that time before they are forwarded.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

    // Number of links opened so far.
    int opened() const { return opened_; }

private:
    struct relayed_link {
        int caller_proxy_fd_ = -1;
        int target_proxy_fd_ = -1;
        bool hold_to_target_proxy_ = false;
        bool hold_to_caller_proxy_ = false;
        bool closed_ = false;
        // Bytes that may still be forwarded to the caller proxy before the link breaks.
        std::optional<std::size_t> bytes_until_cut_;
    };

    void run();
    void accept_one();
    bool forward_available(int from, int to, std::optional<std::size_t>* until_cut = nullptr) const;

    base::address upstream_address_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> refuse_links_ = false;
    std::atomic<int> opened_ = 0;
    std::atomic<std::chrono::milliseconds> delay_ = std::chrono::milliseconds(0);
    std::mutex mutex_;
    std::list<relayed_link> links_;
    std::thread thread_;
};

}  // namespace dandelionridge::support
