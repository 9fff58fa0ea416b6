// Regions in which the requests of a route or a workspace may be served, cached and stored.
#ifndef CURRANTLUG_SERVING_REGIONSET_H
#define CURRANTLUG_SERVING_REGIONSET_H

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace currantlug::serving {

class RegionSet
{
public:
    /// All regions.
    RegionSet() = default;
    /// These regions only; none at all if empty.
    explicit RegionSet(std::set<std::string> regions)
        : regions_(std::move(regions))
    {
    }

    bool isUnrestricted() const { return !regions_.has_value(); }
    /// True if no region is allowed.
    bool isNowhere() const { return regions_ && regions_->empty(); }
    /// An unknown region, whose name is empty, is allowed only by an unrestricted set.
    bool allows(std::string_view region) const
    {
        return isUnrestricted() || (!region.empty() && regions_->contains(std::string(region)));
    }
    /// The regions that both sets allow.
    RegionSet intersect(const RegionSet &other) const;
    /// The regions that one of the sets allows.
    RegionSet unite(const RegionSet &other) const;

    bool operator==(const RegionSet &) const = default;

private:
    std::optional<std::set<std::string>> regions_; ///< None for all regions.
};

} // namespace currantlug::serving

#endif
