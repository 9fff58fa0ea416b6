// The commands of the currantlug tool.
#ifndef CURRANTLUG_CLI_COMMANDS_H
#define CURRANTLUG_CLI_COMMANDS_H

#include <string>
#include <vector>

namespace currantlug::cli {

/// Exit codes, documented in docs/OPERATIONS.md.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< The daemon understood the request and refused it, for example an invalid ticket.
    Usage = 2,
    Unavailable = 3, ///< No daemon answered, and nothing was changed.
    Unknown = 4, ///< The request was sent and its effect is unknown, or it is not yet confirmed in force.
    Conflict = 5, ///< Another operator's ticket took the number.
};

/// Runs one command line without the program name.
ExitCode runCommand(const std::vector<std::string> &arguments);

} // namespace currantlug::cli

#endif
