// Plain-text tables with aligned columns.
#pragma once

#include <string>
#include <vector>

namespace lovagerail::ctl {

// The first row is the heading.
std::string renderTable(const std::vector<std::vector<std::string>>& rows);

} // namespace lovagerail::ctl
