// In-memory fake of the platform's object store, with outages and responses that are lost after the write took effect.
#ifndef CURRANTLUG_TESTS_FAKES_FAKEOBJECTSTORE_H
#define CURRANTLUG_TESTS_FAKES_FAKEOBJECTSTORE_H

#include "core/error.h"
#include "platform/objectstore.h"

#include <map>
#include <mutex>

namespace currantlug::fakes {

class FakeObjectStore
{
public:
    /// While down, every call fails without effect.
    void setDown(bool down)
    {
        const std::lock_guard lock(mutex_);
        down_ = down;
    }

    /// The next writes take effect and then fail with an unknown outcome.
    void loseNextAnswers(int count)
    {
        const std::lock_guard lock(mutex_);
        answersToLose_ = count;
    }

    /// Calls so far, reads and writes.
    std::uint64_t calls() const
    {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

    absl::StatusOr<platform::StoredObject> get(std::string_view key)
    {
        const std::lock_guard lock(mutex_);
        if (absl::Status status = beginCall(); !status.ok()) {
            return status;
        }
        const auto found = objects_.find(std::string(key));
        if (found == objects_.end()) {
            return makeError(absl::StatusCode::kNotFound, Step::Store, "fake", Outcome::Ran, "no such object");
        }
        return found->second;
    }

    absl::StatusOr<std::uint64_t> putIf(std::string_view key, std::uint64_t expected, std::string value)
    {
        const std::lock_guard lock(mutex_);
        if (absl::Status status = beginCall(); !status.ok()) {
            return status;
        }
        const auto found = objects_.find(std::string(key));
        const std::uint64_t current = found == objects_.end() ? platform::CreateOnly : found->second.version;
        if (current != expected) {
            return makeError(absl::StatusCode::kAborted, Step::Store, "fake", Outcome::NotRun, "version mismatch");
        }
        const std::uint64_t version = ++revision_;
        objects_[std::string(key)] = {std::string(key), version, std::move(value)};
        if (absl::Status status = loseAnswerIfDue(); !status.ok()) {
            return status;
        }
        return version;
    }

    absl::Status removeIf(std::string_view key, std::uint64_t expected)
    {
        const std::lock_guard lock(mutex_);
        if (absl::Status status = beginCall(); !status.ok()) {
            return status;
        }
        const auto found = objects_.find(std::string(key));
        if (found == objects_.end() || found->second.version != expected) {
            return makeError(absl::StatusCode::kAborted, Step::Store, "fake", Outcome::NotRun, "version mismatch");
        }
        objects_.erase(found);
        ++revision_;
        return loseAnswerIfDue();
    }

    absl::StatusOr<platform::ObjectList> list(std::string_view prefix)
    {
        const std::lock_guard lock(mutex_);
        if (absl::Status status = beginCall(); !status.ok()) {
            return status;
        }
        return collect(prefix, 0);
    }

    /// Returns at once with the objects changed after the revision; deletions are not reported.
    absl::StatusOr<platform::WatchBatch> watch(std::string_view prefix, std::uint64_t after, absl::Duration)
    {
        const std::lock_guard lock(mutex_);
        if (absl::Status status = beginCall(); !status.ok()) {
            return status;
        }
        platform::WatchBatch batch{revision_, {}};
        for (platform::StoredObject &object : collect(prefix, after).objects) {
            batch.events.push_back({std::move(object), false});
        }
        return batch;
    }

private:
    absl::Status beginCall()
    {
        ++calls_;
        if (down_) {
            return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::NotRun, "store is down");
        }
        return absl::OkStatus();
    }

    absl::Status loseAnswerIfDue()
    {
        if (answersToLose_ == 0) {
            return absl::OkStatus();
        }
        --answersToLose_;
        return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::MayHaveRun, "answer lost");
    }

    platform::ObjectList collect(std::string_view prefix, std::uint64_t after) const
    {
        platform::ObjectList result{revision_, {}};
        for (const auto &[key, object] : objects_) {
            if (key.starts_with(prefix) && object.version > after) {
                result.objects.push_back(object);
            }
        }
        return result;
    }

    mutable std::mutex mutex_;
    std::map<std::string, platform::StoredObject> objects_;
    std::uint64_t revision_ = 0;
    std::uint64_t calls_ = 0;
    int answersToLose_ = 0;
    bool down_ = false;
};

static_assert(platform::ObjectStoreLike<FakeObjectStore>);

} // namespace currantlug::fakes

#endif
