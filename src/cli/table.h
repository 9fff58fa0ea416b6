// Plain text tables for the command-line tool.
#ifndef CURRANTLUG_CLI_TABLE_H
#define CURRANTLUG_CLI_TABLE_H

#include "core/json.h"

#include <string>
#include <vector>

namespace currantlug::cli {

/// A column: the title and the field of each row that fills it.
struct Column
{
    std::string title;
    std::string field;
};

/// Renders an array of objects as aligned columns. A missing field is shown as "-".
std::string renderTable(const Json &rows, const std::vector<Column> &columns);

} // namespace currantlug::cli

#endif
