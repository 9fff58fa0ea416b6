// The objects of the platform stand-in: versions, conditional updates, and the changes that watches read.
#ifndef CURRANTLUG_STANDINS_OBJECTTABLE_H
#define CURRANTLUG_STANDINS_OBJECTTABLE_H

#include "core/json.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace currantlug::standins {

/// Not thread-safe.
class ObjectTable
{
public:
    struct Object
    {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> value;
    };

    explicit ObjectTable(std::size_t historyLimit)
        : historyLimit_(historyLimit)
    {
    }

    /// nullptr where there is none.
    const Object *find(const std::string &key) const;
    /// The new version, or nullopt when the current version (0 for none) is not `expected`.
    std::optional<std::uint64_t> put(const std::string &key, std::uint64_t expected, std::string value);
    /// False when there is no object of this version.
    bool remove(const std::string &key, std::uint64_t version);

    std::uint64_t revision() const { return revision_; }
    /// False when changes after this revision are no longer all known.
    bool knows(std::uint64_t after) const { return after >= compacted_; }
    Json list(std::string_view prefix) const;
    /// Changes after a revision, oldest first.
    Json eventsAfter(std::string_view prefix, std::uint64_t after) const;
    /// {"<key>":version}
    Json versions() const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        Object object;
        bool deleted = false;
    };

    void record(const std::string &key, const Object &object, bool deleted);

    std::size_t historyLimit_;
    std::map<std::string, Object> objects_;
    std::deque<Change> history_; ///< Ascending revisions.
    std::size_t historyBytes_ = 0;
    std::uint64_t revision_ = 0; ///< Grows by one with each write of any key, and is the version of the object written.
    std::uint64_t compacted_ = 0; ///< Revision of the newest change that was dropped from the history.
};

/// {"key","version","value"}
Json objectJson(std::string_view key, const ObjectTable::Object &object);

} // namespace currantlug::standins

#endif
