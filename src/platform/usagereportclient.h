// Usage reports, one per workspace and window.
#ifndef CURRANTLUG_PLATFORM_USAGEREPORTCLIENT_H
#define CURRANTLUG_PLATFORM_USAGEREPORTCLIENT_H

#include "core/ids.h"
#include "platform/httpclient.h"

namespace currantlug::platform {

struct UsageReport
{
    WorkspaceId workspace;
    std::string window; ///< Name of the usage window, the same in every retry.
    std::string body; ///< The frozen bytes.
};

/// Every report travels on a connection of its own. Not thread-safe: one object per lease holder's thread.
class UsageReportClient
{
public:
    /// `sender` goes out as the X-Sender header, which the platform records. A zero TCP_USER_TIMEOUT becomes 2 s.
    UsageReportClient(HttpClientSettings settings, std::string sender);

    /// Errors: kInvalidArgument for a rejected report, kUnavailable with NotRun or MayHaveRun.
    absl::Status send(const UsageReport &report, const SocketHook &hook = {});

private:
    HttpClient http_;
    std::string sender_;
};

} // namespace currantlug::platform

#endif
