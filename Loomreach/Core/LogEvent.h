// Structured logging: one glog line an event, written as key=value pairs in the order in which they are given.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// How loud an event is; mapped onto glog's severities.
enum class ELogLevel : uint8
{
	Info,
	Warning,
	Error
};

/// One event. Fields are added by chaining; the line is written when the object goes out of scope.
class LogEvent
{
public:
	LogEvent(ELogLevel inLevel, std::string_view inEvent);
	~LogEvent();
	LogEvent(const LogEvent &) = delete;
	LogEvent &operator=(const LogEvent &) = delete;

	/// Adds a text field; text with spaces or quotes is quoted.
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

/// Where a program's log goes.
enum class ELogTo : uint8
{
	StandardError,
	StandardOutput
};

/// Starts glog for a program. On standard output a line never waits for its reader (LogStream.h).
void StartLogging(const char *inProgram, ELogTo inTo = ELogTo::StandardError);
/// Writes what is still buffered, as far as it is taken.
void StopLogging();

} // namespace Loomreach
