// Requests and tokens per workspace, for operators, metrics and usage windows.
#ifndef CURRANTLUG_SERVICES_CALLSTATISTICS_H
#define CURRANTLUG_SERVICES_CALLSTATISTICS_H

#include "config/configstate.h"
#include "core/json.h"
#include "report/burnreport.h"
#include "services/completionservice.h"
#include "telemetry/metrics.h"

#include <map>
#include <mutex>

namespace currantlug::services {

/// Thread-safe.
class CallStatistics
{
public:
    explicit CallStatistics(telemetry::MetricsRegistry &metrics)
        : metrics_(metrics)
    {
    }

    void record(const CompletionRecord &record);

    /// The service-level-burn report; "text" holds it as a table.
    Json burn() const;

    /// {"workspaces":[{"name","weight","keys","routes","requests","tokens"}]}
    Json workspaces(const config::ConfigState &state) const;

private:
    struct Totals
    {
        std::uint64_t requests = 0;
        std::uint64_t failed = 0;
        std::uint64_t tokens = 0;
    };

    telemetry::MetricsRegistry &metrics_;
    mutable std::mutex mutex_;
    std::map<WorkspaceId, Totals> totals_;
    report::BurnReport burn_;
};

} // namespace currantlug::services

#endif
