// State of the engine stand-in: the requests that wait and run, and what the audit tells about them.
#ifndef CURRANTLUG_STANDINS_ENGINESTATE_H
#define CURRANTLUG_STANDINS_ENGINESTATE_H

#include "standins/enginecache.h"
#include "standins/enginestandin.h"
#include "standins/standinserver.h"

#include <deque>
#include <map>
#include <vector>

namespace currantlug::standins {

inline constexpr std::string_view CompletionsPath = "/v1/completions";

struct EngineSegment
{
    std::uint64_t version = 0;
    std::uint64_t tokens = 0;
};

/// One request to generate. Fields above `received` do not change once tokens are produced.
struct EngineAttempt
{
    std::string id;
    std::string echoId; ///< Differs from `id` only by the swap_ids fault.
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint64_t hash = 0;
    std::uint64_t start = 0; ///< Tokens in resume_text.
    std::uint64_t length = 0; ///< Of the whole text, in tokens.
    std::uint64_t epoch = 0; ///< Crashes of the engine before this attempt.
    absl::Duration stall = absl::ZeroDuration(); ///< Silence before the token at the middle.
    Json received; ///< headers, target and body
    std::vector<EngineSegment> segments;
    std::string text;
    bool finished = false;
    bool cancelled = false;

    std::uint64_t produced() const { return text.size() / EngineTokenBytes; }
};

struct EngineStandin::State
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    using AttemptPtr = std::shared_ptr<EngineAttempt>;

    explicit State(EngineSettings given)
        : settings(std::move(given))
        , role(settings.role)
        , cache(settings.cacheBlocks, settings.cacheEventLag, settings.cacheEventGap)
        , server([this](const Request &request, Response &response) { handle(request, response); })
    {
        server.onCrash([this](absl::Duration downTime) { crash(downTime); });
    }

    void handle(const Request &request, Response &response);
    void complete(const Request &request, Response &response);
    AttemptPtr makeAttempt(const Request &request, const Json &body);
    bool admit(const AttemptPtr &attempt);
    void maybeSwapIds(const AttemptPtr &attempt);
    bool produce(EngineAttempt &attempt, httplib::DataSink &sink);
    bool finish(EngineAttempt &attempt, httplib::DataSink &sink);
    bool alive(const EngineAttempt &attempt) const { return !attempt.cancelled && attempt.epoch == epoch; }
    void cancel(const std::string &id, Response &response);
    void takeOrder(const Request &request, Response &response);
    bool admitOrder(const Request &request, const Json &body);
    void loadWeights(std::uint64_t version, Response &response);
    void reportLoad(Response &response);
    void change(const Request &request, Response &response);
    void crash(absl::Duration downTime);
    Json audit() const;

    mutable std::mutex mutex;
    std::condition_variable changed; ///< Signalled when a place becomes free, an id is swapped, and on crash or stop.
    EngineSettings settings;
    std::string role;
    bool leaving = false;
    std::uint64_t epoch = 0;
    std::uint64_t highestToken = 0;
    std::size_t running = 0;
    std::deque<AttemptPtr> waiting; ///< In arrival order.
    AttemptPtr swapPartner; ///< Waits for a second attempt to swap ids with.
    std::map<std::string, std::vector<AttemptPtr>> attempts;
    Json orders = Json::array();
    std::deque<Json> others;
    EngineCache cache;
    Json load; ///< Last load report, without its age.
    Instant loadAt;
    StandinServer server; ///< Last, so that its threads end before the state they use.
};

/// Its entry in the audit.
Json attemptJson(const EngineAttempt &attempt);

} // namespace currantlug::standins

#endif
