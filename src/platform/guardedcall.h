// A POST that is sent under a lease: a connection of its own, a socket hook, and the sender's name.
#ifndef CURRANTLUG_PLATFORM_GUARDEDCALL_H
#define CURRANTLUG_PLATFORM_GUARDEDCALL_H

#include "core/json.h"
#include "platform/httpclient.h"

namespace currantlug::platform {

/// Settings for guarded calls: no pool, and a TCP_USER_TIMEOUT of 2 s where none is set, because a lease successor's
/// wait allows 2 s for bytes already in the kernel.
HttpClientSettings guardedSettings(HttpClientSettings settings);

/// Errors: kFailedPrecondition for 409, kInvalidArgument for other 4xx, kUnavailable otherwise.
absl::Status postGuarded(HttpClient &http, std::string_view target, const Json &body, std::string_view sender,
                         Step step, const SocketHook &hook);

} // namespace currantlug::platform

#endif
