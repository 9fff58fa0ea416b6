// The registrations of replicas as this node knows them, and their recent changes in numbered order, so that other
// nodes can take them over without reading all of them each time.
#ifndef CURRANTLUG_NODE_REPLICAJOURNAL_H
#define CURRANTLUG_NODE_REPLICAJOURNAL_H

#include "core/instant.h"
#include "core/json.h"
#include "objects/objectport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::node {

/// Changes that one node passes to another.
struct ReplicaDelta
{
    std::string epoch; ///< Incarnation of the source; its sequence numbers mean nothing to another one.
    std::uint64_t sequence = 0; ///< Number of the source's last change.
    /// `changes` are all registrations of the source; what isn't among them is not registered there.
    bool complete = false;
    bool registryUnstable = false; ///< Entries may be missing at the source although their replicas live.
    std::vector<objects::ObjectChange> changes;
};

Json toJson(const ReplicaDelta &delta);
std::optional<ReplicaDelta> parseReplicaDelta(const Json &value);

class ReplicaJournal
{
public:
    explicit ReplicaJournal(std::string epoch)
        : epoch_(std::move(epoch))
    {
    }

    /// Records a change. Returns false if it is older than what is known, also of a replica that was removed: sources
    /// differ in age, and a replica that left must not return because an older source is asked. Returns false as well
    /// for the removal of a replica that isn't known.
    bool record(const objects::ObjectChange &change, Instant now);
    /// Records a removal that was concluded from a complete list. Its revision isn't known, and the source of the list
    /// may be behind, so the same registration is accepted again.
    void recordMissing(const std::string &name, Instant now);
    void expire(Instant now);

    const std::map<std::string, objects::StoredObject> &objects() const { return objects_; }

    /// Changes after `sequence` of `epoch`; all registrations and recent removals if that point isn't known here.
    ReplicaDelta changesSince(const std::string &epoch, std::uint64_t sequence) const;

private:
    struct Removal
    {
        std::uint64_t revision = 0;
        Instant at;
    };
    struct Entry
    {
        std::uint64_t sequence = 0;
        std::string name;
    };

    void append(const std::string &name);

    std::string epoch_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, objects::StoredObject> objects_; ///< By name.
    std::map<std::string, Removal> removals_; ///< By name; kept for a while after the removal.
    std::deque<Entry> recent_; ///< The last changes, with consecutive sequence numbers up to sequence_.
};

} // namespace currantlug::node

#endif
