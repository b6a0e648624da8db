// Finds helpers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/HelperSearch.h>

namespace Loomreach::Jobs
{

std::vector<Address> HelperSearch::ToAsk(const std::vector<Address> &inHosts, Millis inNow)
{
	if (inHosts.empty() || inNow - this->asked_at < cAskEveryMs)
		return {};
	this->asked_at = inNow;
	// Who helped a moment ago is asked every time
	std::vector<Address> ask = this->Known(inNow);
	ask.resize(std::min(ask.size(), cAskAtOnce));
	for (size_t i = 0; i < std::min(cAskAtOnce, inHosts.size()); ++i)
	{
		const Address &host = inHosts[this->next++ % inHosts.size()];
		if (std::find(ask.begin(), ask.end(), host) == ask.end())
			ask.push_back(host);
	}
	return ask;
}

void HelperSearch::OnAnswer(const Address &inHost, bool inReachesStore, Millis inNow)
{
	if (inReachesStore)
		this->reached[inHost] = inNow;
	else
		this->reached.erase(inHost);
}

std::vector<Address> HelperSearch::Known(Millis inNow) const
{
	std::vector<std::pair<Millis, Address>> order;
	for (const auto &[host, at] : this->reached)
		if (inNow - at <= cKnownForMs)
			order.emplace_back(-at, host);
	std::sort(order.begin(), order.end());
	std::vector<Address> known;
	known.reserve(order.size());
	for (const auto &[at, host] : order)
		known.push_back(host);
	return known;
}

} // namespace Loomreach::Jobs
