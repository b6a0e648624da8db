// Which other entry hosts reach the store while this one does not. Known before a caller's record is handed to one of them: a helper that
// gives no answer leaves the caller in doubt. Pure.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class HelperSearch
{
public:
	/// Of the hosts given, those to ask now whether they reach the store: a few at a time, each in its turn.
	std::vector<Address> ToAsk(const std::vector<Address> &inHosts, Millis inNow);
	/// A host answered.
	void OnAnswer(const Address &inHost, bool inReachesStore, Millis inNow);
	/// Hosts that reached the store a moment ago, the latest first.
	std::vector<Address> Known(Millis inNow) const;

private:
	static constexpr Millis cAskEveryMs = 200; ///< A question and its answer are two datagrams.
	static constexpr size_t cAskAtOnce = 3;    ///< Hosts fail together by zones; a third of them in the worst of the users' outages.
	static constexpr Millis cKnownForMs = 700; ///< Three rounds of questions may be lost.

	std::map<Address, Millis> reached; ///< When each host last said that it reaches the store.
	Millis asked_at = std::numeric_limits<Millis>::min() / 2;
	size_t next = 0; ///< Place in the list of hosts where the next round begins.
};

} // namespace Loomreach::Jobs
