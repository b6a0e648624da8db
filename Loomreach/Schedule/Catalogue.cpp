// Finds the queue for a caller's request.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

const Queue *Catalogue::Find(std::string_view inHost, std::string_view inPath) const
{
	const Queue *best = nullptr;
	for (const Queue &queue : this->queues)
	{
		const bool host_fits = queue.host.empty() || queue.host == inHost;
		if (!host_fits || !inPath.starts_with(queue.prefix))
			continue;
		if (best == nullptr || queue.prefix.size() > best->prefix.size())
			best = &queue;
	}
	return best;
}

} // namespace Loomreach::Jobs
