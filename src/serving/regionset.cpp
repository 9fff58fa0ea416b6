// Set operations on regions.
#include "serving/regionset.h"

#include <algorithm>
#include <iterator>

namespace currantlug::serving {

RegionSet RegionSet::intersect(const RegionSet &other) const
{
    if (isUnrestricted() || other.isUnrestricted()) {
        return isUnrestricted() ? other : *this;
    }
    std::set<std::string> both;
    std::set_intersection(regions_->begin(), regions_->end(), other.regions_->begin(), other.regions_->end(),
                          std::inserter(both, both.end()));
    return RegionSet(std::move(both));
}

RegionSet RegionSet::unite(const RegionSet &other) const
{
    if (isUnrestricted() || other.isUnrestricted()) {
        return {};
    }
    std::set<std::string> either = *regions_;
    either.insert(other.regions_->begin(), other.regions_->end());
    return RegionSet(std::move(either));
}

} // namespace currantlug::serving
