// Chooses the nodes that run jobs.
//
// Designed for fleets whose nodes differ several times in processor time, and for trainers that submit a job of some
// hundred streamed items every few seconds to any node. A node with a tenth of a core can't follow the events of
// several hundred streams. All jobs of a model go to the same node: it knows every item in flight at the replicas of
// that model, and has the texts of the earlier jobs. The choice is made from what each node knows of its peers. Nodes
// whose views differ choose differently for a moment, which is harmless: whoever creates the record of a job owns it.
#ifndef CURRANTLUG_JOBS_JOBPLACEMENT_H
#define CURRANTLUG_JOBS_JOBPLACEMENT_H

#include "serving/regionset.h"

#include <string>
#include <string_view>
#include <vector>

namespace currantlug::jobs {

/// A node that runs jobs.
struct JobHost
{
    std::string node;
    double processorShare = 0; ///< Processor time of the node, in cores; 0 if it isn't known.
    bool acceptsJobs = true; ///< False for a node that has no configuration or doesn't reach the object store.
    std::string region = {};
};

/// The hosts in the given regions: only they may be sent the bodies of a job.
std::vector<JobHost> hostsIn(const serving::RegionSet &regions, std::vector<JobHost> hosts);

/// Returns the node that runs the jobs of `model`: one of the hosts that accept jobs, with the largest processor share.
/// `models` are all models in the configuration; different models get different nodes while there are enough. Empty if
/// no host accepts jobs.
std::string chooseJobHost(std::string_view model, std::vector<std::string> models, const std::vector<JobHost> &hosts);

/// Returns the hosts in the order in which they take over the jobs of a lost node: the largest processor share first,
/// and hosts of the same share in an order that depends on the lost node.
std::vector<std::string> successorsOf(std::string_view lostNode, const std::vector<JobHost> &hosts);

} // namespace currantlug::jobs

#endif
