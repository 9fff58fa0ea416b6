// The command `explain`: from an id to what the logs say about it.
#ifndef CURRANTLUG_CLI_EXPLAINCOMMAND_H
#define CURRANTLUG_CLI_EXPLAINCOMMAND_H

#include "cli/commands.h"

#include <string>
#include <vector>

namespace currantlug::cli {

/// Reads the log files, or standard input where there are none or one is "-", and prints the id's story.
/// Refused if no line names the id, Usage if a file can't be read.
ExitCode explain(const std::string &id, const std::vector<std::string> &files, bool json);

} // namespace currantlug::cli

#endif
