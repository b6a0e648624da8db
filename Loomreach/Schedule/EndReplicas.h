// Replicas of run ends that owners of cells on other hosts have read and not logged yet. If such an owner is lost, the hosts with a replica
// submit the ends to the cell's inbox, where the next owner reads them.

#pragma once

#include <Loomreach/Schedule/EndReplicator.h>

namespace Loomreach::Jobs
{

/// Run ends whose owner can no longer log or submit them.
struct OrphanedRunEnds
{
	uint32 cell = 0;
	EndReport report;
};

/// The receiving side. RunEndReplicator is the sending side, at the owner.
class RunEndReplicas
{
public:
	/// Whether the owner of a cell with this epoch has certainly stopped acting.
	using HasStopped = std::function<bool(uint32 inCell, uint64 inEpoch)>;

	/// Stores an update, and drops those whose run ends the owner has logged.
	void OnUpdate(RunEndsUpdate inUpdate, Millis inNow);
	/// Removes and returns the run ends of owners that have stopped.
	std::vector<OrphanedRunEnds> TakeOrphans(const HasStopped &inHasStopped, Millis inNow);
	/// Number of stored updates.
	size_t Size() const { return this->updates.size(); }

private:
	/// An update and its time of arrival.
	struct StoredUpdate
	{
		RunEndsUpdate update;
		Millis received_at = 0;
	};

	std::deque<StoredUpdate> updates; ///< Invariant: in order of arrival.
};

} // namespace Loomreach::Jobs
