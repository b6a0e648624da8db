// Tells other hosts of the ends that a cell's owner has read, before the cell's log holds them. A worker that leaves takes its own list of
// ends with it; without a replica, an owner that is killed in between would be the only one that knew, and the tasks would be done again.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// What an owner tells the hosts that keep replicas. May be lost, doubled or late.
struct EndsUpdate
{
	uint32 cell = 0;
	uint64 epoch = 0;  ///< Of the owner.
	uint64 serial = 0; ///< Of this update: rises from 1 within an epoch. 0: it brings no ends.
	uint64 logged = 0; ///< The log holds the ends of all updates up to this one.
	std::vector<EndReport> reports;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->serial, this->logged, this->reports);
	}
};

/// The owner's side. See EndReplicas for the other one.
class EndReplicator
{
public:
	void Begin(uint32 inCell, uint64 inEpoch);
	/// A worker has listed an end that the log does not hold.
	void Note(const std::string &inWorker, const EndedRow &inRow);
	/// What is to be told now; nothing: there is nothing. Call until there is nothing.
	std::optional<EndsUpdate> Take(Millis inNow);

	/// A series of appends begins that writes all that has been noted until now.
	void BeginWriting();
	/// The append under way is the last of the series.
	void OnWriting() { this->writing = this->to_write; }
	/// The append under way is in the log.
	void OnLogged() { this->logged = this->writing; }

private:
	uint32 cell = 0;
	uint64 epoch = 0;
	std::vector<EndReport> noted; ///< Not told yet.
	uint64 serial = 0;            ///< Of the last update with ends.
	uint64 to_write = 0;          ///< Last update whose ends the series of appends under way will hold,
	uint64 writing = 0;           ///< the same for the append under way,
	uint64 logged = 0;            ///< and for the log as it is.
	uint64 logged_told = 0;       ///< As much of it as the others were told,
	Millis told_at = 0;           ///< and when they last were told anything.
};

} // namespace Loomreach::Jobs
