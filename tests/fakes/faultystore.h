// Object store for property tests: a call may fail, lose its response, take effect late, or race with another client.
#ifndef CURRANTLUG_TESTS_FAKES_FAULTYSTORE_H
#define CURRANTLUG_TESTS_FAKES_FAULTYSTORE_H

#include "fakes/fakeobjectstore.h"

#include <functional>
#include <random>
#include <vector>

namespace currantlug::fakes {

/// One client's view of a shared FakeObjectStore. Not thread-safe. The random number generator decides all faults.
class FaultyStore
{
public:
    FaultyStore(FakeObjectStore &store, std::mt19937_64 &rng)
        : store_(store)
        , rng_(rng)
    {
    }

    double failRate = 0; ///< The call fails without effect and reports that.
    double loseRate = 0; ///< The write takes effect, but its response is lost.
    double dropRate = 0; ///< The write has no effect, but its outcome is reported as unknown.
    double delayRate = 0; ///< The write takes effect during a later call, and its response is lost.
    std::function<void()> beforeCall; ///< Runs before each call, for example a call of another client.
    std::function<void()> afterEffect; ///< Runs between the effect of a call and its response.

    absl::StatusOr<platform::StoredObject> get(std::string_view key)
    {
        return call([&] { return store_.get(key); });
    }
    absl::StatusOr<platform::ObjectList> list(std::string_view prefix)
    {
        return call([&] { return store_.list(prefix); });
    }
    absl::StatusOr<platform::WatchBatch> watch(std::string_view prefix, std::uint64_t after, absl::Duration wait)
    {
        return call([&] { return store_.watch(prefix, after, wait); });
    }
    absl::StatusOr<std::uint64_t> putIf(std::string_view key, std::uint64_t version, std::string value)
    {
        const auto write = [this, key = std::string(key), version, value] { return store_.putIf(key, version, value); };
        if (occurs(delayRate)) {
            delayedWrites_.emplace_back(write);
            return answerLost();
        }
        if (occurs(dropRate)) {
            return answerLost();
        }
        const bool lose = occurs(loseRate);
        auto result = call(write);
        return lose && result.ok() ? answerLost() : result;
    }
    absl::Status removeIf(std::string_view key, std::uint64_t version)
    {
        return call([&] { return store_.removeIf(key, version); });
    }

    /// Executes the delayed writes.
    void flush()
    {
        for (const auto &write : std::exchange(delayedWrites_, {})) {
            (void)write();
        }
    }

private:
    template<class F>
    auto call(F &&effect) -> decltype(effect())
    {
        if (beforeCall) {
            beforeCall();
        }
        if (occurs(0.5)) {
            flush();
        }
        if (occurs(failRate)) {
            return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::NotRun, "refused");
        }
        auto result = effect();
        if (afterEffect) {
            afterEffect();
        }
        return result;
    }
    static absl::Status answerLost()
    {
        return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::MayHaveRun, "answer lost");
    }
    bool occurs(double rate) { return std::uniform_real_distribution<>(0, 1)(rng_) < rate; }

    FakeObjectStore &store_;
    std::mt19937_64 &rng_;
    std::vector<std::function<absl::StatusOr<std::uint64_t>()>> delayedWrites_;
};

static_assert(platform::ObjectStoreLike<FaultyStore>);

} // namespace currantlug::fakes

#endif
