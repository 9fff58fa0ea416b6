// Client for plain services: one request, one whole answer.
#ifndef CURRANTLUG_ENDPOINTS_SERVICECLIENT_H
#define CURRANTLUG_ENDPOINTS_SERVICECLIENT_H

#include "endpoints/connectionpool.h"

#include <absl/status/statusor.h>

#include <string>
#include <utility>
#include <vector>

namespace currantlug::endpoints {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct ServiceRequest
{
    std::string address; ///< "host:port" of the service.
    std::string method;
    std::string path; ///< With its query, percent-encoded as it is to be sent.
    HeaderList headers; ///< Those outside the allow list are not sent.
    std::string body;
    std::string requestId; ///< Sent as X-Request-Id.
    CallDeadlines deadlines;
    /// For calls that may not be repeated: a service can close a kept connection just as the request is sent, which
    /// would leave the outcome open.
    bool freshConnection = false;
};

struct ServiceAnswer
{
    int status = 0;
    HeaderList headers; ///< Allow-listed ones only.
    std::string body;
};

struct ServiceClientSettings
{
    std::size_t maxRequestBytes = 8 << 20;
    std::size_t maxAnswerBytes = 8 << 20;
};

/// The headers of a caller's request that may go to a service: Accept, Accept-Language, Content-Type, Idempotency-Key,
/// If-Match. If-None-Match is left out because cpp-httplib 0.11 waits for a body after status 304.
bool mayForwardHeader(std::string_view name);

/// The headers of an answer that may go back: Content-Type, Content-Language, Content-Encoding, Cache-Control, ETag,
/// Location, Retry-After.
bool mayReturnHeader(std::string_view name);

/// Thread-safe. Calls block their thread.
class ServiceClient
{
public:
    /// The pool must outlive the client.
    explicit ServiceClient(ConnectionPool &pool, ServiceClientSettings settings = {})
        : pool_(pool)
        , settings_(settings)
    {
    }

    /// Sends the request once and reads the whole answer, whatever its HTTP status. An answer that echoes another
    /// request id is discarded with its connection; after one without an echo the connection is not reused. An answer
    /// with neither Content-Length nor chunks counts as cut, because its end cannot be told from a closed connection.
    /// Errors: kInvalidArgument (not sent), kUnavailable, kDeadlineExceeded, kCancelled, kDataLoss, kResourceExhausted.
    absl::StatusOr<ServiceAnswer> call(const ServiceRequest &request, CancelFlag *cancel = nullptr);

private:
    ConnectionPool &pool_;
    ServiceClientSettings settings_;
};

} // namespace currantlug::endpoints

#endif
