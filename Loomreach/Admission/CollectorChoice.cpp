// Order of the candidates.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/CollectorChoice.h>
#include <Loomreach/Core/Hash.h>

namespace Loomreach::Jobs
{

bool CollectorChoice::IsSkipped(const Address &inHost, Millis inNow) const
{
	auto skipped = this->skipped_until.find(inHost);
	return skipped != this->skipped_until.end() && inNow < skipped->second;
}

std::vector<CollectorHost> CollectorChoice::Candidates(uint32 inCell, const std::vector<CollectorHost> &inHosts, Millis inNow) const
{
	const std::string key = std::to_string(inCell);
	// Smaller ranks first: group, then descending rendezvous weight, then name
	std::vector<std::tuple<int, uint64, std::string_view, const CollectorHost *>> ranked;
	for (const CollectorHost &host : inHosts)
	{
		if (this->IsSkipped(host.address, inNow))
			continue;
		int group = host.is_live ? 2 : 3;
		if (host.reaches_store)
			group = 1;
		if (host.is_owner)
			group = 0;
		ranked.emplace_back(group, ~RendezvousWeight(key, host.name), host.name, &host);
	}
	// Those that a record has already tried are passed over, so twice their number is enough
	const size_t count = std::min(ranked.size(), 2 * cMaxTried);
	std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
	std::vector<CollectorHost> candidates;
	candidates.reserve(count);
	for (size_t i = 0; i < count; ++i)
		candidates.push_back(*std::get<3>(ranked[i]));
	return candidates;
}

} // namespace Loomreach::Jobs
