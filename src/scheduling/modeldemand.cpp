// Measurement of demand, and the collection of reports.
#include "scheduling/modeldemand.h"

#include <algorithm>

namespace currantlug::scheduling {

void DemandMeter::recordJob(const std::string &model, double work, absl::Duration due, Instant now)
{
    if (model.empty() || work <= 0) {
        return;
    }
    const bool dueKnown = due > absl::ZeroDuration() && due < absl::InfiniteDuration();
    const double rate = work / absl::ToDoubleSeconds(dueKnown ? due : settings_.defaultDue);
    const auto [found, isNew] = jobsByModel_.try_emplace(model, Jobs{rate, now});
    Jobs &jobs = found->second;
    if (!isNew) {
        jobs.rate = jobs.rate * (1 - settings_.workSmoothing) + rate * settings_.workSmoothing;
        jobs.lastAt = now;
    }
}

DemandByModel DemandMeter::demand(Instant now) const
{
    DemandByModel demand;
    for (const auto &[model, jobs] : jobsByModel_) {
        if (now - jobs.lastAt <= settings_.ttl) {
            demand[model] = jobs.rate;
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
        for (const auto &[model, rate] : report.demand) {
            double &largest = demand[model];
            largest = std::max(largest, rate);
        }
    }
    return demand;
}

} // namespace currantlug::scheduling
