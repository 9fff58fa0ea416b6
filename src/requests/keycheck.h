// The caller's key: where it is found, how it is removed from what goes to an endpoint, and how it is kept out of texts
// that come back.
#ifndef CURRANTLUG_REQUESTS_KEYCHECK_H
#define CURRANTLUG_REQUESTS_KEYCHECK_H

#include "requests/keyredactor.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantlug::requests {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request as the caller sent it.
struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query, still percent-encoded.
    HeaderList headers;
    std::string body;
};

/// Keys shorter than this are refused: their text would be found by chance in ordinary requests.
inline constexpr std::size_t MinKeyBytes = 8;

/// A request whose key has been taken out.
struct KeyedRequest
{
    std::string keyDigest; ///< SHA-256 as 64 hexadecimal digits; empty where the request has no key.
    CallerRequest scrubbed; ///< Without credentials: no Authorization, X-Api-Key, Cookie, key query or key body field.
    KeyRedactor redactor;
};

/// Finds the caller's key in the Authorization header (Bearer, Basic), X-Api-Key, the query fields key, api_key and
/// access_token, cookies of these names, and the body field `keyField` where the route names one; then removes all of
/// these. Errors: kInvalidArgument where the request holds two different keys, where the key's text occurs elsewhere in
/// the path, a header or the body, or where the body is encoded and cannot be searched; kUnauthenticated where the key
/// is malformed. Whether a key is required and in force is decided by the caller of this function.
absl::StatusOr<KeyedRequest> takeKey(CallerRequest request, std::string_view keyField = {});

} // namespace currantlug::requests

#endif
