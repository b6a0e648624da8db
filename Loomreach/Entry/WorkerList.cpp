// Decides which entries of the log count.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Entry/WorkerList.h>

namespace Loomreach::Jobs
{

bool WorkerList::Take(const std::string &inId, std::optional<WorkerEntry> inEntry, int64 inWallMs)
{
	if (!inEntry.has_value())
		return false;
	// It would outrank the worker's own entries for as long as the worker runs
	if (inEntry->started_ms > inWallMs + cMaxClockLeadMs)
		return FailFalse(EError::Corrupt, "worker " + inId + " starts in the future, at " + std::to_string(inEntry->started_ms));
	// Entries of two incarnations may be written in any order
	auto known = this->entries.find(inId);
	if (known != this->entries.end() && IsStartedAfter(known->second.started_ms, inEntry->started_ms))
		return true;
	this->entries.insert_or_assign(inId, std::move(*inEntry));
	return true;
}

std::vector<WorkerEntry> WorkerList::All() const
{
	std::vector<WorkerEntry> all;
	all.reserve(this->entries.size());
	for (const auto &[id, entry] : this->entries)
		all.push_back(entry);
	return all;
}

} // namespace Loomreach::Jobs
