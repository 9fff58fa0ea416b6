// Sums the labels of an answer's chunks and compares them with the engine's summary.
#include "endpoints/labelcollector.h"

#include "core/error.h"

#include <fmt/format.h>

namespace currantlug::endpoints {

namespace {

absl::Status labelError(const std::string &message)
{
    return makeError(absl::StatusCode::kDataLoss, Step::Label, "", Outcome::Ran, message);
}

// A list in which neighbours differ and no segment is empty, so that equal content compares equal.
std::vector<Segment> normalised(const std::vector<Segment> &segments)
{
    std::vector<Segment> result;
    for (const Segment &segment : segments) {
        appendTokens(result, segment.weightVersion, segment.tokens);
    }
    return result;
}

std::string describe(const std::vector<Segment> &segments)
{
    std::string text;
    for (const Segment &segment : segments) {
        text += fmt::format("{}{}x{}", text.empty() ? "" : " ", segment.weightVersion, segment.tokens);
    }
    return text.empty() ? "none" : text;
}

} // namespace

void LabelCollector::addChunk(std::optional<WeightVersion> label, std::uint64_t tokens)
{
    ++chunks_;
    if (missingAt_ != 0) {
        return;
    }
    if (!label) {
        missingAt_ = chunks_;
        return;
    }
    appendTokens(segments_, *label, tokens);
}

void LabelCollector::finish(const std::optional<std::vector<Segment>> &summary,
                            std::optional<std::uint64_t> completionTokens)
{
    finished_ = true;
    if (!summary) {
        summary_ = labelError("the closing event has no segments");
        return;
    }
    const std::vector<Segment> claimed = normalised(*summary);
    if (claimed != segments_) {
        summary_ = labelError(
            fmt::format("chunk labels ({}) differ from the summary ({})", describe(segments_), describe(claimed)));
    } else if (!completionTokens) {
        summary_ = labelError("the closing event has no token count");
    } else if (*completionTokens != countTokens(segments_)) {
        summary_ = labelError(
            fmt::format("labels cover {} tokens, the engine counts {}", countTokens(segments_), *completionTokens));
    }
}

absl::Status LabelCollector::check() const
{
    if (missingAt_ != 0) {
        return labelError(fmt::format("chunk {} has no weight version", missingAt_));
    }
    if (!finished_) {
        return labelError("the answer ended before its summary");
    }
    return summary_;
}

} // namespace currantlug::endpoints
