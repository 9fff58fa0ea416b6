// Comparison of views of the evacuated zones.
#include "serving/evacuations.h"

#include <algorithm>
#include <utility>

namespace currantlug::serving {

std::vector<EvacuationChange> Evacuations::merge(const EvacuationView &view, Instant now)
{
    if (view.revision <= view_.revision) {
        return {};
    }
    const EvacuationView previous = std::exchange(view_, {view.revision, view.zones, view_.ended});
    std::map<std::string, std::uint64_t> ended;
    for (const auto &[zone, revision] : view.ended) {
        if (revision > previous.revision) {
            ended[zone] = revision;
        }
    }
    for (const std::string &zone : previous.zones) {
        if (!view.zones.contains(zone)) {
            ended.try_emplace(zone, view.revision);
        }
    }
    std::vector<EvacuationChange> changes;
    for (const auto &[zone, revision] : ended) {
        view_.ended[zone] = revision;
        endSeenAt_[zone] = now;
        if (!view.zones.contains(zone)) {
            changes.push_back({zone, false});
        }
    }
    for (const std::string &zone : view.zones) {
        if (!previous.zones.contains(zone)) {
            changes.push_back({zone, true});
        }
    }
    return changes;
}

void Evacuations::expire(Instant now)
{
    std::erase_if(endSeenAt_, [now](const auto &entry) { return now - entry.second > EndedTtl; });
    std::erase_if(view_.ended, [this](const auto &entry) { return !endSeenAt_.contains(entry.first); });
}

} // namespace currantlug::serving
