// Formats structured events and writes them through glog.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Core/LogStream.h>

#include <unistd.h>

#include <glog/logging.h>

namespace Loomreach
{

/// glog sink that prefixes each line with severity and time and writes it to a `LogStream`.
class StreamSink final : public google::LogSink
{
public:
	explicit StreamSink(int inDescriptor) : stream(inDescriptor) {}

	void send(google::LogSeverity inSeverity, const char *, const char *, int, const google::LogMessageTime &inTime, const char *inMessage,
			  size_t inLength) override
	{
		// Day and time of day with microseconds: "I20261202 15:16:18.123456 "
		std::array<char, 32> head;
		const std::tm &day = inTime.tm();
		const int length =
			std::snprintf(head.data(), head.size(), "%c%04d%02d%02d %02d:%02d:%02d.%06d ", google::GetLogSeverityName(inSeverity)[0],
						  day.tm_year + 1900, day.tm_mon + 1, day.tm_mday, day.tm_hour, day.tm_min, day.tm_sec, inTime.usec());
		this->line.assign(head.data(), static_cast<size_t>(std::clamp(length, 0, static_cast<int>(head.size()) - 1)));
		this->line.append(inMessage, inLength);
		this->stream.Write(this->line);
		// The process may end after an error, and the line must not be lost
		if (inSeverity >= google::GLOG_ERROR)
			this->stream.Flush();
	}
	using google::LogSink::send;

	LogStream &Stream() { return this->stream; }

private:
	LogStream stream;
	std::string line; ///< Member so that its allocation is reused.
};

/// glog's severities, in the order of ELogLevel.
static constexpr std::array cSeverities = {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR};

/// Sink of the process; null if glog writes the log itself.
static std::unique_ptr<StreamSink> &ProcessSink()
{
	static std::unique_ptr<StreamSink> sink;
	return sink;
}

LogEvent::LogEvent(ELogLevel inLevel, std::string_view inEvent) : level(inLevel), line("event=") { this->line += inEvent; }

LogEvent::~LogEvent()
{
	// Without a sink, glog writes the line itself
	StreamSink *sink = ProcessSink().get();
	const bool by_glog = sink == nullptr;
	const google::LogSeverity severity = cSeverities[static_cast<size_t>(this->level)];
	google::LogMessage(__FILE__, __LINE__, severity, sink, by_glog).stream() << this->line;
}

LogEvent &LogEvent::Field(std::string_view inKey, std::string_view inValue)
{
	this->line += ' ';
	this->line += inKey;
	this->line += '=';
	const bool plain = !inValue.empty() && inValue.find_first_of(" \"=\n\r\t") == std::string_view::npos;
	if (plain)
	{
		this->line += inValue;
		return *this;
	}
	this->line += '"';
	for (char c : inValue)
	{
		// Control characters become spaces, so that text from a caller cannot start a new log line
		const bool control = static_cast<unsigned char>(c) < ' ';
		if (c == '"' || c == '\\')
			this->line += '\\';
		this->line += control ? ' ' : c;
	}
	this->line += '"';
	return *this;
}

void StartLogging(const char *inProgram, ELogTo inTo)
{
	FLAGS_logtostderr = inTo == ELogTo::StandardError;
	google::InitGoogleLogging(inProgram);
	if (inTo == ELogTo::StandardOutput)
		ProcessSink() = std::make_unique<StreamSink>(STDOUT_FILENO);
}

void StopLogging()
{
	if (ProcessSink() != nullptr)
		ProcessSink()->Stream().Flush();
}

} // namespace Loomreach
