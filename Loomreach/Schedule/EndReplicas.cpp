// Keeps replicas for a bounded time, and a bounded number of them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/EndReplicas.h>

namespace Loomreach::Jobs
{

/// A replica is dropped after this: an append that takes longer outlasts its owner's lease, and the owner hands in by itself.
static constexpr Millis cKeepMs = 20000;
/// Updates kept at most; the oldest goes first.
static constexpr size_t cMostKept = 2000;

void EndReplicas::OnUpdate(EndsUpdate inUpdate, Millis inNow)
{
	// Its owner has logged these since
	std::erase_if(this->kept,
				  [&inUpdate](const Kept &inKept)
				  {
					  const EndsUpdate &older = inKept.update;
					  return older.cell == inUpdate.cell && older.epoch == inUpdate.epoch && older.serial <= inUpdate.logged;
				  });
	if (inUpdate.serial == 0 || inUpdate.reports.empty())
		return;
	if (this->kept.size() >= cMostKept)
	{
		LogEvent(ELogLevel::Warning, "ends_replica_dropped")
			.Field("cell", this->kept.front().update.cell)
			.Field("epoch", this->kept.front().update.epoch)
			.Field("kept", this->kept.size());
		this->kept.pop_front();
	}
	this->kept.push_back({std::move(inUpdate), inNow});
}

std::vector<OrphanedEnds> EndReplicas::TakeOrphans(const IsGone &inIsGone, Millis inNow)
{
	while (!this->kept.empty() && inNow - this->kept.front().at > cKeepMs)
		this->kept.pop_front();
	std::vector<OrphanedEnds> orphans;
	std::map<std::pair<uint32, uint64>, bool> gone;
	for (Kept &replica : this->kept)
	{
		const EndsUpdate &update = replica.update;
		const auto [known, is_new] = gone.try_emplace({update.cell, update.epoch}, false);
		if (is_new)
			known->second = inIsGone(update.cell, update.epoch);
		if (!known->second)
			continue;
		for (EndReport &report : replica.update.reports)
			orphans.push_back({update.cell, std::move(report)});
	}
	std::erase_if(this->kept, [&gone](const Kept &inKept) { return gone.at({inKept.update.cell, inKept.update.epoch}); });
	return orphans;
}

} // namespace Loomreach::Jobs
