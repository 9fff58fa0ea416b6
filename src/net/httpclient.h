// Event-driven HTTP/1.1 client with a pool of kept connections per peer.
#ifndef CURRANTLUG_NET_HTTPCLIENT_H
#define CURRANTLUG_NET_HTTPCLIENT_H

#include "core/error.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace currantlug::net {

namespace detail {
class ClientConnection;
}

/// What becomes of a body that is being collected while all of them together exceed the client's limit.
enum class OverLimit {
    Fail, ///< The call fails, unless its body is small.
    /// It isn't read on until there is room. The oldest of them goes on all the same, unless unsent answers alone take
    /// more than the limit.
    Wait,
};

struct ClientLimits
{
    absl::Duration connect = absl::Milliseconds(1000);
    absl::Duration total = absl::Seconds(5); ///< From the call to the last byte of the answer.
    absl::Duration silence = absl::InfiniteDuration(); ///< Between two reads of the answer.
    std::uint32_t headBytes = 65536; ///< Of the answer's head, and of each line or trailer within its body.
    /// Of an answer that is collected; the store's answers and those of peers stay below 2 MB. A body that is passed to
    /// onBody is not limited here.
    std::uint64_t bodyBytes = 16 << 20;
    OverLimit overLimit = OverLimit::Fail;
};

/// What a call reports. Exactly one onDone() ends it; none of them is called after cancel().
struct ClientHandlers
{
    /// Status and fields. Returning false gives the answer up: the connection is closed, onDone() isn't called.
    std::function<bool(const HttpResponse &)> onHead;
    /// Body bytes as they arrive. Where it is empty, the body is collected and passed to onDone().
    std::function<void(std::string_view)> onBody;
    /// OK with the answer once it is complete. The error's outcome is NotRun where no byte was sent.
    std::function<void(absl::StatusOr<HttpResponse>)> onDone;
};

using CallId = std::uint64_t;

class HttpClient
{
public:
    explicit HttpClient(Loop &loop)
        : loop_(loop)
    {
    }
    ~HttpClient();

    /// Sends a request to "IP:PORT". Handlers are called from the loop, never from within this function.
    CallId call(const std::string &peer, HttpRequest request, const ClientLimits &limits, ClientHandlers handlers);
    /// Ends a call without a report and closes its connection. Does nothing for a call that has ended.
    void cancel(CallId id);
    /// Stops reading the answer, so that its sender has to wait; resume() goes on. An ended call is ignored.
    void pause(CallId id);
    void resume(CallId id);
    /// Limits the bodies that are being collected at one time, together.
    void setCollectedLimit(std::uint64_t bytes) { collectedLimit_ = bytes; }
    /// Says how many bytes of answers wait for their clients; they count against the limit for bodies with
    /// OverLimit::Wait.
    void setUnsentBytes(std::function<std::uint64_t()> bytes) { unsentBytes_ = std::move(bytes); }
    /// True until the call has ended or was cancelled.
    bool isOpen(CallId id) const { return active_.contains(id); }

    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

private:
    friend class detail::ClientConnection;
    using ConnectionPtr = std::shared_ptr<detail::ClientConnection>;

    ConnectionPtr takeIdle(const std::string &peer);
    void giveBack(const ConnectionPtr &connection);
    void ended(CallId id) { active_.erase(id); }
    /// True if a body with OverLimit::Wait of which this much is collected may be read on.
    bool mayCollect(CallId id, std::uint64_t bytes) const;
    /// Reads on the bodies that have room again, the oldest first.
    void resumeCollecting();
    void scheduleResume();

    Loop &loop_;
    /// A body below this size isn't given up for the sake of others, as answers of the store and of peers are.
    static constexpr std::uint64_t SmallBodyBytes = 2 << 20;

    /// A body with OverLimit::Wait doesn't wait up to this size.
    static constexpr std::uint64_t FreeBodyBytes = 16 << 10;

    CallId lastId_ = 0;
    /// Peers that send without end must not use up the memory of the process.
    std::uint64_t collectedLimit_ = 48 << 20;
    std::uint64_t collectedBytes_ = 0; ///< Of bodies that are being collected.
    std::set<CallId> collecting_; ///< Calls with OverLimit::Wait of whose bodies something is collected.
    std::function<std::uint64_t()> unsentBytes_;
    bool resumeScheduled_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(); ///< Expires with the client, for work on the loop.
    std::uint64_t connectionsOpened_ = 0;
    absl::flat_hash_map<CallId, ConnectionPtr> active_;
    absl::flat_hash_map<std::string, std::vector<ConnectionPtr>> idle_; ///< Most recently used last.
};

} // namespace currantlug::net

#endif
