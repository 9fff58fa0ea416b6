// Numbering of changes and the JSON form of a delta.
#include "node/replicajournal.h"

#include "node/relayedstore.h"

#include <set>

namespace currantlug::node {

namespace {

constexpr std::size_t MaxRecentChanges = 1024; // A node that is further behind reads all registrations.
// Removals are remembered for longer than any source may be behind: a node that is behind by more isn't in contact.
constexpr absl::Duration RemovalMemory = absl::Seconds(60);

} // namespace

Json toJson(const ReplicaDelta &delta)
{
    Json objects = Json::array();
    Json removed = Json::array();
    for (const objects::ObjectChange &change : delta.changes) {
        if (change.removed) {
            removed.push_back({change.object.name, change.object.revision});
        } else {
            objects.push_back(encodeObject(change.object));
        }
    }
    return {{"epoch", delta.epoch},          {"sequence", delta.sequence},
            {"complete", delta.complete},    {"unstable", delta.registryUnstable},
            {"objects", std::move(objects)}, {"removed", std::move(removed)}};
}

std::optional<ReplicaDelta> parseReplicaDelta(const Json &value)
{
    if (!value.is_object() || !value.contains("epoch") || !fieldOrNull(value, "objects").is_array()
        || !fieldOrNull(value, "removed").is_array()) {
        return std::nullopt;
    }
    ReplicaDelta delta;
    delta.epoch = fieldOr<std::string>(value, "epoch", "");
    delta.sequence = fieldOr<std::uint64_t>(value, "sequence", 0);
    delta.complete = fieldOr<bool>(value, "complete", false);
    delta.registryUnstable = fieldOr<bool>(value, "unstable", false);
    for (const Json &entry : value["objects"]) {
        delta.changes.push_back({decodeObject(entry), false});
    }
    for (const Json &entry : value["removed"]) {
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() || !entry[1].is_number_unsigned()) {
            return std::nullopt;
        }
        objects::StoredObject object;
        object.name = entry[0].get<std::string>();
        object.revision = entry[1].get<std::uint64_t>();
        delta.changes.push_back({std::move(object), true});
    }
    return delta;
}

void ReplicaJournal::append(const std::string &name)
{
    recent_.push_back({++sequence_, name});
    if (recent_.size() > MaxRecentChanges) {
        recent_.pop_front();
    }
}

bool ReplicaJournal::record(const objects::ObjectChange &change, Instant now)
{
    const std::string &name = change.object.name;
    const auto stored = objects_.find(name);
    if (stored != objects_.end()
        && (stored->second.revision > change.object.revision
            || (!change.removed && stored->second.revision == change.object.revision))) {
        return false;
    }
    const auto removal = removals_.find(name);
    if (removal != removals_.end() && removal->second.revision >= change.object.revision) {
        return false;
    }
    if (change.removed) {
        const bool wasRegistered = stored != objects_.end();
        if (wasRegistered) {
            objects_.erase(stored);
        }
        removals_[name] = {change.object.revision, now};
        // Also without the registration here: a follower may still have it from before a complete list dropped it.
        append(name);
        return wasRegistered;
    }
    objects_[name] = change.object;
    removals_.erase(name);
    append(name);
    return true;
}

void ReplicaJournal::recordMissing(const std::string &name, Instant now)
{
    const auto stored = objects_.find(name);
    if (stored == objects_.end()) {
        return;
    }
    removals_[name] = {stored->second.revision - 1, now};
    objects_.erase(stored);
    append(name);
}

void ReplicaJournal::expire(Instant now)
{
    std::erase_if(removals_, [now](const auto &entry) { return now - entry.second.at > RemovalMemory; });
}

ReplicaDelta ReplicaJournal::changesSince(const std::string &epoch, std::uint64_t sequence) const
{
    ReplicaDelta delta;
    delta.epoch = epoch_;
    delta.sequence = sequence_;
    const std::uint64_t oldest = sequence_ - recent_.size();
    delta.complete = epoch != epoch_ || sequence < oldest || sequence > sequence_;
    if (delta.complete) {
        for (const auto &[name, object] : objects_) {
            delta.changes.push_back({object, false});
        }
        for (const auto &[name, removal] : removals_) {
            delta.changes.push_back({{name, removal.revision, {}, {}}, true});
        }
        return delta;
    }
    std::set<std::string> changed;
    for (auto entry = recent_.rbegin(); entry != recent_.rend() && entry->sequence > sequence; ++entry) {
        changed.insert(entry->name);
    }
    for (const std::string &name : changed) {
        if (const auto stored = objects_.find(name); stored != objects_.end()) {
            delta.changes.push_back({stored->second, false});
        } else if (const auto removal = removals_.find(name); removal != removals_.end()) {
            delta.changes.push_back({{name, removal->second.revision, {}, {}}, true});
        }
    }
    return delta;
}

} // namespace currantlug::node
