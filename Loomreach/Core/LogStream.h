// The way of log lines out of a process that must not wait for whoever reads them: a bounded buffer, written when the descriptor takes it.

#pragma once

#include <Loomreach/Core/GlibHandle.h>

namespace Loomreach
{

/// See the head of the file. Lines that come while the buffer is full are counted and told of once there is room.
class LogStream
{
public:
	/// Bytes kept for a reader that is behind: a second or two of the busiest owner's lines.
	static constexpr size_t cMostBytes = size_t{512} * 1024;

	explicit LogStream(int inDescriptor, size_t inMostBytes = cMostBytes) : descriptor(inDescriptor), most_bytes(inMostBytes) {}

	/// Takes a line, without its end. Never waits.
	void Write(std::string_view inLine);
	/// Writes as much as the descriptor takes now. Never waits.
	void Flush();
	/// Lines that found no room.
	uint64 Dropped() const { return this->dropped; }

private:
	/// What a pipe that is ready takes without waiting (POSIX).
	static constexpr size_t cChunkBytes = 4096;
	/// Lines that come together leave together; what a killed process had not yet written is at most this old.
	static constexpr Millis cFlushMs = 20;
	static constexpr size_t cFlushBytes = size_t{32} * 1024; ///< So much leaves at once.

	/// Whether the descriptor takes a chunk.
	bool IsReady() const;
	void AddDropped();

	int descriptor;
	size_t most_bytes;
	std::string buffer;
	uint64 dropped = 0;
	uint64 told = 0;     ///< Of the dropped lines.
	bool behind = false; ///< The reader did not take all at the last look.
	Timer timer;
};

} // namespace Loomreach
