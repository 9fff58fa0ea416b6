// A map in one sorted vector: cheap to copy, which every new configuration state does, and iterated in key order.
#ifndef CURRANTLUG_CONFIG_FLATMAP_H
#define CURRANTLUG_CONFIG_FLATMAP_H

#include <algorithm>
#include <utility>
#include <vector>

namespace currantlug::config {

template<class Key, class Value>
class FlatMap
{
public:
    using Entry = std::pair<Key, Value>;

    /// The value, or nullptr if the key is absent. Valid until the next change.
    const Value *find(const Key &key) const
    {
        const auto place = lowerBound(entries_, key);
        return place != entries_.end() && place->first == key ? &place->second : nullptr;
    }
    bool contains(const Key &key) const { return find(key) != nullptr; }

    /// Inserts or replaces.
    void set(const Key &key, Value value)
    {
        const auto place = lowerBound(entries_, key);
        if (place != entries_.end() && place->first == key) {
            place->second = std::move(value);
        } else {
            entries_.insert(place, {key, std::move(value)});
        }
    }

    /// False if the key was absent.
    bool erase(const Key &key)
    {
        const auto place = lowerBound(entries_, key);
        if (place == entries_.end() || place->first != key) {
            return false;
        }
        entries_.erase(place);
        return true;
    }

    auto begin() const { return entries_.begin(); }
    auto end() const { return entries_.end(); }
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    friend bool operator==(const FlatMap &, const FlatMap &) = default;

private:
    template<class Entries>
    static auto lowerBound(Entries &entries, const Key &key)
    {
        return std::lower_bound(entries.begin(), entries.end(), key,
                                [](const Entry &entry, const Key &wanted) { return entry.first < wanted; });
    }

    std::vector<Entry> entries_; ///< Sorted by key, each key once.
};

} // namespace currantlug::config

#endif
