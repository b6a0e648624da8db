// Writes log lines without waiting.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogStream.h>

#include <poll.h>
#include <unistd.h>

namespace Loomreach
{

void LogStream::Write(std::string_view inLine)
{
	if (this->buffer.size() + inLine.size() + 1 > this->most_bytes)
	{
		++this->dropped;
		return;
	}
	this->buffer += inLine;
	this->buffer += '\n';
	if (this->buffer.size() >= cFlushBytes && !this->behind)
		this->Flush();
	if (!this->buffer.empty() && !this->timer.IsRunning())
		this->timer.Once(cFlushMs, [this] { this->Flush(); });
}

bool LogStream::IsReady() const
{
	pollfd waited{this->descriptor, POLLOUT, 0};
	return poll(&waited, 1, 0) == 1 && (waited.revents & POLLOUT) != 0;
}

void LogStream::AddDropped()
{
	if (this->told == this->dropped || this->buffer.size() + cChunkBytes > this->most_bytes)
		return;
	this->buffer += "event=log_lines_dropped lines=" + std::to_string(this->dropped - this->told) + "\n";
	this->told = this->dropped;
}

void LogStream::Flush()
{
	size_t done = 0;
	while (done < this->buffer.size() && this->IsReady())
	{
		const size_t bytes = std::min(cChunkBytes, this->buffer.size() - done);
		const ssize_t written = write(this->descriptor, this->buffer.data() + done, bytes);
		// Nobody will ever read: what is buffered stays, new lines are counted
		if (written <= 0)
			break;
		done += static_cast<size_t>(written);
	}
	this->buffer.erase(0, done);
	this->behind = !this->buffer.empty();
	this->AddDropped();
	if (!this->buffer.empty() && !this->timer.IsRunning())
		this->timer.Once(cFlushMs, [this] { this->Flush(); });
}

} // namespace Loomreach
