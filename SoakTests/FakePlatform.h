// Fakes at the interfaces for the soak: the log with its faults, and workers that count what they begin and what is cut.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/State/Fold.h>

namespace Loomreach
{

/// The log service. Appends take effect in order; answers may be lost, late, or refused.
class FakeLog
{
public:
	/// One stream.
	struct Stream
	{
		LogOffset first = 0;
		std::vector<std::string> records; ///< All ever appended; those before `first` can't be read any more.
		LogOffset Next() const { return this->records.size(); }
	};

	Stream records;
	Stream snapshots;
	bool down = false;
	uint32 lose_percent = 0;

	/// Appends. False when no answer comes back, whether or not it took effect.
	bool Append(Stream &ioStream, std::string inBytes, Random &ioRandom)
	{
		if (this->down)
			return false;
		ioStream.records.push_back(std::move(inBytes));
		return !ioRandom.Chance(this->lose_percent);
	}

	/// Takes away all but the last records of a stream.
	static void Retain(Stream &ioStream, LogOffset inKeep)
	{
		if (ioStream.Next() > inKeep)
			ioStream.first = std::max(ioStream.first, ioStream.Next() - inKeep);
	}
};

/// One worker as the soak plays it.
struct FakeWorker
{
	HostSpec spec;
	std::string pool;
	bool up = true;
	bool fails_tasks = false;
	bool accepts = true;
	uint64 boot = 1;
	uint32 in_flight = 0;
	uint64 rebooted_at = 0; ///< Step at which it went down for its reboot; 0: not.
	LogOffset order_offset = 0;
	std::map<ReplicaKey, TaskReport> tasks;
};

} // namespace Loomreach
