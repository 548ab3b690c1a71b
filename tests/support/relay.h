// A TCP relay in front of a host's peer port, with which tests stall, slow down or refuse links
// between processes.
#pragma once

#include <poll.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <vector>

#include "base/address.h"

namespace dandelionridge::support {

// The direction in which bytes travel on a link. The caller proxy is the side that opened it.
enum class relay_direction { to_target_proxy, to_caller_proxy };

// A token bucket: bytes that may be forwarded now, and their rate.
struct byte_budget {
    std::size_t bytes_per_second_ = 0;
    double available_ = 0;
    std::chrono::steady_clock::time_point refilled_at_{};
};

class relay {
public:
    // With `bytes_per_second`, all links together forward that many bytes in each direction, in
    // turns.
    relay(const base::address& listen_address, const base::address& upstream_address,
          std::optional<std::size_t> bytes_per_second = {});
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

    // Number of bytes forwarded in one direction so far.
    std::uint64_t forwarded(relay_direction direction) const;

private:
    // What all links forward in one direction.
    struct relayed_flow {
        // Empty if the rate is not limited.
        std::optional<byte_budget> budget_;
        std::uint64_t forwarded_ = 0;
    };

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
    void refill_budgets();
    std::vector<pollfd> make_polled_fds() const;
    void forward_polled(std::span<const pollfd> polled_fds);
    void accept_one();
    bool forward_available(int from, int to, relayed_flow& flow,
                           std::optional<std::size_t>* until_cut = nullptr) const;

    base::address upstream_address_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> refuse_links_ = false;
    std::atomic<int> opened_ = 0;
    std::atomic<std::chrono::milliseconds> delay_ = std::chrono::milliseconds(0);
    mutable std::mutex mutex_;
    std::list<relayed_link> links_;
    relayed_flow to_target_proxy_;
    relayed_flow to_caller_proxy_;
    std::thread thread_;
};

}  // namespace dandelionridge::support
