// Selection of the hosts to ask.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/HelperSearch.h>

namespace Loomreach::Jobs
{

std::vector<Address> HelperSearch::HostsToAsk(const std::vector<Address> &inHosts, Millis inNow)
{
	if (inHosts.empty() || inNow - this->asked_at < cAskIntervalMs)
		return {};
	this->asked_at = inNow;
	// Hosts that recently reached the store are asked in every round
	std::vector<Address> to_ask = this->Reaching(inNow);
	to_ask.resize(std::min(to_ask.size(), cAskPerRound));
	for (size_t i = 0; i < std::min(cAskPerRound, inHosts.size()); ++i)
	{
		const Address &host = inHosts[this->next_host++ % inHosts.size()];
		if (std::find(to_ask.begin(), to_ask.end(), host) == to_ask.end())
			to_ask.push_back(host);
	}
	return to_ask;
}

void HelperSearch::OnAnswer(const Address &inHost, bool inReachesStore, Millis inNow)
{
	if (inReachesStore)
		this->reached[inHost] = inNow;
	else
		this->reached.erase(inHost);
}

std::vector<Address> HelperSearch::Reaching(Millis inNow) const
{
	std::vector<std::pair<Millis, Address>> by_age;
	for (const auto &[host, at] : this->reached)
		if (inNow - at <= cReachedValidMs)
			by_age.emplace_back(-at, host);
	std::sort(by_age.begin(), by_age.end());
	std::vector<Address> known;
	known.reserve(by_age.size());
	for (const auto &[at, host] : by_age)
		known.push_back(host);
	return known;
}

} // namespace Loomreach::Jobs
