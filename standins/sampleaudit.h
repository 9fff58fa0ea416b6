// Compares samples with what the engines' audits say was produced.
#ifndef CURRANTLUG_STANDINS_SAMPLEAUDIT_H
#define CURRANTLUG_STANDINS_SAMPLEAUDIT_H

#include "core/json.h"

#include <absl/status/status.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantlug::standins {

struct TakenSample
{
    std::string prompt; ///< Of the slot's group.
    std::string text;
    std::string sampleId; ///< The request id that the engines saw.
    Json segments; ///< [{"weight_version","tokens"}]
};

/// The versions of all tokens, in order. The version may be called "weight_version" or "version".
std::vector<std::uint64_t> tokenVersions(const Json &segments);

/// The attempts of all engines.
class SampleAudit
{
public:
    /// Reads `GET /audit` of an engine at "host:port".
    absl::Status readEngine(const std::string &address, absl::Duration timeout);
    /// Adds the body of such an answer.
    void add(const Json &audit);

    /// True when text and versions are those of a finished attempt, together with the earlier attempts that it resumed.
    /// Each earlier attempt may have produced more than the later one resumed from.
    bool explains(const TakenSample &sample) const;

private:
    struct Attempt
    {
        std::string prompt;
        std::string text;
        std::vector<std::uint64_t> versions;
        std::uint64_t start = 0;
        bool finished = false;
    };
    struct Tokens;

    static bool explainsUpTo(const std::vector<Attempt> &attempts, const Tokens &tokens, std::uint64_t end,
                             bool isWhole);

    std::map<std::string, std::vector<Attempt>> attempts_; ///< By the shared part of the request ids.
};

} // namespace currantlug::standins

#endif
