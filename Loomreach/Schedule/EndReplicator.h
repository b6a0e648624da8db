// Replicates the run ends that a cell's owner has read from workers to other hosts, until the cell's log contains them. A worker that
// leaves takes its own list of run ends with it. If the owner is then killed before its append, only a replica preserves the ends; without
// one the tasks would run again.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// Message from an owner to the hosts that keep replicas. May be lost, duplicated or delayed.
struct RunEndsUpdate
{
	uint32 cell = 0;
	uint64 epoch = 0;  ///< Of the owner.
	uint64 serial = 0; ///< Number of the update, counting up from 1 within an epoch; 0: it contains no run ends.
	uint64 logged = 0; ///< The log contains the run ends of all updates up to this serial.
	std::vector<EndReport> reports;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->serial, this->logged, this->reports);
	}
};

/// The sending side, at the owner. RunEndReplicas is the receiving side.
class RunEndReplicator
{
public:
	void Begin(uint32 inCell, uint64 inEpoch);
	/// Adds a run end that a worker has listed and the log does not contain.
	void Add(const std::string &inWorker, const EndedRun &inRow);
	/// The next update to send, or nothing. Call repeatedly until it returns nothing.
	std::optional<RunEndsUpdate> TakeUpdate(Millis inNow);

	/// A series of appends begins that writes all run ends added so far.
	void BeginWriting();
	/// The last append of the series is in progress.
	void OnWriting() { this->writing = this->to_write; }
	/// The append in progress has succeeded.
	void OnLogged() { this->logged = this->writing; }

private:
	uint32 cell = 0;
	uint64 epoch = 0;
	std::vector<EndReport> pending; ///< Not sent yet.
	uint64 serial = 0;              ///< Of the last update with run ends.
	uint64 to_write = 0;            ///< Last update whose ends the current series of appends writes.
	uint64 writing = 0;             ///< Last update whose ends are logged once the append in progress succeeds.
	uint64 logged = 0;              ///< Last update whose ends the log contains.
	uint64 logged_sent = 0;         ///< Value of `logged` in the last update sent.
	Millis sent_at = 0;             ///< When the last update was sent.
};

} // namespace Loomreach::Jobs
