// Writes this daemon's usage to the store, and reports windows to the platform while it holds the lease for that.
#ifndef CURRANTLUG_SERVICES_USAGESERVICE_H
#define CURRANTLUG_SERVICES_USAGESERVICE_H

#include "lease/leasekeeper.h"
#include "platform/httpobjectstore.h"
#include "platform/usagereportclient.h"
#include "usage/usageledger.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace currantlug::services {

struct UsageServiceSettings
{
    absl::Duration window = absl::Minutes(5);
    absl::Duration grace = absl::Seconds(30);
    /// A killed daemon loses what it counted since its last flush. 390 daemons write 13 partials a second.
    absl::Duration flushEvery = absl::Seconds(30);
    absl::Duration tick = absl::Seconds(1);
    lease::LeaseSettings lease;
    std::function<bool()> candidate; ///< Whether this daemon should compete for the lease.
};

/// Thread-safe. start() and stop() are called from one thread.
class UsageService
{
public:
    /// The store must outlive the service. `incarnation` makes the names of this process's partials unique.
    UsageService(const DaemonId &self, const std::string &incarnation, platform::HttpObjectStore &store,
                 platform::HttpClientSettings reportClient, UsageServiceSettings settings);
    ~UsageService();

    void count(const WorkspaceId &workspace, const usage::UsageFigures &figures);

    void start();
    /// Writes what is left and gives the lease up.
    void stop();

    bool holdsLease() const { return keeper_.holds(); }

private:
    void run();
    void flush();
    void reportNext();
    absl::Status sendReports(const usage::FrozenWindow &frozen);

    UsageServiceSettings settings_;
    std::string name_; ///< Daemon and incarnation, for partials.
    lease::LeaseKeeper<platform::HttpObjectStore> keeper_;
    usage::UsageLedger<platform::HttpObjectStore> ledger_; ///< Used by the thread only.
    platform::UsageReportClient reports_; ///< Used by the thread only.

    std::mutex mutex_; ///< Guards counter_.
    usage::UsageCounter counter_;
    std::vector<std::pair<usage::UsagePartial, std::string>> unwritten_; ///< With names; used by the thread only.
    std::uint64_t nextPartial_ = 1;

    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace currantlug::services

#endif
