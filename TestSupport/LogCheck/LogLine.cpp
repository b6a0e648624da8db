// Parsing of log lines: time and host, the event's name, and its fields with quoted or plain values.

#include <Loomreach/Loomreach.h>

#include <TestSupport/LogCheck/LogLine.h>

#include <charconv>

namespace Loomreach::LogCheck
{

static constexpr std::string_view cEventMark = "event=";
static constexpr int64 cDaySeconds = 86400;

std::string_view LogLine::Text(std::string_view inKey) const
{
	auto found = this->fields.find(inKey);
	return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<uint64> LogLine::Number(std::string_view inKey) const { return ParseNumber(this->Text(inKey)); }

std::optional<uint64> ParseNumber(std::string_view inText)
{
	uint64 number = 0;
	const char *end = inText.data() + inText.size();
	const auto [next, error] = std::from_chars(inText.data(), end, number);
	if (inText.empty() || error != std::errc() || next != end)
		return std::nullopt;
	return number;
}

std::vector<std::string_view> SplitText(std::string_view inText, char inSeparator)
{
	std::vector<std::string_view> parts;
	while (!inText.empty())
	{
		const size_t end = std::min(inText.find(inSeparator), inText.size());
		if (end > 0)
			parts.push_back(inText.substr(0, end));
		inText.remove_prefix(std::min(end + 1, inText.size()));
	}
	return parts;
}

/// Seconds since 1970 of a line head as the process writes it: "I20261202" (severity and date) and "15:16:18.123456".
static std::optional<double> ParseProcessTime(std::string_view inDay, std::string_view inTime)
{
	if (inDay.size() != 9 || std::string_view("IWE").find(inDay[0]) == std::string_view::npos || inTime.size() != 15)
		return std::nullopt;
	const std::optional<uint64> year = ParseNumber(inDay.substr(1, 4));
	const std::optional<uint64> month = ParseNumber(inDay.substr(5, 2));
	const std::optional<uint64> day = ParseNumber(inDay.substr(7, 2));
	const std::optional<uint64> hours = ParseNumber(inTime.substr(0, 2));
	const std::optional<uint64> minutes = ParseNumber(inTime.substr(3, 2));
	const std::optional<uint64> seconds = ParseNumber(inTime.substr(6, 2));
	const std::optional<uint64> micros = ParseNumber(inTime.substr(9, 6));
	if (!year || !month || !day || !hours || !minutes || !seconds || !micros)
		return std::nullopt;
	const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(*year)), std::chrono::month(static_cast<unsigned>(*month)),
										   std::chrono::day(static_cast<unsigned>(*day))};
	const int64 days = std::chrono::sys_days(date).time_since_epoch().count();
	const int64 whole = days * cDaySeconds + static_cast<int64>(*hours * 3600 + *minutes * 60 + *seconds);
	return static_cast<double>(whole) + static_cast<double>(*micros) / 1e6;
}

/// Seconds of a line head in a collected log.
static std::optional<double> ParseCollectedTime(std::string_view inText)
{
	double seconds = 0.0;
	const char *end = inText.data() + inText.size();
	const auto [next, error] = std::from_chars(inText.data(), end, seconds);
	if (error != std::errc() || next != end)
		return std::nullopt;
	return seconds;
}

/// Reads time and host from the text before the event.
static void ParseHead(std::string_view inHead, LogLine &outLine)
{
	const std::vector<std::string_view> parts = SplitText(inHead, ' ');
	const std::optional<double> collected_time = parts.size() < 2 ? std::nullopt : ParseCollectedTime(parts[0]);
	if (collected_time.has_value())
	{
		outLine.at_s = *collected_time;
		outLine.host = parts[1];
		return;
	}
	const std::optional<double> process_time = parts.size() < 2 ? std::nullopt : ParseProcessTime(parts[0], parts[1]);
	outLine.at_s = process_time.value_or(-1.0);
}

/// Removes a value, quoted or plain, from the front of a text and returns it without quotes.
static std::string TakeValue(std::string_view &ioText)
{
	std::string value;
	if (ioText.empty() || ioText[0] != '"')
	{
		const size_t end = std::min(ioText.find(' '), ioText.size());
		value = ioText.substr(0, end);
		ioText.remove_prefix(end);
		return value;
	}
	size_t at = 1;
	for (; at < ioText.size() && ioText[at] != '"'; ++at)
	{
		// A backslash escapes the next character
		if (ioText[at] == '\\' && at + 1 < ioText.size())
			++at;
		value += ioText[at];
	}
	ioText.remove_prefix(std::min(at + 1, ioText.size()));
	return value;
}

std::optional<LogLine> ParseLogLine(std::string_view inText)
{
	const size_t mark = inText.find(cEventMark);
	if (mark == std::string_view::npos || (mark > 0 && inText[mark - 1] != ' '))
		return std::nullopt;
	LogLine line;
	line.text = inText;
	ParseHead(inText.substr(0, mark), line);
	std::string_view rest = inText.substr(mark + cEventMark.size());
	line.event = TakeValue(rest);
	while (!rest.empty())
	{
		if (rest[0] == ' ')
		{
			rest.remove_prefix(1);
			continue;
		}
		const size_t equals = rest.find('=');
		if (equals == std::string_view::npos)
			break;
		std::string key(rest.substr(0, equals));
		rest.remove_prefix(equals + 1);
		line.fields[std::move(key)] = TakeValue(rest);
	}
	return line;
}

} // namespace Loomreach::LogCheck
