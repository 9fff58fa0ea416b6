// Finds all that logs of several processes say about one request, item, job or replica.
#ifndef CURRANTLUG_REPORT_LOGEXPLAINER_H
#define CURRANTLUG_REPORT_LOGEXPLAINER_H

#include "report/logline.h"

#include <istream>
#include <set>
#include <string>
#include <vector>

namespace currantlug::report {

struct Explanation
{
    std::vector<LogLine> lines; ///< In order of time, by the writers' clocks.
    std::set<std::string> jobs; ///< Named together with the id.
    std::set<std::string> replicas; ///< Named together with the id or its jobs.
    std::size_t direct = 0; ///< Lines that name the id itself.
    std::size_t linesRead = 0;
    std::size_t linesUnreadable = 0;
    std::size_t linesDropped = 0; ///< By the writers, whose buffers were full.
};

class LogExplainer
{
public:
    /// Reads a whole log. Unreadable lines are counted.
    void read(std::istream &input, const std::string &fileName);

    /// Lines that name the id, those of its jobs, and what the processes involved believed of replicas, configuration,
    /// store and lease from `around` before the first of them to `around` after the last.
    Explanation explain(const std::string &id, absl::Duration around) const;

private:
    std::vector<LogLine> lines_;
    std::size_t linesRead_ = 0;
    std::size_t linesUnreadable_ = 0;
    std::size_t linesDropped_ = 0;
};

} // namespace currantlug::report

#endif
