#pragma once

#include <string_view>

namespace sapphirebank {

// Returns the text of the state chart file `charts/<name>.json` as it was at
// build time, or an empty view when there is no such file.
std::string_view EmbeddedChart(std::string_view name);

}  // namespace sapphirebank
