// The platform's object API over HTTP (design section 5.1).
#ifndef CURRANTLUG_PLATFORM_HTTPOBJECTSTORE_H
#define CURRANTLUG_PLATFORM_HTTPOBJECTSTORE_H

#include "platform/httpclient.h"
#include "platform/objectstore.h"

namespace currantlug::platform {

using HttpObjectStoreSettings = HttpClientSettings;

/// Thread-safe; each concurrent call, waiting watches included, uses one connection. Besides the errors of
/// ObjectStoreLike: kInvalidArgument for a request that the store rejects as malformed or too large.
class HttpObjectStore
{
public:
    explicit HttpObjectStore(HttpObjectStoreSettings settings);

    absl::StatusOr<StoredObject> get(std::string_view key);
    /// The new version. An answer of 5xx or 429 to a write leaves its effect unknown.
    absl::StatusOr<std::uint64_t> putIf(std::string_view key, std::uint64_t expectedVersion, std::string value);
    absl::Status removeIf(std::string_view key, std::uint64_t version);
    absl::StatusOr<ObjectList> list(std::string_view prefix);
    /// Waits up to maxWait for changes after the revision; the call timeout is added to that.
    absl::StatusOr<WatchBatch> watch(std::string_view prefix, std::uint64_t afterRevision, absl::Duration maxWait);

    std::size_t idleConnections() const { return http_.idleConnections(); }

private:
    HttpClient http_;
};

static_assert(ObjectStoreLike<HttpObjectStore>);

} // namespace currantlug::platform

#endif
