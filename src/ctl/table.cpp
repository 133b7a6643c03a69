// Computes column widths and pads the cells.
#include "ctl/table.h"

#include <algorithm>

namespace lovagerail::ctl {

std::string renderTable(const std::vector<std::vector<std::string>>& rows)
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + gap, ' ');
        }
        out += line + "\n";
    }
    return out;
}

} // namespace lovagerail::ctl
