// Finds the requests that crash the replicas that run them, so that they aren't sent to one replica after the other.
//
// A request is known by a digest of what it is, since it comes again under other ids and at other nodes. When a replica
// ends, all requests that ran there lose their connections, and each of them is a suspect. A request is refused once
// enough replicas have ended under it, and no bystander explains their ends as well as it does. A response clears it.
#ifndef CURRANTLUG_SERVING_CRASHSUSPECTS_H
#define CURRANTLUG_SERVING_CRASHSUSPECTS_H

#include "serving/replicaport.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::serving {

struct CrashSuspectsSettings
{
    int maxCrashes = 3; ///< A request under which this many replicas have ended is refused.
    /// Of these, the number for which no other suspect is as likely a cause.
    int minSoleCrashes = 2;
    /// A request that lost this many connections isn't sent once more for the same client attempt.
    int maxLossesPerAttempt = 2;
    /// Beyond this number those with the fewest crashes are forgotten first, and of these the oldest one.
    std::size_t maxSuspects = 512;
    /// So many suspects are told to other nodes: those that are refused, then the most recent ones.
    std::size_t maxStatements = 32;
    absl::Duration memory = absl::Minutes(10); ///< A suspect is forgotten this long after its last crash.
    absl::Duration clearedMemory = absl::Seconds(10); ///< Until all nodes have heard that a request was cleared.
    absl::Duration unconfirmedMemory = absl::Seconds(10); ///< For a lost connection whose cause stays unknown.
};

/// Digest of a request: its workspace, host, method, target and body. 128 bits, hexadecimal.
std::string requestDigest(const InboundRequest &request, const std::string &workspace);

/// End of a replica under a request.
struct ReplicaCrash
{
    std::string replica; ///< Incarnation, as text.
    Instant at;
};

/// What nodes tell each other of a suspect.
struct SuspectStatement
{
    std::string digest;
    std::vector<ReplicaCrash> crashes;
    std::optional<Instant> clearedAt; ///< Earlier crashes don't count.
};

class CrashSuspects
{
public:
    explicit CrashSuspects(CrashSuspectsSettings settings)
        : settings_(settings)
    {
    }

    /// Records that a request lost its connection to the replica that may have run it.
    void recordLoss(const std::string &digest, const ReplicaIncarnation &replica, Instant now);
    /// Records that the replica has ended: connections lost there were its crash. Returns the suspects whose crashes
    /// this confirms.
    std::vector<SuspectStatement> recordEnded(const ReplicaIncarnation &replica, Instant now);
    /// Records that the replica lives: connections lost there were no crash.
    void recordAlive(const ReplicaIncarnation &replica);
    /// Records that a replica has answered the request. Returns true if it was a suspect.
    bool recordAnswer(const std::string &digest, Instant now);

    bool empty() const { return suspects_.empty(); }
    std::size_t size() const { return suspects_.size(); }
    /// True if the request must not be sent to any replica.
    bool refuses(const std::string &digest) const;
    /// Replicas that ended under the request, and connections lost whose cause isn't known yet.
    int losses(const std::string &digest) const;
    int crashes(const std::string &digest) const;
    /// False if the request must not be sent once more for the same client attempt.
    bool mayRepeat(const std::string &digest) const { return losses(digest) < settings_.maxLossesPerAttempt; }

    std::vector<SuspectStatement> statements() const;
    void merge(const SuspectStatement &statement);
    void expire(Instant now);

private:
    struct Loss
    {
        Instant at;
        bool ended = false; ///< The replica was found to have ended.
    };
    struct Suspect
    {
        std::map<std::string, Loss> losses; ///< By incarnation of the replica. At most MaxLosses.
        std::optional<Instant> clearedAt;
        bool clearedHere =
            false; ///< Only then other nodes are told: a time that is passed on grows with each transfer.
        Instant lastLossAt = Instant(-absl::InfiniteDuration());
    };

    void addLoss(const std::string &digest, const std::string &replica, const Loss &loss);
    static int crashesOf(const Suspect &suspect);
    /// True if fewer replicas have ended under all other suspects that ran at this one.
    bool isSoleCause(const std::string &digest, int crashes, const std::string &replica) const;

    CrashSuspectsSettings settings_;
    std::map<std::string, Suspect> suspects_; ///< By digest.
};

} // namespace currantlug::serving

#endif
