// Windows of usage.
#include "usage/usagecounter.h"

#include <utility>

namespace currantlug::usage {

UsageFigures &UsageFigures::operator+=(const UsageFigures &other)
{
    requests += other.requests;
    tokens += other.tokens;
    return *this;
}

Json toJson(const UsageByWorkspace &usage)
{
    Json json = Json::object();
    for (const auto &[workspace, figures] : usage) {
        json[workspace.str()] = {{"requests", figures.requests}, {"tokens", figures.tokens}};
    }
    return json;
}

UsageByWorkspace usageFromJson(const Json &json)
{
    UsageByWorkspace usage;
    if (json.is_object()) {
        for (const auto &[name, figures] : json.items()) {
            usage[WorkspaceId(name)] = {fieldOr<std::uint64_t>(figures, "requests", 0),
                                        fieldOr<std::uint64_t>(figures, "tokens", 0)};
        }
    }
    return usage;
}

void UsageCounter::add(const WorkspaceId &workspace, const UsageFigures &figures, std::int64_t wallMs)
{
    open_[windowAt(wallMs)][workspace] += figures;
}

std::vector<UsagePartial> UsageCounter::take()
{
    std::vector<UsagePartial> partials;
    for (auto &[window, usage] : open_) {
        partials.push_back({window, std::move(usage)});
    }
    open_.clear();
    return partials;
}

} // namespace currantlug::usage
