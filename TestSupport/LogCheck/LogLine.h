// Parses one line of an entry host's log. Two formats are read: the line as the process wrote it, and the line in a collected log, where
// a time in seconds and the host's name precede it.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::LogCheck
{

/// One log line that holds an event.
struct LogLine
{
	double at_s = -1.0; ///< Time of the collected log if present, else the process's own, s since 1970; -1: none.
	std::string host;   ///< Empty if the line does not name it; the file name then stands for the host.
	std::string event;
	std::map<std::string, std::string, std::less<>> fields;
	std::string text; ///< The whole line.

	/// A field's value; empty if the field is absent.
	std::string_view Text(std::string_view inKey) const;
	/// A field's value as a number; nullopt if the field is absent or not a number.
	std::optional<uint64> Number(std::string_view inKey) const;
};

/// Parses a line; nullopt if it holds no event.
std::optional<LogLine> ParseLogLine(std::string_view inText);

/// Parses a whole text as an unsigned decimal number; nullopt if any character is left over.
std::optional<uint64> ParseNumber(std::string_view inText);

/// Splits a text at a separator; empty parts are left out.
std::vector<std::string_view> SplitText(std::string_view inText, char inSeparator);

} // namespace Loomreach::LogCheck
