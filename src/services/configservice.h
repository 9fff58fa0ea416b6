// Keeps the configuration in force: reads it as a relay or pulls it from one, decides whether this daemon may serve,
// and files tickets.
#ifndef CURRANTLUG_SERVICES_CONFIGSERVICE_H
#define CURRANTLUG_SERVICES_CONFIGSERVICE_H

#include "config/configreader.h"
#include "config/freshness.h"
#include "config/ticketfiler.h"
#include "config/tickethistory.h"
#include "services/memberservice.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace currantlug::services {

struct ConfigServiceSettings
{
    config::FreshnessSettings freshness;
    absl::Duration pullInterval = absl::Seconds(1);
    absl::Duration pullTimeout = absl::Seconds(1);
    absl::Duration attestInterval = absl::Milliseconds(500);
    absl::Duration attestTimeout = absl::Seconds(1);
    absl::Duration retryPause = absl::Milliseconds(300); ///< After a failed store call of a relay.
    config::TicketFilerSettings filer;
};

/// Thread-safe. start() and stop() are called from one thread.
class ConfigService
{
public:
    using OnState = std::function<void(const std::shared_ptr<const config::ConfigState> &)>;
    using OnServing = std::function<void(config::Serving)>;

    /// All must outlive the service. Call registerHandlers() before the mesh starts.
    ConfigService(DaemonId self, mesh::Mesh &mesh, MemberService &members, platform::HttpObjectStore &store,
                  ConfigServiceSettings settings);
    ~ConfigService();

    void registerHandlers();
    /// Called in ticket order, never concurrently. Set both before start().
    void setOnState(OnState onState) { onState_ = std::move(onState); }
    void setOnServing(OnServing onServing) { onServing_ = std::move(onServing); }

    void start();
    void stop();

    std::shared_ptr<const config::ConfigState> current() const;
    config::Serving serving() const;
    absl::Duration age() const;

    /// Files a ticket and waits until it is in force, or says what is certain.
    config::FilingResult file(const config::Ticket &ticket);
    /// Problems of a ticket against the state held here.
    config::Problems validate(const config::Ticket &ticket) const;

    absl::StatusOr<std::shared_ptr<const config::ConfigState>> stateAt(std::uint64_t number);
    absl::StatusOr<std::uint64_t> numberAt(std::int64_t wallMs) const;
    absl::StatusOr<config::Ticket> ticket(std::uint64_t number);
    std::vector<config::InForceRecord> inForceRecords() const;

    /// Reads the head and the tickets up to it from the store. For MemberService.
    bool readHead();
    /// Holds at least this head, or pulls it from the daemon that named it. For MemberService.
    bool catchUp(const DaemonId &from, std::uint64_t head);

    /// Passes a new member list on to the freshness decision.
    void applyMembers(const MemberSnapshot &members);

private:
    Json handlePull(const Json &body);
    Json handlePush(const mesh::PeerInfo &from, const Json &body);
    Json handleAttest();

    void runReader();
    bool readStore();
    bool pullFromAny();
    absl::Status pullFrom(const DaemonId &id);
    void takePulled(const Json &answer, Instant sentAt);
    void runAttester();
    void attestOnce();
    void watchServing();

    void applyUpdate(const config::ConfigUpdate &update);
    void applyTickets(const std::vector<config::Ticket> &tickets);
    void announce();
    bool waitFor(absl::Duration duration);

    DaemonId self_;
    mesh::Mesh &mesh_;
    MemberService &members_;
    platform::HttpObjectStore &store_;
    ConfigServiceSettings settings_;
    OnState onState_;
    OnServing onServing_;

    config::ConfigReader<platform::HttpObjectStore> reader_; ///< Used by the reader thread only.

    mutable std::mutex mutex_; ///< Guards history_ and freshness_.
    config::TicketHistory history_;
    config::FreshnessTracker freshness_;

    std::mutex announceMutex_; ///< Held while onState_ runs, so that states are announced in order.
    std::uint64_t announced_ = 0;
    config::Serving lastServing_ = config::Serving::Isolated;

    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace currantlug::services

#endif
