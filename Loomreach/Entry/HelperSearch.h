// Finds other entry hosts that reach the store while this one does not. They are found before a caller's record is handed to one of them,
// since a helper that does not answer leaves the outcome unknown. No I/O.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Keeps track of the hosts that reach the store.
class HelperSearch
{
public:
	/// Selects the hosts to ask now whether they reach the store: a few at a time, in rotation.
	std::vector<Address> HostsToAsk(const std::vector<Address> &inHosts, Millis inNow);
	/// Handles a host's answer.
	void OnAnswer(const Address &inHost, bool inReachesStore, Millis inNow);
	/// Hosts that recently confirmed that they reach the store, the most recent first.
	std::vector<Address> Reaching(Millis inNow) const;

private:
	static constexpr Millis cAskIntervalMs = 200; ///< A question and its answer are two datagrams.
	static constexpr size_t cAskPerRound = 3; ///< Hosts of a zone fail together; in the worst expected outage that is a third of all hosts.
	static constexpr Millis cReachedValidMs = 700; ///< Up to three rounds of questions may be lost.

	std::map<Address, Millis> reached; ///< When each host last confirmed that it reaches the store.
	Millis asked_at = std::numeric_limits<Millis>::min() / 2;
	size_t next_host = 0; ///< Index of the host at which the next round begins.
};

} // namespace Loomreach::Jobs
