// Computes which jobs back off, and until when.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/JobBackoff.h>

namespace Loomreach
{

static constexpr Millis cFirstJobBackoffMs = 5000;
static constexpr Millis cMaxJobBackoffMs = 300'000;
static constexpr uint32 cMaxDoublings = 6;

std::set<std::string> JobBackoff::Waiting(const FleetState &inState, Millis inNow)
{
	std::set<std::string> waiting;
	std::erase_if(this->entries, [&inState](const auto &inEntry) { return inState.history.count(inEntry.first) == 0; });
	for (const auto &[job, history] : inState.history)
	{
		if (history.failed_hosts.size() < cBackoffHosts)
		{
			this->entries.erase(job);
			continue;
		}
		Entry &entry = this->entries[job];
		if (entry.last_failure != history.last_failure)
		{
			entry.last_failure = history.last_failure;
			entry.until = inNow + std::min(cMaxJobBackoffMs, cFirstJobBackoffMs << std::min(entry.failures, cMaxDoublings));
			++entry.failures;
		}
		if (inNow < entry.until)
			waiting.insert(job);
	}
	return waiting;
}

} // namespace Loomreach
