// Column widths and cell texts.
#include "cli/table.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::cli {

namespace {

std::string cellText(const Json &row, const std::string &field)
{
    const auto found = row.find(field);
    if (found == row.end() || found->is_null()) {
        return "-";
    }
    if (found->is_string()) {
        return found->get<std::string>();
    }
    if (found->is_number_float()) {
        return fmt::format("{:.2f}", found->get<double>());
    }
    return found->dump();
}

} // namespace

std::string renderTable(const Json &rows, const std::vector<Column> &columns)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column &column : columns) {
        lines[0].push_back(column.title);
    }
    for (const Json &row : rows) {
        std::vector<std::string> &line = lines.emplace_back();
        for (const Column &column : columns) {
            line.push_back(cellText(row, column.field));
        }
    }

    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }

    std::string text;
    for (const auto &line : lines) {
        std::string rendered;
        for (std::size_t i = 0; i < line.size(); ++i) {
            rendered += fmt::format("{:<{}}  ", line[i], widths[i]);
        }
        rendered.erase(rendered.find_last_not_of(' ') + 1);
        text += rendered + '\n';
    }
    return text;
}

} // namespace currantlug::cli
