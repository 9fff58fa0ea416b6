// Entry point of the command-line tool.
#include "cli/commands.h"

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(currantlug::cli::runCommand(arguments));
}
