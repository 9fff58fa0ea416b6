// Which of the watched daemons are suspected or dead, judged from the instants at which they were last heard.
#ifndef CURRANTLUG_MEMBERSHIP_LIVENESS_H
#define CURRANTLUG_MEMBERSHIP_LIVENESS_H

#include "core/ids.h"
#include "core/instant.h"
#include "membership/memberlist.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::membership {

/// Daemons that this daemon takes for unreachable.
using Suspects = absl::flat_hash_set<DaemonId>;

struct LivenessSettings
{
    absl::Duration suspectAfter = absl::Seconds(3);
    absl::Duration removeAfter = absl::Seconds(30); ///< Counted from the last sign of life.
};

/// A daemon to remove from the member list.
struct DeadMember
{
    DaemonId id;
    std::string incarnation;
};

/// Not thread-safe.
class Liveness
{
public:
    explicit Liveness(LivenessSettings settings);

    /// Replaces the watched daemons (without this daemon itself). A daemon or incarnation that is new here is given
    /// suspectAfter from now to be heard.
    void watch(const std::vector<Member> &members, Instant now);

    /// Records a sign of life. Older instants than the one known are ignored.
    void heard(const DaemonId &id, Instant at);

    /// Judges all watched daemons. Call it at least once per suspectAfter: after a longer gap this process was itself
    /// paused, its silence proves nothing, and every daemon is given suspectAfter again.
    void update(Instant now);

    /// As of the last update().
    const Suspects &suspects() const { return suspects_; }
    std::vector<DeadMember> dead() const;

private:
    struct Watched
    {
        std::string incarnation;
        Instant lastSign; ///< Last heard, or begin of the watch.
    };

    LivenessSettings settings_;
    std::map<DaemonId, Watched> watched_;
    Suspects suspects_;
    std::vector<DeadMember> dead_;
    std::optional<Instant> lastUpdate_;
};

} // namespace currantlug::membership

#endif
