// The object store as the product uses it from the event loop. The platform folder fills these calls in; tests pass
// fakes.
#ifndef CURRANTLUG_OBJECTS_OBJECTPORT_H
#define CURRANTLUG_OBJECTS_OBJECTPORT_H

#include "core/enumnames.h"
#include "core/json.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace currantlug::objects {

/// What is known of a call's effect.
enum class StoreOutcome {
    Done,
    Conflict, ///< The object exists, or has another revision. Nothing was done.
    NotFound, ///< Nothing was done.
    Refused, ///< The store turned the call away. Nothing was done.
    Unknown, ///< No answer. The call may have been done, or may still be done if its condition holds.
    HistoryUnavailable, ///< A watch can't continue from its revision: list again.
};

} // namespace currantlug::objects

template<>
struct currantlug::EnumNames<currantlug::objects::StoreOutcome>
{
    using StoreOutcome = currantlug::objects::StoreOutcome;
    static constexpr std::array<std::pair<StoreOutcome, std::string_view>, 6> Table{{
        {StoreOutcome::Done, "done"},
        {StoreOutcome::Conflict, "conflict"},
        {StoreOutcome::NotFound, "not_found"},
        {StoreOutcome::Refused, "refused"},
        {StoreOutcome::Unknown, "unknown"},
        {StoreOutcome::HistoryUnavailable, "history_gone"},
    }};
};

namespace currantlug::objects {

struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Of the last change; 0 before the object exists.
    Json value;
    Json status; ///< Null until somebody wrote it.
};

struct ObjectChange
{
    StoredObject object;
    bool removed = false;
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<ObjectChange> changes; ///< One for get, create and replace; all for list; the news for watch.
    std::uint64_t asOf = 0; ///< List and watch: the store's revision.
    bool more = false; ///< List: continue after the last name.
    int httpStatus = 0; ///< For logs; 0 without an answer.
};

using StoreCallback = std::function<void(StoreReply)>;

struct ObjectPort
{
    std::function<void(std::string kind, std::string name, StoreCallback)> get;
    /// Objects of a kind in the order of their names, beginning behind `after`.
    std::function<void(std::string kind, std::string after, StoreCallback)> list;
    /// Answers as soon as something changed after the revision, or with nothing after `wait`.
    std::function<void(std::string kind, std::uint64_t after, absl::Duration wait, StoreCallback)> watch;
    std::function<void(std::string kind, std::string name, Json value, StoreCallback)> create;
    /// Revision 0 replaces whatever is there.
    std::function<void(std::string kind, std::string name, std::uint64_t revision, Json value, StoreCallback)> replace;
    std::function<void(std::string kind, std::string name, std::uint64_t revision, Json status, StoreCallback)>
        replaceStatus;
    std::function<void(std::string kind, std::string name, StoreCallback)> remove;
};

} // namespace currantlug::objects

#endif
