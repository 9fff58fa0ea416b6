// HTTP calls that the tests of the stand-ins make.
#ifndef CURRANTLUG_TESTS_STANDINS_STANDINCLIENT_H
#define CURRANTLUG_TESTS_STANDINS_STANDINCLIENT_H

#include "core/json.h"
#include "platform/httpclient.h"

#include <thread>

namespace currantlug::standins {

inline platform::HttpClient clientFor(int port, absl::Duration timeout = absl::Seconds(20))
{
    return platform::HttpClient({.port = port, .callTimeout = timeout});
}

inline absl::StatusOr<platform::HttpAnswer> postJson(int port, const std::string &target, const Json &body)
{
    platform::HttpClient http = clientFor(port);
    return http.call({.method = "POST", .target = target, .body = body.dump()}, Step::Send);
}

inline Json completionBody(const std::string &id, std::uint64_t maxTokens, const std::string &resumeText = "")
{
    return {{"model", "model"}, {"prompt", "p"},    {"max_tokens", maxTokens},  {"stream", true},
            {"seed", 7},        {"request_id", id}, {"resume_text", resumeText}};
}

/// A completion as its stream told it.
struct ReadStream
{
    std::string id;
    std::string text;
    std::vector<std::uint64_t> versions; ///< Of each token.
    Json segments;
    bool done = false; ///< The end marker was seen.
};

inline ReadStream readStream(std::string_view body)
{
    ReadStream result;
    for (std::size_t at = body.find("data: "); at != std::string_view::npos; at = body.find("data: ", at + 1)) {
        const std::string_view line = body.substr(at + 6, body.find("\n\n", at) - at - 6);
        if (line == "[DONE]") {
            result.done = true;
            continue;
        }
        const Json event = *parseJson(line);
        const Json &choice = event["choices"][0];
        result.id = event["id"].get<std::string>();
        result.text += choice["text"].get<std::string>();
        if (event.contains("segments")) {
            result.segments = event["segments"];
        } else {
            result.versions.push_back(choice["weight_version"].get<std::uint64_t>());
        }
    }
    return result;
}

/// Waits, without a fixed pause, until `condition` holds; false after 20 s.
template<class Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 20'000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

} // namespace currantlug::standins

#endif
