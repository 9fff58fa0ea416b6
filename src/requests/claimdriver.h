// Thread that appends the waiting claims of one slot.
#ifndef CURRANTLUG_REQUESTS_CLAIMDRIVER_H
#define CURRANTLUG_REQUESTS_CLAIMDRIVER_H

#include "requests/claimlog.h"

#include <chrono>
#include <condition_variable>
#include <thread>

namespace currantlug::requests {

/// Thread-safe. The store must outlive it. The thread starts with the first claim.
template<platform::ObjectStoreLike Store>
class ClaimDriver
{
public:
    ClaimDriver(Store &store, std::uint32_t slot, ClaimLogSettings logSettings = {},
                ClaimBatchSettings batchSettings = {})
        : log_(store, slot, logSettings)
        , batch_(batchSettings)
    {
    }
    ~ClaimDriver() { stop(); }
    ClaimDriver(const ClaimDriver &) = delete;
    ClaimDriver &operator=(const ClaimDriver &) = delete;

    /// Claims the ids and waits for the results, one per id in order. Ids without a result at the deadline are
    /// Unavailable; their append may still happen, so they can stay claimed.
    std::vector<ClaimResult> claim(const std::vector<std::string> &ids, absl::Duration maxWait);

    /// Ends waiting claims as Unavailable and joins the thread.
    void stop();

private:
    /// The results that one caller waits for, shared with the thread so that either may end first.
    struct Call
    {
        std::vector<ClaimResult> results;
        std::size_t open = 0;
    };
    struct Place
    {
        std::shared_ptr<Call> call;
        std::size_t index = 0;
    };

    void work();
    void appendDue(std::unique_lock<std::mutex> &lock);

    ClaimLog<Store> log_; ///< Used by the thread only.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable answered_;
    ClaimBatch batch_;
    std::map<ClaimBatch::Ticket, Place> places_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace currantlug::requests

#endif
