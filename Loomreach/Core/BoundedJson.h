// Reads JSON texts from outside the process within bounds of size and depth, and writes JSON texts from any bytes.
//
// The bounds are checked while a text is read, so that neither its depth nor its number of values costs more than they allow: building,
// copying and destroying a value recurse once per level. Every decoder of such texts uses this, none calls the JSON library's own parser.

#pragma once

#include <Loomreach/Loomreach.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

/// Bounds of a JSON text. The defaults are several times above the largest messages of the platform and of other hosts.
struct JsonLimits
{
	size_t max_bytes = size_t{16} << 20;
	size_t max_depth = 32;         ///< Levels of arrays and objects within each other.
	size_t max_values = 1'000'000; ///< A value in memory takes many times the bytes of its text.
};

/// Parses a complete JSON text. Fails with too-large if it has too many bytes or values, and with corrupt if it is malformed or too deep.
std::optional<nlohmann::json> ParseJson(std::string_view inText, const JsonLimits &inLimits = {});

/// The JSON text of a value, whose strings may contain bytes that are not valid UTF-8: they are replaced.
std::string DumpJson(const nlohmann::json &inValue);

} // namespace Loomreach
