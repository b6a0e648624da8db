// Parses a settings tree from TOML. An error gives file, line, column and what was expected. A document with an error is rejected as a
// whole.

#pragma once

#include <Loomreach/Settings/SettingsTree.h>

namespace Loomreach
{

/// Parses TOML text. `inFile` is only used in error messages. Fails with bad-settings.
std::optional<SettingsTree> ParseSettings(std::string_view inText, std::string_view inFile);

} // namespace Loomreach
