// Parses TOML and formats positions.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/TomlReader.h>

namespace Loomreach
{

std::string PositionOf(const toml::source_region &inWhere, std::string_view inFile)
{
	return std::string(inFile) + ':' + std::to_string(inWhere.begin.line) + ':' + std::to_string(inWhere.begin.column);
}

std::optional<toml::table> ParseToml(std::string_view inText, std::string_view inFile, EError inKind)
{
	toml::parse_result result = toml::parse(inText, inFile);
	if (!result)
	{
		const toml::parse_error &error = result.error();
		return Fail(inKind, PositionOf(error.source(), inFile) + ": " + std::string(error.description()));
	}
	return std::move(result).table();
}

} // namespace Loomreach
