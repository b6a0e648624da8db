// Fakes for the soak test: the log service with its faults, and workers with requests in flight.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/State/Fold.h>

namespace Loomreach
{

/// The log service. Appends take effect in order; their answers may be lost, and the service may be down.
class FakeLog
{
public:
	/// One stream.
	struct Stream
	{
		LogOffset first = 0;
		std::vector<std::string> records; ///< All records ever appended; those before `first` can no longer be read.
		LogOffset Next() const { return this->records.size(); }
	};

	Stream records;
	Stream snapshots;
	bool down = false;
	uint32 lost_answer_percent = 0;

	/// Appends a record. False if no answer arrives, whether or not the append took effect.
	bool Append(Stream &ioStream, std::string inBytes, Random &ioRandom)
	{
		if (this->down)
			return false;
		ioStream.records.push_back(std::move(inBytes));
		return !ioRandom.Chance(this->lost_answer_percent);
	}

	/// Makes all but the last `inKeep` records of a stream unreadable, as retention does.
	static void Retain(Stream &ioStream, LogOffset inKeep)
	{
		if (ioStream.Next() > inKeep)
			ioStream.first = std::max(ioStream.first, ioStream.Next() - inKeep);
	}
};

/// A worker of the soak test.
struct FakeWorker
{
	HostSpec spec;
	std::string pool;
	bool up = true;
	bool fails_tasks = false;
	bool accepts = true;
	uint64 boot = 1;
	uint32 in_flight = 0;
	uint64 rebooted_at = 0; ///< Step at which its reboot began; 0: it is not rebooting.
	LogOffset order_offset = 0;
	std::map<ReplicaKey, TaskReport> tasks;
};

} // namespace Loomreach
