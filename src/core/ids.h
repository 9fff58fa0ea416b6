// Typed identifiers. A NamedId is a name from the configuration; it never converts to another kind of name.
#ifndef CURRANTLUG_CORE_IDS_H
#define CURRANTLUG_CORE_IDS_H

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace currantlug {

/// A string identifier of one kind, named by Tag.
template<class Tag>
class NamedId
{
public:
    NamedId() = default;
    explicit NamedId(std::string name)
        : name_(std::move(name))
    {
    }

    /// The name as written in the configuration.
    const std::string &str() const { return name_; }
    bool empty() const { return name_.empty(); }

    friend auto operator<=>(const NamedId &, const NamedId &) = default; // NOLINT(modernize-use-nullptr)

    template<class H>
    friend H AbslHashValue(H state, const NamedId &id)
    {
        return H::combine(std::move(state), id.name_);
    }

private:
    std::string name_;
};

using WorkspaceId = NamedId<struct WorkspaceTag>;
using KeyId = NamedId<struct KeyTag>;
using RouteId = NamedId<struct RouteTag>;
using PoolId = NamedId<struct PoolTag>;
using EndpointId = NamedId<struct EndpointTag>;
using DaemonId = NamedId<struct DaemonTag>;
using ZoneId = NamedId<struct ZoneTag>;
using RegionId = NamedId<struct RegionTag>;
using TrainerId = NamedId<struct TrainerTag>;

} // namespace currantlug

template<class Tag>
struct std::hash<currantlug::NamedId<Tag>>
{
    std::size_t operator()(const currantlug::NamedId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif
