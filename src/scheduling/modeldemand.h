// Demand of the trainers for the replicas of a service, by model.
//
// Designed for several trainers that submit a job every few seconds and differ several times in the work of a job.
// Demand is the work of a job over the time until its results are due. The rate of submissions doesn't enter: a trainer
// whose steps are late submits less often, and more often while it catches up.
#ifndef CURRANTLUG_SCHEDULING_MODELDEMAND_H
#define CURRANTLUG_SCHEDULING_MODELDEMAND_H

#include "core/instant.h"

#include <absl/time/time.h>

#include <map>
#include <string>

namespace currantlug::scheduling {

struct ModelDemand
{
    ModelDemand(double workRate = 0, double wantedSlots = 0)
        : tokensPerSecond(workRate)
        , items(wantedSlots)
    {
    }

    double tokensPerSecond; ///< Work of a job over the time until its results are due.
    double items; ///< Items of a job, each of which wants a slot; 0 if unknown.

    bool operator==(const ModelDemand &) const = default;
};

using DemandByModel = std::map<std::string, ModelDemand>;

struct DemandMeterSettings
{
    double workSmoothing = 0.5; ///< Weight of the newest job in the mean work and items of a job.
    /// Results are assumed to be due after this time if the route doesn't say.
    absl::Duration defaultDue = absl::Seconds(8);
    absl::Duration ttl = absl::Seconds(30); ///< A model without a job for this time has no demand.
};

/// Measures the demand at the node that runs the jobs.
class DemandMeter
{
public:
    explicit DemandMeter(DemandMeterSettings settings = {})
        : settings_(settings)
    {
    }

    /// A job with this much work in this many items runs here, whose results are due this long after its submission.
    /// Models without a name are not counted.
    void recordJob(const std::string &model, double work, absl::Duration due, Instant now, std::size_t items = 0);
    DemandByModel demand(Instant now) const;

private:
    struct Jobs
    {
        ModelDemand demand; ///< Smoothed over jobs.
        Instant lastAt;
    };

    DemandMeterSettings settings_;
    std::map<std::string, Jobs> jobsByModel_;
};

struct DemandBookSettings
{
    /// The demand that a node reported counts for this time after its last report: its successor needs a few seconds.
    absl::Duration ttl = absl::Seconds(10);
};

/// What all nodes have reported, kept by the controller.
class DemandBook
{
public:
    explicit DemandBook(DemandBookSettings settings = {})
        : settings_(settings)
    {
    }

    void record(const std::string &node, const DemandByModel &demand, Instant now);
    /// Demand by model. Of several reports for a model the largest counts: after a takeover, two nodes report the same
    /// trainer for some seconds.
    DemandByModel demand(Instant now) const;

private:
    struct Report
    {
        DemandByModel demand;
        Instant at;
    };

    DemandBookSettings settings_;
    std::map<std::string, Report> reports_; ///< By node.
};

} // namespace currantlug::scheduling

#endif
