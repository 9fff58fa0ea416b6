// A container whose objects are addressed by ids that stay unique after an object is removed and its place reused.
#ifndef CURRANTLUG_CORE_SLOTMAP_H
#define CURRANTLUG_CORE_SLOTMAP_H

#include <cassert>
#include <compare>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace currantlug {

/// Index and generation of an object in a SlotMap<T>.
template<class T>
struct SlotId
{
    std::uint32_t index = UINT32_MAX;
    std::uint32_t generation = 0;

    friend auto operator<=>(const SlotId &, const SlotId &) = default; // NOLINT(modernize-use-nullptr)

    template<class H>
    friend H AbslHashValue(H state, const SlotId &id)
    {
        return H::combine(std::move(state), id.index, id.generation);
    }
};

/// Flat storage of objects. Not thread-safe.
template<class T>
class SlotMap
{
public:
    /// Adds an object and returns its id.
    SlotId<T> insert(T object)
    {
        std::uint32_t index = 0;
        if (free_.empty()) {
            index = static_cast<std::uint32_t>(slots_.size());
            slots_.emplace_back();
        } else {
            index = free_.back();
            free_.pop_back();
        }
        Slot &slot = slots_[index];
        assert(!slot.object);
        slot.object.emplace(std::move(object));
        return {index, slot.generation};
    }

    /// The object with this id, or nullptr if it was removed.
    T *find(SlotId<T> id) { return contains(id) ? &*slots_[id.index].object : nullptr; }
    const T *find(SlotId<T> id) const { return contains(id) ? &*slots_[id.index].object : nullptr; }

    /// Removes the object; false if it was gone already.
    bool erase(SlotId<T> id)
    {
        if (!contains(id)) {
            return false;
        }
        Slot &slot = slots_[id.index];
        slot.object.reset();
        ++slot.generation;
        free_.push_back(id.index);
        return true;
    }

    std::size_t size() const { return slots_.size() - free_.size(); }

    /// Calls f(id, object) for each object in index order. f must not insert or erase.
    template<class F>
    void forEach(F &&f)
    {
        for (std::uint32_t index = 0; index < slots_.size(); ++index) {
            if (slots_[index].object) {
                f(SlotId<T>{index, slots_[index].generation}, *slots_[index].object);
            }
        }
    }

private:
    struct Slot
    {
        std::uint32_t generation = 0; ///< Counts removals, so an id of a removed object never matches again.
        std::optional<T> object;
    };

    bool contains(SlotId<T> id) const
    {
        return id.index < slots_.size() && slots_[id.index].generation == id.generation
            && slots_[id.index].object.has_value();
    }

    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_; ///< Indices of slots without an object.
};

} // namespace currantlug

#endif
