// Replicas of ends that other hosts' cells have read and not logged yet. Should such an owner go, whoever keeps a replica hands the ends in
// to the cell's inbox, where its next owner reads them.

#pragma once

#include <Loomreach/Schedule/EndReplicator.h>

namespace Loomreach::Jobs
{

/// A report that its owner can hand in no more.
struct OrphanedEnds
{
	uint32 cell = 0;
	EndReport report;
};

/// The side that keeps replicas. See EndReplicator for the owner's.
class EndReplicas
{
public:
	/// Whether an owner of a cell, named by its epoch, must have stopped acting.
	using IsGone = std::function<bool(uint32 inCell, uint64 inEpoch)>;

	/// An owner told of ends, or of what the log holds now.
	void OnUpdate(EndsUpdate inUpdate, Millis inNow);
	/// Takes out what owners that are gone have told.
	std::vector<OrphanedEnds> TakeOrphans(const IsGone &inIsGone, Millis inNow);
	/// How many updates are kept.
	size_t Size() const { return this->kept.size(); }

private:
	/// An update and when it came.
	struct Kept
	{
		EndsUpdate update;
		Millis at = 0;
	};

	std::deque<Kept> kept; ///< Invariant: in the order in which they came.
};

} // namespace Loomreach::Jobs
