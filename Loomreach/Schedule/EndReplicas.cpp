// Stores replicas, limited in age and in number.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/EndReplicas.h>

namespace Loomreach::Jobs
{

/// Age after which a replica is dropped. An append that takes longer outlasts its owner's lease, and that owner then submits the run ends
/// to the inbox itself.
static constexpr Millis cRetentionMs = 20000;
/// Limit of stored updates; beyond it the oldest is dropped.
static constexpr size_t cMaxUpdates = 2000;

void RunEndReplicas::OnUpdate(RunEndsUpdate inUpdate, Millis inNow)
{
	// The owner has logged these since
	std::erase_if(this->updates,
				  [&inUpdate](const StoredUpdate &inStored)
				  {
					  const RunEndsUpdate &older = inStored.update;
					  return older.cell == inUpdate.cell && older.epoch == inUpdate.epoch && older.serial <= inUpdate.logged;
				  });
	if (inUpdate.serial == 0 || inUpdate.reports.empty())
		return;
	if (this->updates.size() >= cMaxUpdates)
	{
		LogEvent(ELogLevel::Warning, "ends_replica_dropped")
			.Field("cell", this->updates.front().update.cell)
			.Field("epoch", this->updates.front().update.epoch)
			.Field("kept", this->updates.size());
		this->updates.pop_front();
	}
	this->updates.push_back({std::move(inUpdate), inNow});
}

std::vector<OrphanedRunEnds> RunEndReplicas::TakeOrphans(const HasStopped &inHasStopped, Millis inNow)
{
	while (!this->updates.empty() && inNow - this->updates.front().received_at > cRetentionMs)
		this->updates.pop_front();
	std::vector<OrphanedRunEnds> orphans;
	std::map<std::pair<uint32, uint64>, bool> stopped;
	for (StoredUpdate &replica : this->updates)
	{
		const RunEndsUpdate &update = replica.update;
		const auto [found, is_new] = stopped.try_emplace({update.cell, update.epoch}, false);
		if (is_new)
			found->second = inHasStopped(update.cell, update.epoch);
		if (!found->second)
			continue;
		for (EndReport &report : replica.update.reports)
			orphans.push_back({update.cell, std::move(report)});
	}
	std::erase_if(this->updates,
				  [&stopped](const StoredUpdate &inStored) {
					  return stopped.at({inStored.update.cell, inStored.update.epoch});
				  });
	return orphans;
}

} // namespace Loomreach::Jobs
