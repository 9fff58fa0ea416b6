#include "report/burnreport.h"

#include <fmt/core.h>

#include <algorithm>

namespace currantlug::report {

namespace {

/// Seconds per slot of each ring; window / slot is the ring's size.
constexpr std::array<std::int64_t, BurnWindows.size()> SlotSeconds{10, 60, 300, 3600};

const WorkspaceId &others()
{
    static const WorkspaceId name("(others)");
    return name;
}

std::int64_t slotNumber(Instant now, std::size_t window)
{
    return absl::ToInt64Seconds(now.sinceOrigin()) / SlotSeconds[window];
}

double burnRate(const BurnFigure &figure, const Objective &objective)
{
    // An objective of 1 allows no error; the floor keeps its burn rate finite and large.
    constexpr double MinBudget = 1e-6;
    const double budget = std::max(1 - objective.availability, MinBudget);
    const auto bad = static_cast<double>(figure.failed + figure.slow);
    return figure.requests == 0 ? 0 : bad / static_cast<double>(figure.requests) / budget;
}

} // namespace

BurnReport::BurnReport(Objective defaultObjective, std::size_t maxWorkspaces)
    : defaultObjective_(defaultObjective)
    , maxWorkspaces_(maxWorkspaces)
{
}

void BurnReport::setObjective(const WorkspaceId &workspace, const Objective &objective)
{
    objectives_[workspace] = objective;
}

Objective BurnReport::objectiveOf(const WorkspaceId &workspace) const
{
    const auto found = objectives_.find(workspace);
    return found == objectives_.end() ? defaultObjective_ : found->second;
}

BurnReport::Counts &BurnReport::countsOf(const WorkspaceId &workspace)
{
    const bool known = counts_.contains(workspace);
    const WorkspaceId &name = known || counts_.size() < maxWorkspaces_ ? workspace : others();
    const auto [found, added] = counts_.try_emplace(name);
    if (added) {
        for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
            found->second.rings[window].resize(
                static_cast<std::size_t>(BurnWindows[window].second / SlotSeconds[window]));
        }
    }
    return found->second;
}

void BurnReport::record(const WorkspaceId &workspace, bool ok, absl::Duration latency, Instant now)
{
    const bool slow = ok && latency > objectiveOf(workspace).latencyTarget;
    Counts &counts = countsOf(workspace);
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        std::vector<Slot> &ring = counts.rings[window];
        const std::int64_t number = slotNumber(now, window);
        Slot &slot = ring[static_cast<std::size_t>(number) % ring.size()];
        if (slot.number != number) {
            slot = {.number = number};
        }
        ++slot.requests;
        slot.failed += ok ? 0 : 1;
        slot.slow += slow ? 1 : 0;
    }
}

std::vector<WorkspaceBurn> BurnReport::figures(Instant now) const
{
    std::vector<WorkspaceBurn> all;
    for (const auto &[workspace, counts] : counts_) {
        WorkspaceBurn burn{.workspace = workspace, .objective = objectiveOf(workspace)};
        for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
            const auto size = static_cast<std::int64_t>(counts.rings[window].size());
            const std::int64_t newest = slotNumber(now, window);
            BurnFigure &figure = burn.windows[window];
            for (const Slot &slot : counts.rings[window]) {
                if (slot.number > newest - size && slot.number <= newest) {
                    figure.requests += slot.requests;
                    figure.failed += slot.failed;
                    figure.slow += slot.slow;
                }
            }
            figure.burnRate = burnRate(figure, burn.objective);
        }
        all.push_back(std::move(burn));
    }
    constexpr std::size_t Hour = 1;
    std::stable_sort(all.begin(), all.end(), [](const WorkspaceBurn &a, const WorkspaceBurn &b) {
        return a.windows[Hour].burnRate > b.windows[Hour].burnRate;
    });
    return all;
}

std::string BurnReport::table(Instant now) const
{
    std::string text = fmt::format("{:<24} {:>10} {:>10}", "workspace", "objective", "target");
    for (const auto &[name, seconds] : BurnWindows) {
        text += fmt::format(" {:>8}", name);
    }
    text += "\n";
    for (const WorkspaceBurn &burn : figures(now)) {
        text += fmt::format("{:<24} {:>9.3f}% {:>8.1f} s", burn.workspace.str(), burn.objective.availability * 100,
                            absl::ToDoubleSeconds(burn.objective.latencyTarget));
        for (const BurnFigure &figure : burn.windows) {
            text += figure.requests == 0 ? fmt::format(" {:>8}", "-") : fmt::format(" {:>8.2f}", figure.burnRate);
        }
        text += "\n";
    }
    return text;
}

Json BurnReport::json(Instant now) const
{
    Json rows = Json::array();
    for (const WorkspaceBurn &burn : figures(now)) {
        Json windows = Json::object();
        for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
            const BurnFigure &figure = burn.windows[window];
            windows[BurnWindows[window].first] = {{"requests", figure.requests},
                                                  {"failed", figure.failed},
                                                  {"slow", figure.slow},
                                                  {"burn_rate", figure.burnRate}};
        }
        rows.push_back({{"workspace", burn.workspace.str()},
                        {"availability", burn.objective.availability},
                        {"latency_target_ms", absl::ToInt64Milliseconds(burn.objective.latencyTarget)},
                        {"windows", std::move(windows)}});
    }
    return {{"workspaces", std::move(rows)}};
}

} // namespace currantlug::report
