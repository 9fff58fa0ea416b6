// Stand-in for a model engine (design section 5.2): deterministic text, labels per token, weight swaps in running
// streams.
#ifndef CURRANTLUG_STANDINS_ENGINESTANDIN_H
#define CURRANTLUG_STANDINS_ENGINESTANDIN_H

#include "standins/faults.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>

namespace currantlug::standins {

struct EngineSettings
{
    int port = 0; ///< 0 takes a free one.
    std::string model = "model"; ///< Requests for other models answer 404; empty serves any.
    std::uint64_t weightVersion = 1;
    std::string role = "serve";
    absl::Duration perToken = absl::ZeroDuration();
    std::size_t maxRunning = 64; ///< Further requests wait in arrival order.
    bool varyLength = false; ///< Ends a text early, by (prompt, seed); otherwise always at max_tokens.
    absl::Duration swapTime = absl::ZeroDuration(); ///< How long a weight load takes; streams go on meanwhile.
    absl::Duration loadLag = absl::ZeroDuration(); ///< Age up to which a load report is reused.
    bool checkFencing = true; ///< Orders with a token below the highest seen answer 409.
    std::size_t cacheBlocks = 1024; ///< Prompt prefix blocks kept, least recently used first to go.
    absl::Duration cacheEventLag = absl::ZeroDuration();
    std::uint64_t cacheEventGap = 0; ///< Every n-th cache event is never published; 0 publishes all.
};

/// Bytes of prompt per cache block. The hash of block k is stableHash of the prompt's first k * PromptBlockBytes bytes.
inline constexpr std::size_t PromptBlockBytes = 64;

/// Text of the token at a position: five letters and a space, so that a text's token count is its length / 6.
std::string engineToken(std::string_view prompt, std::uint64_t seed, std::uint64_t position);
inline constexpr std::size_t EngineTokenBytes = 6;

/// Beside section 5.2: `POST /settings` {"check_fencing","ms_per_token","max_running","leaving"}, `POST /faults`,
/// `GET /audit`. `max_tokens` bounds the tokens of this request; one with `resume_text` goes on after it. A cancelled
/// or crashed stream ends without its end marker. Thread-safe.
class EngineStandin
{
public:
    explicit EngineStandin(EngineSettings settings = {});
    ~EngineStandin();
    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    /// Listens on 127.0.0.1.
    absl::Status start();
    /// Closes all connections without an end and joins all threads.
    void stop();
    int port() const;

    void addFault(const Fault &fault);
    void clearFaults();
    /// Tokens produced from now on carry this version.
    void setWeightVersion(std::uint64_t version);
    void setCheckFencing(bool on);
    void setLeaving(bool leaving);
    /// Closes all connections without an end and forgets the cache; refuses new ones for `downTime`.
    void crash(absl::Duration downTime = absl::ZeroDuration());

    /// {"requests":{"<request id>":[{"segments":[{"weight_version","tokens"}],"start","text","finished","cancelled",
    /// "prompt","seed","headers":[[name,value]...],"target","body"}]},"orders":[{"kind","version","role",
    /// "fencing_token","sender","at_ms","accepted"}],"other":[{"method","target","headers","body"}]}.
    /// One entry per attempt; `start` counts resumed tokens, `segments` and `text` only what this attempt produced.
    Json audit() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace currantlug::standins

#endif
