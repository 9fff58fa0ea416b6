#include "standins/faults.h"

#include <algorithm>

namespace currantlug::standins {

absl::StatusOr<Fault> parseFault(const Json &body)
{
    const std::optional<FaultKind> kind = parseEnum<FaultKind>(fieldOr<std::string>(body, "kind", ""));
    if (!kind) {
        return absl::InvalidArgumentError("unknown fault kind");
    }
    return Fault{.kind = *kind,
                 .pathPrefix = fieldOr<std::string>(body, "path_prefix", "/"),
                 .count = fieldOr<int>(body, "count", 1),
                 .delay = absl::Milliseconds(fieldOr<std::int64_t>(body, "ms", 0))};
}

void FaultTable::add(const Fault &fault)
{
    const std::lock_guard lock(mutex_);
    if (fault.count == 0) {
        std::erase_if(faults_, [&](const Fault &other) { return other.kind == fault.kind; });
    } else {
        faults_.push_back(fault);
    }
}

bool FaultTable::take(FaultKind kind, std::string_view path, Fault &taken)
{
    const std::lock_guard lock(mutex_);
    const auto found = std::find_if(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == kind && path.starts_with(fault.pathPrefix);
    });
    if (found == faults_.end()) {
        return false;
    }
    taken = *found;
    if (found->count > 0 && --found->count == 0) {
        faults_.erase(found);
    }
    return true;
}

void FaultTable::clear()
{
    const std::lock_guard lock(mutex_);
    faults_.clear();
}

} // namespace currantlug::standins
