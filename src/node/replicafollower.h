// Takes the registrations of replicas from peers that watch the object store, by polling the first source that answers.
#ifndef CURRANTLUG_NODE_REPLICAFOLLOWER_H
#define CURRANTLUG_NODE_REPLICAFOLLOWER_H

#include "node/peermesh.h"
#include "node/replicajournal.h"

#include <functional>
#include <string>
#include <vector>

namespace currantlug::node {

struct ReplicaFollowerSettings
{
    /// Between two polls. Together with the batch delay of the source's watch it stays below the time in which the
    /// removal of a replica must be noticed.
    absl::Duration period = absl::Milliseconds(500);
    absl::Duration timeout = absl::Milliseconds(400); ///< Several round trips between the zones of a region.
};

struct ReplicaFollowerHandlers
{
    std::function<void(const ReplicaDelta &)> onDelta;
    /// Receives the revision of a source's configuration with each answer, 0 if the source has none.
    std::function<void(const std::string &source, std::uint64_t revision)> onConfigRevision;
    /// Receives the evacuated zones that a source knows. May be empty.
    std::function<void(const serving::EvacuationView &)> onEvacuations = {};
};

class ReplicaFollower
{
public:
    static constexpr const char *Method = "node/replicas";

    ReplicaFollower(PeerMesh &mesh, ReplicaFollowerSettings settings, ReplicaFollowerHandlers handlers)
        : mesh_(mesh)
        , settings_(settings)
        , handlers_(std::move(handlers))
    {
    }

    /// Sets the sources, best first. An empty list ends the polling.
    void follow(std::vector<std::string> sources, Instant now);
    bool following() const { return !sources_.empty(); }
    /// Polls a source if one is due. Must be called several times a second.
    void poll(Instant now);
    /// True if a source has answered since the polling began.
    bool answered() const { return answered_; }
    /// Time since the last usable answer, or since the polling began.
    absl::Duration silence(Instant now) const { return now - lastAnswerAt_; }

    /// Answer of a source to a poll. `body` has the epoch and the sequence number of the last change that the follower
    /// knows. If the source isn't `current`, the answer has no replicas, which the follower takes for a failure.
    static Json answer(const ReplicaJournal &journal, const Json &body, bool current, bool registryUnstable,
                       std::uint64_t configRevision);

private:
    void onReply(const std::string &source, const absl::StatusOr<Json> &reply);

    PeerMesh &mesh_;
    ReplicaFollowerSettings settings_;
    ReplicaFollowerHandlers handlers_;
    std::vector<std::string> sources_;
    std::size_t next_ = 0; ///< Index of the source that is polled next.
    std::string epoch_; ///< Of the source that sent the last change.
    std::uint64_t sequence_ = 0;
    bool pending_ = false;
    bool answered_ = false;
    Instant pollAt_;
    Instant lastAnswerAt_;
};

} // namespace currantlug::node

#endif
