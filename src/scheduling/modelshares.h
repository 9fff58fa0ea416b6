// Decides how many replicas of a service each model gets.
//
// Designed for trainers that compete for the replicas of one service. With equal counts the trainer with the least work
// has replicas to spare while the steps of the others are late. Replicas are shared in proportion to demand, so that
// all trainers wait alike, and each model keeps a floor: demand is only an estimate, and may be missing for a model
// whose host was lost.
#ifndef CURRANTLUG_SCHEDULING_MODELSHARES_H
#define CURRANTLUG_SCHEDULING_MODELSHARES_H

#include "scheduling/modeldemand.h"

#include <map>
#include <string>
#include <vector>

namespace currantlug::scheduling {

/// Number of replicas by model.
using ReplicaCounts = std::map<std::string, int>;

struct ModelSharesSettings
{
    double floorFraction = 0.5; ///< Of an equal share, which every model gets.
    /// Shares are equal until the largest demand is this multiple of the smallest: loads of weights cost more than
    /// trainers gain from shares that differ less.
    double minImbalance = 1.5;
    double imbalanceToKeep = 1.25; ///< Uneven shares are kept down to this multiple.
    /// Counts in force are replaced once a model's count differs by this share of all replicas, and by two at least.
    double hysteresis = 0.06;
};

/// Shares `replicas` among the models in proportion to demand, with a floor for each. The counts sum up to `replicas`.
/// Empty, which stands for equal shares, if the demand of a model is unknown or the largest demand is less than
/// `minImbalance` times the smallest.
ReplicaCounts shareReplicas(int replicas, const std::vector<std::string> &models, const DemandByModel &demand,
                            double floorFraction, double minImbalance);

/// Keeps the shares in force for one service.
class ModelShares
{
public:
    explicit ModelShares(ModelSharesSettings settings = {})
        : settings_(settings)
    {
    }

    /// Updates the counts. Returns true if they changed.
    bool update(int replicas, const std::vector<std::string> &models, const DemandByModel &demand);
    /// Empty while the shares are equal.
    const ReplicaCounts &counts() const { return counts_; }

private:
    ModelSharesSettings settings_;
    ReplicaCounts counts_;
    int replicas_ = 0; ///< Number of replicas that counts_ was computed for.
};

} // namespace currantlug::scheduling

#endif
