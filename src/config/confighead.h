// Keys of the configuration in the object store, and the head object that indexes them.
#ifndef CURRANTLUG_CONFIG_CONFIGHEAD_H
#define CURRANTLUG_CONFIG_CONFIGHEAD_H

#include "config/configstate.h"
#include "core/error.h"
#include "platform/objectstore.h"

namespace currantlug::config {

inline constexpr std::string_view ConfigPrefix = "config/";
inline constexpr std::string_view TicketPrefix = "config/tickets/";
inline constexpr std::string_view HeadKey = "config/head";
inline constexpr std::uint64_t TicketsPerSnapshot = 64;

/// "config/tickets/0000000042"
std::string ticketKey(std::uint64_t number);
/// Prefix of the keys of the ten tickets number / 10 * 10 to number / 10 * 10 + 9.
std::string ticketDecadePrefix(std::uint64_t number);
std::string snapshotKey(std::uint64_t number);

/// Content of config/head. Only an index: the ticket objects fix the order.
struct ConfigHead
{
    std::uint64_t number = 0;
    std::string digest; ///< Of the state after ticket `number`.
    std::uint64_t snapshot = 0; ///< Newest snapshot, 0 for none.

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

std::string headText(const ConfigHead &head);
absl::StatusOr<ConfigHead> parseHead(std::string_view text);

/// Raises the stored head to at least the state's number and the snapshot number. OK means that it is stored. A lost
/// answer is resolved by reading back: the head has no nonce, as any writer's equal or higher head serves as well.
template<platform::ObjectStoreLike Store>
absl::StatusOr<ConfigHead> advanceHead(Store &store, const ConfigState &state, std::uint64_t snapshot)
{
    constexpr int MaxAttempts = 5; // Each mismatch means that another writer advanced the head.
    absl::Status last;
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto stored = store.get(HeadKey);
        if (!stored.ok() && stored.status().code() != absl::StatusCode::kNotFound) {
            return stored.status();
        }
        ConfigHead head;
        std::uint64_t version = platform::CreateOnly;
        if (stored.ok()) {
            absl::StatusOr<ConfigHead> parsed = parseHead(stored->value);
            if (!parsed.ok()) {
                return parsed.status();
            }
            head = *std::move(parsed);
            version = stored->version;
        }
        if (head.number >= state.number() && head.snapshot >= snapshot) {
            return head;
        }
        if (state.number() > head.number) {
            head.number = state.number();
            head.digest = state.digest();
        }
        head.snapshot = std::max(head.snapshot, snapshot);
        const auto written = store.putIf(HeadKey, version, headText(head));
        if (written.ok()) {
            return head;
        }
        last = written.status();
    }
    return last;
}

} // namespace currantlug::config

#endif
