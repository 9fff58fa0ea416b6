// Thread that appends the waiting claims of one slot.
#ifndef CURRANTLUG_REQUESTS_CLAIMDRIVER_H
#define CURRANTLUG_REQUESTS_CLAIMDRIVER_H

#include "requests/claimlog.h"

#include <absl/time/clock.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
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

template<platform::ObjectStoreLike Store>
std::vector<ClaimResult> ClaimDriver<Store>::claim(const std::vector<std::string> &ids, absl::Duration maxWait)
{
    const auto call = std::make_shared<Call>();
    call->results.assign(ids.size(), ClaimResult::Unavailable);
    std::unique_lock lock(mutex_);
    if (stopping_) {
        return call->results;
    }
    for (std::size_t index = 0; index < ids.size(); ++index) {
        if (const auto ticket = batch_.add(ids[index]); ticket) {
            places_.emplace(*ticket, Place{call, index});
            ++call->open;
        }
    }
    if (!thread_.joinable()) {
        thread_ = std::thread([this] { work(); });
    }
    changed_.notify_one();
    answered_.wait_for(lock, absl::ToChronoMicroseconds(maxWait), [&call] { return call->open == 0; });
    return call->results;
}

template<platform::ObjectStoreLike Store>
void ClaimDriver<Store>::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

template<platform::ObjectStoreLike Store>
void ClaimDriver<Store>::work()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto due = batch_.due();
        const Instant now = monotonicNow();
        if (!due) {
            changed_.wait(lock);
        } else if (now < *due) {
            changed_.wait_for(lock, absl::ToChronoMicroseconds(*due - now));
        } else {
            appendDue(lock);
        }
    }
    for (auto &[ticket, place] : places_) {
        --place.call->open;
    }
    places_.clear();
    answered_.notify_all();
}

template<platform::ObjectStoreLike Store>
void ClaimDriver<Store>::appendDue(std::unique_lock<std::mutex> &lock)
{
    const auto taken = batch_.take(monotonicNow());
    lock.unlock();
    std::vector<std::string> ids;
    ids.reserve(taken.size());
    for (const ClaimBatch::Waiting &waiting : taken) {
        ids.push_back(waiting.id);
    }
    const std::int64_t wallMs = absl::ToUnixMillis(absl::Now());
    const auto results = log_.append(ids, monotonicNow(), wallMs);
    lock.lock();
    for (std::size_t i = 0; i < taken.size(); ++i) {
        const auto place = places_.find(taken[i].ticket);
        place->second.call->results[place->second.index] = results[i];
        --place->second.call->open;
        places_.erase(place);
    }
    answered_.notify_all();
    lock.unlock();
    // Two removals for each append keep the log at its retention; a failed one is tried again after the next append.
    constexpr std::size_t RemovalsPerAppend = 2;
    log_.removeOld(wallMs, RemovalsPerAppend).IgnoreError();
    lock.lock();
    batch_.finished();
}

} // namespace currantlug::requests

#endif
