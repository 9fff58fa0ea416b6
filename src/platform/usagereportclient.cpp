#include "platform/usagereportclient.h"

#include "platform/guardedcall.h"

namespace currantlug::platform {

UsageReportClient::UsageReportClient(HttpClientSettings settings, std::string sender)
    : http_(guardedSettings(std::move(settings)))
    , sender_(std::move(sender))
{
}

absl::Status UsageReportClient::send(const UsageReport &report, const SocketHook &hook)
{
    const Json body{{"workspace", report.workspace.str()}, {"window", report.window}, {"body", report.body}};
    return postGuarded(http_, "/v1/usage-reports", body, sender_, Step::Usage, hook);
}

} // namespace currantlug::platform
