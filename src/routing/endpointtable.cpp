#include "routing/endpointtable.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace currantlug::routing {

namespace {

// Weight of a new rate observation: slow engines show after a few responses, single short ones do not matter.
constexpr double RateSmoothing = 0.2;

} // namespace

EndpointTable::EndpointTable(EndpointTableSettings settings)
    : settings_(settings)
{
}

EndpointIndex EndpointTable::upsert(const EndpointInfo &info)
{
    if (const auto known = find(info.id)) {
        EndpointState &row = rows_[*known];
        if (row.info.pool != info.pool) {
            std::erase(byPool_[row.info.pool], *known);
            byPool_[info.pool].push_back(*known);
        }
        row.info = info;
        return *known;
    }
    EndpointIndex index = 0;
    if (free_.empty()) {
        index = static_cast<EndpointIndex>(rows_.size());
        rows_.emplace_back();
    } else {
        index = free_.back();
        free_.pop_back();
    }
    rows_[index] = EndpointState{.info = info, .listed = true};
    byId_[info.id] = index;
    byPool_[info.pool].push_back(index);
    return index;
}

void EndpointTable::remove(const EndpointId &id)
{
    const auto known = find(id);
    if (!known) {
        return;
    }
    EndpointState &row = rows_[*known];
    row.listed = false;
    std::erase(byPool_[row.info.pool], *known);
    byId_.erase(id);
    if (row.ownRequests == 0) {
        freeRow(*known);
    }
}

std::optional<EndpointIndex> EndpointTable::find(const EndpointId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<EndpointIndex> &EndpointTable::inPool(const PoolId &pool) const
{
    static const std::vector<EndpointIndex> none;
    const auto found = byPool_.find(pool);
    return found == byPool_.end() ? none : found->second;
}

void EndpointTable::report(const EndpointId &id, const LoadReport &report, Instant now)
{
    const auto known = find(id);
    if (!known) {
        return;
    }
    EndpointState &row = rows_[*known];
    const Instant measuredAt = now - report.age;
    if (row.report && measuredAt < row.reportMeasuredAt) {
        return;
    }
    row.report = report;
    row.reportMeasuredAt = measuredAt;
    row.ownRequestsAtReport = row.ownRequests;
    row.leaving = row.leaving || report.leaving;
}

void EndpointTable::setLeaving(const EndpointId &id)
{
    if (const auto known = find(id)) {
        rows_[*known].leaving = true;
    }
}

void EndpointTable::open(EndpointIndex index, double tokens)
{
    ++rows_[index].ownRequests;
    rows_[index].ownTokens += tokens;
}

void EndpointTable::close(EndpointIndex index, double tokensLeft)
{
    EndpointState &row = rows_[index];
    assert(row.ownRequests > 0);
    --row.ownRequests;
    // Sums of differences leave rounding errors, so the last request resets the sum.
    row.ownTokens = row.ownRequests == 0 ? 0 : std::max(0.0, row.ownTokens - tokensLeft);
    if (row.ownRequests == 0 && !row.listed) {
        freeRow(index);
    }
}

void EndpointTable::progress(EndpointIndex index, double tokens)
{
    rows_[index].ownTokens = std::max(0.0, rows_[index].ownTokens - tokens);
}

void EndpointTable::succeeded(EndpointIndex index)
{
    rows_[index].consecutiveFailures = 0;
}

void EndpointTable::connectionFailed(EndpointIndex index, Instant now)
{
    EndpointState &row = rows_[index];
    ++row.consecutiveFailures;
    if (row.consecutiveFailures >= settings_.failuresToEject) {
        const int doublings = static_cast<int>(std::min(row.consecutiveFailures - settings_.failuresToEject, 10U));
        row.ejectedUntil = now + std::min(settings_.maxEject, std::ldexp(1.0, doublings) * settings_.ejectFor);
    }
}

void EndpointTable::observeRate(EndpointIndex index, double tokensPerSecond)
{
    double &rate = rows_[index].tokensPerSecond;
    rate = rate == 0 ? tokensPerSecond : rate + RateSmoothing * (tokensPerSecond - rate);
}

bool EndpointTable::available(EndpointIndex index, Instant now) const
{
    const EndpointState &row = rows_[index];
    return row.listed && !row.leaving
        && (row.consecutiveFailures < settings_.failuresToEject || row.ejectedUntil <= now);
}

std::uint32_t EndpointTable::othersRequests(EndpointIndex index) const
{
    const EndpointState &row = rows_[index];
    if (!row.report) {
        return 0;
    }
    const std::uint32_t all = row.report->running + row.report->waiting;
    return all > row.ownRequestsAtReport ? all - row.ownRequestsAtReport : 0;
}

void EndpointTable::freeRow(EndpointIndex index)
{
    rows_[index] = EndpointState{};
    free_.push_back(index);
}

} // namespace currantlug::routing
