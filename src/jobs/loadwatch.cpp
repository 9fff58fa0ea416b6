// Choice of the replicas to ask for their weight versions.
#include "jobs/loadwatch.h"

namespace currantlug::jobs {

namespace {

constexpr absl::Duration ForgetAfter = absl::Seconds(10);

} // namespace

std::vector<std::string> LoadWatch::replicasToQuery(const serving::ReplicaTable &replicas,
                                                    const serving::ReplicaTable::ItemRequirements &requirements,
                                                    Instant now)
{
    std::vector<std::string> due;
    for (const auto &[id, replica] : replicas.all()) {
        const serving::ReplicaEntry &entry = replica.entry;
        const auto version = entry.weightVersions.find(requirements.model);
        if (entry.service != requirements.service || !replica.acceptsRequests() || replicas.isEvacuated(replica)
            || replica.removeAt <= now || version == entry.weightVersions.end()
            || version->second >= requirements.minVersion) {
            continue;
        }
        if (requirements.plan != nullptr && !requirements.plan->empty()) {
            const auto planned = requirements.plan->find(id);
            if (planned == requirements.plan->end() || planned->second != requirements.model) {
                continue;
            }
        }
        const auto [asked, first] = askedAt_.emplace(id, now);
        if (first || now - asked->second >= settings_.period) {
            asked->second = now;
            due.push_back(id);
        }
    }
    return due;
}

void LoadWatch::expire(Instant now)
{
    std::erase_if(askedAt_, [now](const auto &entry) { return now - entry.second > ForgetAfter; });
}

} // namespace currantlug::jobs
