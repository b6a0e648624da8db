// Helpers over toml++ for all readers of TOML: parsing of a document and positions for error messages.

#pragma once

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace Loomreach
{

/// Returns the position of a node as "file:line:column".
std::string PositionOf(const toml::source_region &inWhere, std::string_view inFile);

/// Parses a document. Fails with the given kind and the parser's message with its position.
std::optional<toml::table> ParseToml(std::string_view inText, std::string_view inFile, EError inKind);

} // namespace Loomreach
