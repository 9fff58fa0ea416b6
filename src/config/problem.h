// Problems found in a ticket: all of them are collected, so that an operator corrects a ticket in one round.
#ifndef CURRANTLUG_CONFIG_PROBLEM_H
#define CURRANTLUG_CONFIG_PROBLEM_H

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace currantlug::config {

/// One field that is not acceptable.
struct Problem
{
    std::string path; ///< For example "set/pools/p1/endpoints/0/address".
    std::string allowed; ///< What the field may hold.
    std::string found; ///< What it holds, shortened.
};

using Problems = std::vector<Problem>;

/// OK without problems, else kInvalidArgument with one line per problem: "path: expected ..., found ...".
absl::Status problemsToStatus(const Problems &problems);

} // namespace currantlug::config

#endif
