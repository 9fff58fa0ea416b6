#include "standins/objecttable.h"

#include <algorithm>

namespace currantlug::standins {

namespace {

constexpr std::size_t HistoryBytes = 64U << 20U; ///< Bounds the values kept for watches, whatever their number.

} // namespace

const ObjectTable::Object *ObjectTable::find(const std::string &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> ObjectTable::put(const std::string &key, std::uint64_t expected, std::string value)
{
    const Object *current = find(key);
    if ((current ? current->version : 0) != expected) {
        return std::nullopt;
    }
    ++revision_;
    const Object object{revision_, std::make_shared<const std::string>(std::move(value))};
    objects_[key] = object;
    record(key, object, false);
    return revision_;
}

bool ObjectTable::remove(const std::string &key, std::uint64_t version)
{
    const Object *current = find(key);
    if (!current || current->version != version) {
        return false;
    }
    objects_.erase(key);
    ++revision_;
    record(key, {revision_, std::make_shared<const std::string>()}, true);
    return true;
}

void ObjectTable::record(const std::string &key, const Object &object, bool deleted)
{
    history_.push_back({revision_, key, object, deleted});
    historyBytes_ += object.value->size();
    while (history_.size() > historyLimit_ || historyBytes_ > HistoryBytes) {
        compacted_ = history_.front().revision;
        historyBytes_ -= history_.front().object.value->size();
        history_.pop_front();
    }
}

Json ObjectTable::list(std::string_view prefix) const
{
    Json result = Json::array();
    for (auto at = objects_.lower_bound(std::string(prefix)); at != objects_.end() && at->first.starts_with(prefix);
         ++at) {
        result.push_back(objectJson(at->first, at->second));
    }
    return result;
}

Json ObjectTable::eventsAfter(std::string_view prefix, std::uint64_t after) const
{
    const auto first = std::upper_bound(history_.begin(), history_.end(), after,
                                        [](std::uint64_t revision, const Change &c) { return revision < c.revision; });
    Json result = Json::array();
    for (auto at = first; at != history_.end(); ++at) {
        if (at->key.starts_with(prefix)) {
            Json event = objectJson(at->key, at->object);
            event["deleted"] = at->deleted;
            result.push_back(std::move(event));
        }
    }
    return result;
}

Json ObjectTable::versions() const
{
    Json result = Json::object();
    for (const auto &[key, object] : objects_) {
        result[key] = object.version;
    }
    return result;
}

Json objectJson(std::string_view key, const ObjectTable::Object &object)
{
    return {{"key", key}, {"version", object.version}, {"value", *object.value}};
}

} // namespace currantlug::standins
