// Service-level burn report: how fast each workspace uses up the errors that its objective allows.
#ifndef CURRANTLUG_REPORT_BURNREPORT_H
#define CURRANTLUG_REPORT_BURNREPORT_H

#include "core/ids.h"
#include "core/instant.h"
#include "core/json.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantlug::report {

/// A request is good if it succeeded within the latency target.
struct Objective
{
    double availability = 0.999; ///< Share of good requests, below 1.
    absl::Duration latencyTarget = absl::Seconds(10);
};

/// Windows of the report: short ones show an incident, long ones a slow leak.
constexpr std::array<std::pair<const char *, std::int64_t>, 4> BurnWindows{{
    {"5m", 5 * 60},
    {"1h", 3600},
    {"6h", 6 * 3600},
    {"3d", 3 * 86400},
}};

/// One window of one workspace.
struct BurnFigure
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0; ///< Succeeded, but later than the target.
    double burnRate = 0; ///< Error ratio over the allowed ratio: 1 uses up the budget exactly.
};

struct WorkspaceBurn
{
    WorkspaceId workspace;
    Objective objective;
    std::array<BurnFigure, BurnWindows.size()> windows;
};

/// Counts per workspace in rings of fixed size: 30 slots of 10 s, 60 of 1 min, 72 of 5 min and 72 of 1 h, so a window
/// is exact to one slot. Workspaces beyond the bound are counted together as "(others)". Not thread-safe.
class BurnReport
{
public:
    explicit BurnReport(Objective defaultObjective = {}, std::size_t maxWorkspaces = 1024);

    void setObjective(const WorkspaceId &workspace, const Objective &objective);
    void record(const WorkspaceId &workspace, bool ok, absl::Duration latency, Instant now);
    /// Figures of all workspaces, fastest burning (by the 1 h window) first.
    std::vector<WorkspaceBurn> figures(Instant now) const;
    /// Aligned table for terminals.
    std::string table(Instant now) const;
    /// {"workspaces":[{"workspace","availability","latency_target_ms","windows":{"5m":{"requests","failed","slow",
    /// "burn_rate"},...}}]}
    Json json(Instant now) const;

private:
    struct Slot
    {
        std::int64_t number = -1; ///< Which slot since the origin; an older number means that the slot is empty.
        std::uint64_t requests = 0;
        std::uint64_t failed = 0;
        std::uint64_t slow = 0;
    };
    struct Counts
    {
        std::array<std::vector<Slot>, BurnWindows.size()> rings;
    };

    Counts &countsOf(const WorkspaceId &workspace);
    Objective objectiveOf(const WorkspaceId &workspace) const;

    Objective defaultObjective_;
    std::size_t maxWorkspaces_;
    std::map<WorkspaceId, Objective> objectives_;
    std::map<WorkspaceId, Counts> counts_;
};

} // namespace currantlug::report

#endif
