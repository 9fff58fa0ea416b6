// The platform's object API as the rest of the system sees it: versioned objects, conditional updates and watches.
#ifndef CURRANTLUG_PLATFORM_OBJECTSTORE_H
#define CURRANTLUG_PLATFORM_OBJECTSTORE_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::platform {

/// The expected version that makes putIf create an object, and fail if there is one.
inline constexpr std::uint64_t CreateOnly = 0;

struct StoredObject
{
    std::string key;
    std::uint64_t version = 0; ///< Grows with each write of this key.
    std::string value;
};

struct ObjectList
{
    std::uint64_t revision = 0; ///< Store-wide; pass it to watch() to see all later changes.
    std::vector<StoredObject> objects;
};

struct ObjectEvent
{
    StoredObject object;
    bool deleted = false;
};

struct WatchBatch
{
    std::uint64_t revision = 0;
    std::vector<ObjectEvent> events; ///< Empty when maxWait passed without a change.
};

/// Errors: kNotFound; kAborted for a version mismatch, certainly without effect; kOutOfRange from watch when the
/// revision is compacted; kUnavailable with Outcome::NotRun where nothing was sent and Outcome::MayHaveRun where the
/// effect of a write is unknown. After the latter, read back and compare a nonce in the value.
template<class T>
concept ObjectStoreLike = requires(T store, std::string_view key, std::uint64_t version, std::string value,
                                   absl::Duration maxWait)
{
    {
        store.get(key)
        } -> std::same_as<absl::StatusOr<StoredObject>>;
    {
        store.putIf(key, version, value)
        } -> std::same_as<absl::StatusOr<std::uint64_t>>;
    {
        store.removeIf(key, version)
        } -> std::same_as<absl::Status>;
    {
        store.list(key)
        } -> std::same_as<absl::StatusOr<ObjectList>>;
    {
        store.watch(key, version, maxWait)
        } -> std::same_as<absl::StatusOr<WatchBatch>>;
};

} // namespace currantlug::platform

#endif
