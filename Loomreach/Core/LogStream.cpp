// Buffers log lines and writes them without blocking.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogStream.h>

#include <poll.h>
#include <unistd.h>

namespace Loomreach
{

void LogStream::Write(std::string_view inLine)
{
	if (this->buffer.size() + inLine.size() + 1 > this->max_bytes)
	{
		++this->dropped;
		return;
	}
	this->buffer += inLine;
	this->buffer += '\n';
	if (this->buffer.size() >= cFlushBytes && !this->reader_is_behind)
		this->Flush();
	if (!this->buffer.empty() && !this->timer.IsRunning())
		this->timer.Once(cFlushMs, [this] { this->Flush(); });
}

bool LogStream::IsWritable() const
{
	pollfd waited{this->descriptor, POLLOUT, 0};
	return poll(&waited, 1, 0) == 1 && (waited.revents & POLLOUT) != 0;
}

void LogStream::AppendDroppedCount()
{
	if (this->reported_dropped == this->dropped || this->buffer.size() + cChunkBytes > this->max_bytes)
		return;
	this->buffer += "event=log_lines_dropped lines=" + std::to_string(this->dropped - this->reported_dropped) + "\n";
	this->reported_dropped = this->dropped;
}

void LogStream::Flush()
{
	size_t done = 0;
	while (done < this->buffer.size() && this->IsWritable())
	{
		const size_t bytes = std::min(cChunkBytes, this->buffer.size() - done);
		const ssize_t written = write(this->descriptor, this->buffer.data() + done, bytes);
		// The reader has closed the descriptor: the buffer is kept, and lines beyond its limit are dropped and counted
		if (written <= 0)
			break;
		done += static_cast<size_t>(written);
	}
	this->buffer.erase(0, done);
	this->reader_is_behind = !this->buffer.empty();
	this->AppendDroppedCount();
	if (!this->buffer.empty() && !this->timer.IsRunning())
		this->timer.Once(cFlushMs, [this] { this->Flush(); });
}

} // namespace Loomreach
