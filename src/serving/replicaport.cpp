// Writing of the node's own error responses.
#include "serving/replicaport.h"

#include <fmt/format.h>

namespace currantlug::serving {

void rejectRequest(const ResponseSink &sink, int status, std::string_view reason, absl::Duration retryAfter)
{
    net::Headers headers;
    headers.add("Content-Type", "text/plain");
    if (retryAfter > absl::ZeroDuration()) {
        headers.add("Retry-After", fmt::format("{:.2f}", absl::ToDoubleSeconds(retryAfter)));
    }
    sink.respond(status, headers, reason);
}

} // namespace currantlug::serving
