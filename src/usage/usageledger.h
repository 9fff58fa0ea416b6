// Usage windows in the object store: partial figures of daemons, frozen figures, and which windows were reported.
//
// A window's figures are frozen by one create-if-absent before anything is reported, so that every report of the
// window, by whichever process, sends the same bytes.
#ifndef CURRANTLUG_USAGE_USAGELEDGER_H
#define CURRANTLUG_USAGE_USAGELEDGER_H

#include "core/error.h"
#include "platform/objectstore.h"
#include "usage/usagecounter.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantlug::usage {

/// The final figures of a window.
struct FrozenWindow
{
    WindowNumber window = 0;
    UsageByWorkspace usage;
    std::vector<std::string> partials; ///< Names of the partial objects that are counted in.

    std::string encode() const;
    static std::optional<FrozenWindow> decode(std::string_view text);
};

std::string partialKey(WindowNumber window, std::string_view daemonIncarnation);
std::string frozenKey(WindowNumber window);

/// One report for the platform: `body` is derived from the frozen bytes alone.
struct WindowReport
{
    WorkspaceId workspace;
    std::string window;
    std::string body;
};

std::vector<WindowReport> reportsOf(const FrozenWindow &frozen);

/// Used by one thread. Errors are those of the store; a call may be repeated after any error.
template<platform::ObjectStoreLike Store>
class UsageLedger
{
public:
    explicit UsageLedger(Store &store)
        : store_(store)
    {
    }

    /// Stores what one daemon incarnation counted. The name is unique, so a repeated write finds its own object.
    absl::Status writePartial(const UsagePartial &partial, std::string_view daemonIncarnation)
    {
        const auto written = store_.putIf(partialKey(partial.window, daemonIncarnation), platform::CreateOnly,
                                          toJson(partial.usage).dump());
        const bool exists = written.status().code() == absl::StatusCode::kAborted;
        return written.ok() || exists ? absl::OkStatus() : written.status();
    }

    /// The window to freeze and report next. The first call ever begins with `current`.
    absl::StatusOr<WindowNumber> nextWindow(WindowNumber current);

    /// Freezes the window with all partials that no earlier window counted, its own and late ones of earlier windows.
    /// Returns the frozen figures, which may be another process's.
    absl::StatusOr<FrozenWindow> freeze(WindowNumber window);

    /// Marks the window as reported and removes the partials that it counted.
    absl::Status markReported(const FrozenWindow &frozen);

private:
    static constexpr const char *PositionKey = "usage/position";
    static constexpr const char *PartialPrefix = "usage/partials/";

    absl::StatusOr<std::optional<FrozenWindow>> readFrozen(WindowNumber window);

    Store &store_;
};

template<platform::ObjectStoreLike Store>
absl::StatusOr<WindowNumber> UsageLedger<Store>::nextWindow(WindowNumber current)
{
    auto position = store_.get(PositionKey);
    if (position.status().code() == absl::StatusCode::kNotFound) {
        store_.putIf(PositionKey, platform::CreateOnly, Json{{"next", current}}.dump()).status().IgnoreError();
        position = store_.get(PositionKey);
    }
    if (!position.ok()) {
        return position.status();
    }
    return fieldOr<std::int64_t>(parseJson(position->value).value_or(Json()), "next", current);
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<std::optional<FrozenWindow>> UsageLedger<Store>::readFrozen(WindowNumber window)
{
    const auto stored = store_.get(frozenKey(window));
    if (stored.status().code() == absl::StatusCode::kNotFound) {
        return std::optional<FrozenWindow>();
    }
    if (!stored.ok()) {
        return stored.status();
    }
    std::optional<FrozenWindow> frozen = FrozenWindow::decode(stored->value);
    if (!frozen) {
        return makeError(absl::StatusCode::kDataLoss, Step::Usage, frozenKey(window), Outcome::Ran,
                         "the frozen window cannot be read");
    }
    return frozen;
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<FrozenWindow> UsageLedger<Store>::freeze(WindowNumber window)
{
    // The list comes before the reads of frozen windows: a partial that another process counts and removes in between
    // is then found in what that process froze.
    const auto listed = store_.list(PartialPrefix);
    if (!listed.ok()) {
        return listed.status();
    }
    auto existing = readFrozen(window);
    if (!existing.ok()) {
        return existing.status();
    }
    if (*existing) {
        return **existing;
    }
    const auto previous = readFrozen(window - 1);
    if (!previous.ok()) {
        return previous.status();
    }
    std::set<std::string> counted;
    if (*previous) {
        counted.insert((*previous)->partials.begin(), (*previous)->partials.end());
    }

    FrozenWindow frozen{window, {}, {}};
    for (const platform::StoredObject &object : listed->objects) {
        // Keys have a fixed width, so their order is that of the windows.
        if (counted.contains(object.key) || object.key >= partialKey(window + 1, "")) {
            continue;
        }
        frozen.partials.push_back(object.key);
        for (const auto &[workspace, figures] : usageFromJson(parseJson(object.value).value_or(Json()))) {
            frozen.usage[workspace] += figures;
        }
    }
    const auto written = store_.putIf(frozenKey(window), platform::CreateOnly, frozen.encode());
    if (written.ok()) {
        return frozen;
    }
    // Another process froze it, or the answer was lost: what is stored counts.
    existing = readFrozen(window);
    if (!existing.ok()) {
        return existing.status();
    }
    if (!*existing) {
        return written.status();
    }
    return **existing;
}

template<platform::ObjectStoreLike Store>
absl::Status UsageLedger<Store>::markReported(const FrozenWindow &frozen)
{
    // Partials go first: the next window is frozen only after the position moved, and then finds them gone.
    for (const std::string &key : frozen.partials) {
        const auto stored = store_.get(key);
        if (stored.ok()) {
            if (absl::Status status = store_.removeIf(key, stored->version); !status.ok()) {
                return status;
            }
        } else if (stored.status().code() != absl::StatusCode::kNotFound) {
            return stored.status();
        }
    }
    const auto position = store_.get(PositionKey);
    if (!position.ok()) {
        return position.status();
    }
    const auto next = fieldOr<std::int64_t>(parseJson(position->value).value_or(Json()), "next", 0);
    if (next > frozen.window) {
        return absl::OkStatus();
    }
    return store_.putIf(PositionKey, position->version, Json{{"next", frozen.window + 1}}.dump()).status();
}

} // namespace currantlug::usage

#endif
