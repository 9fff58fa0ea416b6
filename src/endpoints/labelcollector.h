// Checks the weight version labels of one answer: the labels of the chunks against the engine's closing summary.
#ifndef CURRANTLUG_ENDPOINTS_LABELCOLLECTOR_H
#define CURRANTLUG_ENDPOINTS_LABELCOLLECTOR_H

#include "endpoints/segment.h"

#include <absl/status/status.h>

#include <optional>

namespace currantlug::endpoints {

/// Collects the labels of one answer. Pure; not thread-safe.
class LabelCollector
{
public:
    /// Adds a text chunk: its label, where it has one, and its number of tokens.
    void addChunk(std::optional<WeightVersion> label, std::uint64_t tokens);

    /// Takes the engine's closing summary. Zero-token segments and splits within one version do not count as
    /// differences.
    void finish(const std::optional<std::vector<Segment>> &summary, std::optional<std::uint64_t> completionTokens);

    /// OK only when every chunk had a label and the summary is there and agrees. An answer with another status is no
    /// sample.
    absl::Status check() const;

    /// True until a chunk came without a label; later chunks are not collected.
    bool labelled() const { return missingAt_ == 0; }

    /// What the labels of the chunks add up to, up to the first chunk without a label.
    const std::vector<Segment> &segments() const { return segments_; }

private:
    std::vector<Segment> segments_;
    std::uint64_t chunks_ = 0;
    std::uint64_t missingAt_ = 0; ///< Number of the first chunk without a label, counted from 1; 0 for none.
    bool finished_ = false;
    absl::Status summary_; ///< Result of the comparison made by finish().
};

} // namespace currantlug::endpoints

#endif
