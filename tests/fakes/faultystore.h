// An object store for property tests: each call may fail, lose its answer, take effect late, or be overtaken.
#ifndef CURRANTLUG_TESTS_FAKES_FAULTYSTORE_H
#define CURRANTLUG_TESTS_FAKES_FAULTYSTORE_H

#include "fakes/fakeobjectstore.h"

#include <functional>
#include <random>
#include <vector>

namespace currantlug::fakes {

/// One client's view of a shared FakeObjectStore. Not thread-safe; a seed decides all faults.
class FaultyStore
{
public:
    FaultyStore(FakeObjectStore &store, std::mt19937_64 &random)
        : store_(store)
        , random_(random)
    {
    }

    double failRate = 0; ///< The call fails without effect, and says so.
    double loseRate = 0; ///< The write takes effect and its answer is lost.
    double dropRate = 0; ///< The write has no effect, but the answer does not say so.
    double delayRate = 0; ///< The write takes effect at a later call, its answer is lost.
    std::function<void()> beforeCall; ///< Runs before each call, for example another client.
    std::function<void()> afterEffect; ///< Runs between the effect of a call and its answer.

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
        const auto put = [this, key = std::string(key), version, value] { return store_.putIf(key, version, value); };
        if (chance(delayRate)) {
            late_.emplace_back(put);
            return lost();
        }
        if (chance(dropRate)) {
            return lost();
        }
        const bool lose = chance(loseRate);
        auto result = call(put);
        return lose && result.ok() ? lost() : result;
    }
    absl::Status removeIf(std::string_view key, std::uint64_t version)
    {
        return call([&] { return store_.removeIf(key, version); });
    }

    /// Lets the delayed writes take effect.
    void flush()
    {
        for (const auto &write : std::exchange(late_, {})) {
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
        if (chance(0.5)) {
            flush();
        }
        if (chance(failRate)) {
            return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::NotRun, "refused");
        }
        auto result = effect();
        if (afterEffect) {
            afterEffect();
        }
        return result;
    }
    static absl::Status lost()
    {
        return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::MayHaveRun, "answer lost");
    }
    bool chance(double rate) { return std::uniform_real_distribution<>(0, 1)(random_) < rate; }

    FakeObjectStore &store_;
    std::mt19937_64 &random_;
    std::vector<std::function<absl::StatusOr<std::uint64_t>()>> late_;
};

static_assert(platform::ObjectStoreLike<FaultyStore>);

} // namespace currantlug::fakes

#endif
