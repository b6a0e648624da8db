// Writes structured events through glog.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>

#include <cstdio>

#include <glog/logging.h>

namespace Loomreach
{

LogEvent::LogEvent(ELogLevel inLevel, std::string_view inEvent) : level(inLevel), line("event=") { this->line += inEvent; }

LogEvent::~LogEvent()
{
	switch (this->level)
	{
	case ELogLevel::Info: LOG(INFO) << this->line; break;
	case ELogLevel::Warning: LOG(WARNING) << this->line; break;
	case ELogLevel::Error: LOG(ERROR) << this->line; break;
	}
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
		// A log line stays one line, whatever a caller sends
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
	FLAGS_logtostdout = inTo == ELogTo::StandardOutput;
	// Line by line: what is still buffered is lost when the process is killed
	if (inTo == ELogTo::StandardOutput)
		setvbuf(stdout, nullptr, _IOLBF, 0);
	google::InitGoogleLogging(inProgram);
}

} // namespace Loomreach
