// Structured logging: one glog line for each event, with key=value pairs in the order in which they were added.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Severity of an event; mapped to glog's severities.
enum class ELogLevel : uint8
{
	Info,
	Warning,
	Error
};

/// One event. Fields are added by chained calls; the destructor writes the line.
class LogEvent
{
public:
	LogEvent(ELogLevel inLevel, std::string_view inEvent);
	~LogEvent();
	LogEvent(const LogEvent &) = delete;
	LogEvent &operator=(const LogEvent &) = delete;

	/// Adds a text field. Text that is empty or contains spaces, quotes, '=' or line breaks is quoted.
	LogEvent &Field(std::string_view inKey, std::string_view inValue);
	/// Adds a text field.
	LogEvent &Field(std::string_view inKey, const char *inValue) { return this->Field(inKey, std::string_view(inValue)); }
	/// Adds a text field.
	LogEvent &Field(std::string_view inKey, const std::string &inValue) { return this->Field(inKey, std::string_view(inValue)); }
	/// Adds a number.
	template <class T>
	requires std::is_arithmetic_v<T> LogEvent &Field(std::string_view inKey, T inValue)
	{
		return this->Field(inKey, std::string_view(std::to_string(inValue)));
	}

private:
	ELogLevel level;
	std::string line;
};

/// Writes an event that has no fields.
inline void LogPlain(ELogLevel inLevel, std::string_view inEvent) { const LogEvent event(inLevel, inEvent); }

/// Destination of a program's log.
enum class ELogTo : uint8
{
	StandardError,
	StandardOutput
};

/// Initializes glog for a program. Writing to standard output never blocks on its reader (see LogStream.h).
void StartLogging(const char *inProgram, ELogTo inTo = ELogTo::StandardError);
/// Writes the buffered lines, as far as the reader accepts them without blocking.
void StopLogging();

} // namespace Loomreach
