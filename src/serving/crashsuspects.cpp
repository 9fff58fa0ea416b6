// Bookkeeping of replicas that ended, and of the requests that ran there.
#include "serving/crashsuspects.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace currantlug::serving {

namespace {

constexpr std::size_t DigestDigits = 32;
// More than enough to refuse a request; the oldest loss is dropped first.
constexpr std::size_t MaxLosses = 8;

std::string keyOf(const ReplicaIncarnation &replica)
{
    return fmt::format("{} {}", replica.id, replica.startedAtMs);
}

/// Appends a field with its length, so that no two lists of fields have the same text.
void appendField(std::string &text, std::string_view field)
{
    text += fmt::format("{}:", field.size());
    text += field;
}

} // namespace

std::string requestDigest(const InboundRequest &request, const std::string &workspace)
{
    std::string text;
    appendField(text, workspace);
    appendField(text, request.host);
    appendField(text, request.method);
    appendField(text, request.target);
    text += sha256Hex(request.body); // A body may have megabytes, so it isn't copied.
    return sha256Hex(text).substr(0, DigestDigits);
}

void CrashSuspects::addLoss(const std::string &digest, const std::string &replica, const Loss &loss)
{
    Suspect &suspect = suspects_[digest];
    if (suspect.clearedAt && loss.at <= *suspect.clearedAt) {
        return;
    }
    const auto [entry, isNew] = suspect.losses.try_emplace(replica, loss);
    if (!isNew) {
        entry->second.ended = entry->second.ended || loss.ended;
    }
    suspect.lastLossAt = std::max(suspect.lastLossAt, loss.at);
    if (suspect.losses.size() > MaxLosses) {
        suspect.losses.erase(
            std::min_element(suspect.losses.begin(), suspect.losses.end(),
                             [](const auto &one, const auto &other) { return one.second.at < other.second.at; }));
    }
    if (suspects_.size() > settings_.maxSuspects) {
        // A request that is refused has no new crashes and must still be known when it comes again.
        suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [](const auto &one, const auto &other) {
            return std::pair(crashesOf(one.second), one.second.lastLossAt)
                < std::pair(crashesOf(other.second), other.second.lastLossAt);
        }));
    }
}

void CrashSuspects::recordLoss(const std::string &digest, const ReplicaIncarnation &replica, Instant now)
{
    addLoss(digest, keyOf(replica), {now, false});
}

std::vector<SuspectStatement> CrashSuspects::recordEnded(const ReplicaIncarnation &replica, Instant now)
{
    const std::string key = keyOf(replica);
    std::vector<SuspectStatement> confirmed;
    for (auto &[digest, suspect] : suspects_) {
        const auto found = suspect.losses.find(key);
        if (found != suspect.losses.end() && !found->second.ended) {
            found->second.ended = true;
            suspect.lastLossAt = std::max(suspect.lastLossAt, now);
            confirmed.push_back({digest, {{key, found->second.at}}, std::nullopt});
        }
    }
    return confirmed;
}

void CrashSuspects::recordAlive(const ReplicaIncarnation &replica)
{
    const std::string key = keyOf(replica);
    for (auto &[digest, suspect] : suspects_) {
        const auto found = suspect.losses.find(key);
        if (found != suspect.losses.end() && !found->second.ended) {
            suspect.losses.erase(found);
        }
    }
    std::erase_if(suspects_, [](const auto &entry) { return entry.second.losses.empty() && !entry.second.clearedAt; });
}

bool CrashSuspects::recordAnswer(const std::string &digest, Instant now)
{
    const auto found = suspects_.find(digest);
    if (found == suspects_.end() || found->second.losses.empty()) {
        return false;
    }
    found->second.losses.clear();
    found->second.clearedAt = now;
    found->second.clearedHere = true;
    found->second.lastLossAt = now;
    return true;
}

int CrashSuspects::crashesOf(const Suspect &suspect)
{
    return static_cast<int>(std::count_if(suspect.losses.begin(), suspect.losses.end(),
                                          [](const auto &entry) { return entry.second.ended; }));
}

int CrashSuspects::losses(const std::string &digest) const
{
    const auto found = suspects_.find(digest);
    return found == suspects_.end() ? 0 : static_cast<int>(found->second.losses.size());
}

int CrashSuspects::crashes(const std::string &digest) const
{
    const auto found = suspects_.find(digest);
    return found == suspects_.end() ? 0 : crashesOf(found->second);
}

bool CrashSuspects::isSoleCause(const std::string &digest, int crashes, const std::string &replica) const
{
    return std::none_of(suspects_.begin(), suspects_.end(), [&](const auto &entry) {
        return entry.first != digest && entry.second.losses.contains(replica) && crashesOf(entry.second) >= crashes;
    });
}

bool CrashSuspects::refuses(const std::string &digest) const
{
    const auto found = suspects_.find(digest);
    const int crashes = found == suspects_.end() ? 0 : crashesOf(found->second);
    if (crashes < settings_.maxCrashes) {
        return false;
    }
    const auto soleCrashes =
        std::count_if(found->second.losses.begin(), found->second.losses.end(),
                      [&](const auto &loss) { return loss.second.ended && isSoleCause(digest, crashes, loss.first); });
    return soleCrashes >= settings_.minSoleCrashes;
}

std::vector<SuspectStatement> CrashSuspects::statements() const
{
    std::vector<std::pair<std::pair<bool, Instant>, SuspectStatement>> ranked;
    for (const auto &[digest, suspect] : suspects_) {
        SuspectStatement statement{digest, {}, suspect.clearedHere ? suspect.clearedAt : std::nullopt};
        for (const auto &[replica, loss] : suspect.losses) {
            if (loss.ended) {
                statement.crashes.push_back({replica, loss.at});
            }
        }
        if (!statement.crashes.empty() || statement.clearedAt) {
            const bool enoughCrashes = crashesOf(suspect) >= settings_.maxCrashes;
            ranked.emplace_back(std::pair(enoughCrashes, suspect.lastLossAt), std::move(statement));
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &one, const auto &other) { return one.first > other.first; });
    ranked.resize(std::min(ranked.size(), settings_.maxStatements));
    std::vector<SuspectStatement> statements;
    statements.reserve(ranked.size());
    for (auto &[rank, statement] : ranked) {
        statements.push_back(std::move(statement));
    }
    return statements;
}

void CrashSuspects::merge(const SuspectStatement &statement)
{
    if (statement.clearedAt) {
        const auto found = suspects_.find(statement.digest);
        if (found == suspects_.end()) {
            return; // Nothing is held against it here.
        }
        Suspect &suspect = found->second;
        if (!suspect.clearedAt || *suspect.clearedAt < *statement.clearedAt) {
            suspect.clearedAt = statement.clearedAt;
            suspect.clearedHere = false;
            std::erase_if(suspect.losses, [&](const auto &loss) { return loss.second.at <= *statement.clearedAt; });
        }
    }
    for (const ReplicaCrash &crash : statement.crashes) {
        addLoss(statement.digest, crash.replica, {crash.at, true});
    }
}

void CrashSuspects::expire(Instant now)
{
    for (auto &[digest, suspect] : suspects_) {
        std::erase_if(suspect.losses, [&](const auto &loss) {
            return !loss.second.ended && now - loss.second.at > settings_.unconfirmedMemory;
        });
    }
    std::erase_if(suspects_, [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        return suspect.losses.empty() ? !suspect.clearedAt || now - *suspect.clearedAt > settings_.clearedMemory
                                      : now - suspect.lastLossAt > settings_.memory;
    });
}

} // namespace currantlug::serving
