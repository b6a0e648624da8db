// Non-blocking output of log lines. A slow reader of the log must not block the process, so lines go into a bounded buffer, which is
// written when the descriptor accepts data.

#pragma once

#include <Loomreach/Core/GlibHandle.h>

namespace Loomreach
{

/// Lines added while the buffer is full are dropped; their number is logged once there is space again.
class LogStream
{
public:
	/// Buffer limit, bytes: enough for one to two seconds of the busiest cell owner's lines while the reader is behind.
	static constexpr size_t cMaxBytes = size_t{512} * 1024;

	explicit LogStream(int inDescriptor, size_t inMaxBytes = cMaxBytes) : descriptor(inDescriptor), max_bytes(inMaxBytes) {}

	/// Adds a line, given without its line break. Never blocks.
	void Write(std::string_view inLine);
	/// Writes as much as the descriptor accepts now. Never blocks.
	void Flush();
	/// Number of lines dropped because the buffer was full.
	uint64 Dropped() const { return this->dropped; }

private:
	/// Bytes that a pipe reported as writable accepts without blocking (PIPE_BUF of Linux).
	static constexpr size_t cChunkBytes = 4096;
	/// Time for which lines are collected into one write. A process that is killed loses at most the lines of this time.
	static constexpr Millis cFlushMs = 20;
	static constexpr size_t cFlushBytes = size_t{32} * 1024; ///< At this size the buffer is written without waiting for the timer.

	/// Whether the descriptor accepts a chunk without blocking.
	bool IsWritable() const;
	void AppendDroppedCount();

	int descriptor;
	size_t max_bytes;
	std::string buffer;
	uint64 dropped = 0;
	uint64 reported_dropped = 0;   ///< Dropped lines that the log already reports.
	bool reader_is_behind = false; ///< The last flush could not write the whole buffer.
	Timer timer;
};

} // namespace Loomreach
