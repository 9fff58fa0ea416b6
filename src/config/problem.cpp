// Turns collected problems into one status.
#include "config/problem.h"

#include <fmt/format.h>

namespace currantlug::config {

absl::Status problemsToStatus(const Problems &problems)
{
    // A ticket of 1 MB may have a problem in each field; an operator corrects a list of this length at a time.
    constexpr std::size_t MaxLines = 100;
    if (problems.empty()) {
        return absl::OkStatus();
    }
    std::string text;
    for (std::size_t i = 0; i < problems.size() && i < MaxLines; ++i) {
        const Problem &problem = problems[i];
        text += fmt::format("{}{}: expected {}, found {}", text.empty() ? "" : "\n", problem.path, problem.allowed,
                            problem.found);
    }
    if (problems.size() > MaxLines) {
        text += fmt::format("\nand {} more problems", problems.size() - MaxLines);
    }
    return absl::InvalidArgumentError(text);
}

} // namespace currantlug::config
