// Usage of this daemon, counted per workspace and window.
#ifndef CURRANTLUG_USAGE_USAGECOUNTER_H
#define CURRANTLUG_USAGE_USAGECOUNTER_H

#include "core/ids.h"
#include "core/json.h"

#include <cstdint>
#include <map>
#include <vector>

namespace currantlug::usage {

/// Number of a window: wall time divided by the window's length. Windows follow each other without gaps.
using WindowNumber = std::int64_t;

struct UsageFigures
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;

    UsageFigures &operator+=(const UsageFigures &other);
    friend bool operator==(const UsageFigures &, const UsageFigures &) = default;
};

using UsageByWorkspace = std::map<WorkspaceId, UsageFigures>;

Json toJson(const UsageByWorkspace &usage);
UsageByWorkspace usageFromJson(const Json &json);

/// What one daemon counted in one window.
struct UsagePartial
{
    WindowNumber window = 0;
    UsageByWorkspace usage;
};

/// Pure; not thread-safe. Figures are handed out several times per window and added up later, so that a daemon that is
/// killed loses only what it counted since the last time.
class UsageCounter
{
public:
    explicit UsageCounter(std::int64_t windowMs)
        : windowMs_(windowMs)
    {
    }

    WindowNumber windowAt(std::int64_t wallMs) const { return wallMs / windowMs_; }

    void add(const WorkspaceId &workspace, const UsageFigures &figures, std::int64_t wallMs);

    /// Everything counted since the last call, oldest window first.
    std::vector<UsagePartial> take();

private:
    std::int64_t windowMs_;
    std::map<WindowNumber, UsageByWorkspace> open_;
};

} // namespace currantlug::usage

#endif
