// Helpers over toml++ that both readers of TOML share: positions in error messages and whole-document parsing.

#pragma once

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace Loomreach
{

/// "file:line:column" of a node.
std::string PositionOf(const toml::source_region &inWhere, std::string_view inFile);

/// Parses a document, or leaves the parser's complaint with its position as a reason of the given kind.
std::optional<toml::table> ParseToml(std::string_view inText, std::string_view inFile, EError inKind);

} // namespace Loomreach
