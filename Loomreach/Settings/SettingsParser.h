// Reads a settings tree from TOML. Each error names file, line, column and what was expected; nothing is taken in part.

#pragma once

#include <Loomreach/Settings/SettingsTree.h>

namespace Loomreach
{

/// Parses TOML text. `inFile` is only used in error messages.
std::optional<SettingsTree> ParseSettings(std::string_view inText, std::string_view inFile);

} // namespace Loomreach
