// Measurement of demand, and the collection of reports.
#include "scheduling/modeldemand.h"

#include <algorithm>

namespace currantlug::scheduling {

void DemandMeter::recordJob(const std::string &model, double work, absl::Duration due, Instant now, std::size_t items)
{
    if (model.empty() || work <= 0) {
        return;
    }
    const bool dueKnown = due > absl::ZeroDuration() && due < absl::InfiniteDuration();
    const double rate = work / absl::ToDoubleSeconds(dueKnown ? due : settings_.defaultDue);
    const auto [found, isNew] = jobsByModel_.try_emplace(model, Jobs{{rate, static_cast<double>(items)}, now});
    Jobs &jobs = found->second;
    if (!isNew) {
        const double weight = settings_.workSmoothing;
        jobs.demand.tokensPerSecond += (rate - jobs.demand.tokensPerSecond) * weight;
        jobs.demand.items += (static_cast<double>(items) - jobs.demand.items) * weight;
        jobs.lastAt = now;
    }
}

DemandByModel DemandMeter::demand(Instant now) const
{
    DemandByModel demand;
    for (const auto &[model, jobs] : jobsByModel_) {
        if (now - jobs.lastAt <= settings_.ttl) {
            demand[model] = jobs.demand;
        }
    }
    return demand;
}

void DemandBook::record(const std::string &node, const DemandByModel &demand, Instant now)
{
    if (!demand.empty()) {
        reports_[node] = {demand, now};
    }
    std::erase_if(reports_, [this, now](const auto &report) { return now - report.second.at > settings_.ttl; });
}

DemandByModel DemandBook::demand(Instant now) const
{
    DemandByModel demand;
    for (const auto &[node, report] : reports_) {
        if (now - report.at > settings_.ttl) {
            continue;
        }
        for (const auto &[model, reported] : report.demand) {
            ModelDemand &largest = demand[model];
            largest.tokensPerSecond = std::max(largest.tokensPerSecond, reported.tokensPerSecond);
            largest.items = std::max(largest.items, reported.items);
        }
    }
    return demand;
}

} // namespace currantlug::scheduling
