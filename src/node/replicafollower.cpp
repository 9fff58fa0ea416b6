// Polling of sources and the change to the next one when a source fails.
#include "node/replicafollower.h"

#include "telemetry/log.h"

#include <utility>

namespace currantlug::node {

using telemetry::Level;

void ReplicaFollower::follow(std::vector<std::string> sources, Instant now)
{
    if (sources == sources_) {
        return;
    }
    if (sources_.empty()) {
        lastAnswerAt_ = now;
        pollAt_ = now;
        answered_ = false;
    }
    sources_ = std::move(sources);
    next_ = 0;
}

void ReplicaFollower::poll(Instant now)
{
    if (sources_.empty() || pending_ || now < pollAt_) {
        return;
    }
    pending_ = true;
    pollAt_ = now + settings_.period;
    const std::string source = sources_[next_ % sources_.size()];
    mesh_.call(source, Method, {{"epoch", epoch_}, {"sequence", sequence_}}, settings_.timeout,
               [this, source](const absl::StatusOr<Json> &reply) { onReply(source, reply); });
}

void ReplicaFollower::onReply(const std::string &source, const absl::StatusOr<Json> &reply)
{
    pending_ = false;
    if (sources_.empty()) {
        return; // This node watches the store now.
    }
    const Instant now = net::loopNow();
    if (reply.ok()) {
        handlers_.onConfigRevision(source, fieldOr<std::uint64_t>(*reply, "config", 0));
    }
    if (reply.ok() && reply->is_object() && reply->contains("evacuations") && handlers_.onEvacuations) {
        handlers_.onEvacuations(parseEvacuationView((*reply)["evacuations"]));
    }
    const auto delta = reply.ok() ? parseReplicaDelta(*reply) : std::nullopt;
    if (!delta) {
        telemetry::log(Level::Info, "node", "source_failed",
                       {{"source", source}, {"message", reply.ok() ? "" : std::string(reply.status().message())}});
        // The next source is asked at once, but no more often than the period after all have failed.
        ++next_;
        if (next_ % sources_.size() != 0) {
            pollAt_ = now;
        }
        return;
    }
    epoch_ = delta->epoch;
    sequence_ = delta->sequence;
    lastAnswerAt_ = now;
    answered_ = true;
    handlers_.onDelta(*delta);
}

Json ReplicaFollower::answer(const ReplicaJournal &journal, const Json &body, bool current, bool registryUnstable,
                             std::uint64_t configRevision)
{
    Json answer = Json::object();
    if (current) {
        ReplicaDelta delta =
            journal.changesSince(fieldOr<std::string>(body, "epoch", ""), fieldOr<std::uint64_t>(body, "sequence", 0));
        delta.registryUnstable = registryUnstable;
        answer = toJson(delta);
    }
    answer["config"] = configRevision;
    return answer;
}

} // namespace currantlug::node
