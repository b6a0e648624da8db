// Keys of queues and the register of the cells that take their jobs.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Schedule/QueueMoves.h>

namespace Loomreach::Jobs
{

std::vector<uint32> QueueSearch::TakeCells()
{
	std::vector<uint32> cells;
	for (const uint32 cell : std::exchange(this->to_ask, {}))
		if (this->asked.insert(cell).second)
			cells.push_back(cell);
	return cells;
}

void QueueSearch::OnAnswer(bool inSure, const QueueStatus &inStatus)
{
	this->all_sure = this->all_sure && inSure;
	this->newest_version = std::max(this->newest_version, inStatus.version);
	if (inStatus.current)
		this->current_version = std::max(this->current_version, inStatus.version);
	this->to_ask.insert(inStatus.others.begin(), inStatus.others.end());
}

/// Not a possible start of a host's name.
static constexpr std::string_view cSiteKeyPrefix = "/queue/";

QueueKey KeyOf(const Queue &inQueue) { return HashBytes(inQueue.prefix, HashBytes(inQueue.host)); }

std::string QueueRegistry::LogKey(const QueueSite &inSite)
{
	return std::string(cSiteKeyPrefix) + std::to_string(inSite.queue) + "/" + std::to_string(inSite.cell);
}

bool QueueRegistry::IsLogKey(std::string_view inKey) { return inKey.starts_with(cSiteKeyPrefix); }

void QueueRegistry::Add(const QueueSite &inSite)
{
	const auto [known, is_new] = this->sites[inSite.queue].try_emplace(inSite.cell, inSite);
	if (!is_new && inSite.version <= known->second.version)
		return;
	known->second = inSite;
	this->cells.insert(inSite.cell);
	++this->revision;
}

bool QueueRegistry::Contains(const QueueSite &inSite) const
{
	auto queue = this->sites.find(inSite.queue);
	return queue != this->sites.end() && queue->second.contains(inSite.cell);
}

std::vector<QueueSite> QueueRegistry::SitesOf(QueueKey inQueue) const
{
	std::vector<QueueSite> found;
	if (auto queue = this->sites.find(inQueue); queue != this->sites.end())
		for (const auto &[cell, site] : queue->second)
			found.push_back(site);
	return found;
}

} // namespace Loomreach::Jobs
