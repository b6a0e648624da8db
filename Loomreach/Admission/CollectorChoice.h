// Which host appends to an inbox for all others while the store is slow, and which hosts follow if it fails. No I/O.
//
// Failure answered here: the collector is killed, frozen or cut off. All hosts then turn to the same next host without communication, so
// that the partition still gets the calls of one host and not of all.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// An entry host as a possible collector.
struct CollectorHost
{
	std::string name;
	Address address;
	bool is_self = false;       ///< This host: it appends by its own writer.
	bool is_owner = false;      ///< The last known owner of the cell.
	bool is_live = true;        ///< Whether its heartbeats are current.
	bool reaches_store = false; ///< It recently confirmed that it reaches the store.
	uint64 incarnation = 0;     ///< Its process, as in its heartbeats; 0: not known.
};

/// Orders the candidates, and skips those that failed.
class CollectorChoice
{
public:
	/// Most candidates that are tried for one record.
	static constexpr size_t cMaxTried = 4;

	/// The candidates of a cell in order, without those that are skipped now: the owner, then hosts that reach the store, then live hosts,
	/// then the others; within each group by the rendezvous hash of cell and host name.
	std::vector<CollectorHost> Candidates(uint32 inCell, const std::vector<CollectorHost> &inHosts, Millis inNow) const;
	/// A host did not acknowledge a request, or was silent after it had.
	void OnSilent(const Address &inHost, Millis inNow) { this->skipped_until[inHost] = inNow + cSkipSilentMs; }
	/// A host reported that it cannot reach the store.
	void OnCannotReachStore(const Address &inHost, Millis inNow) { this->skipped_until[inHost] = inNow + cSkipUnreachingMs; }
	bool IsSkipped(const Address &inHost, Millis inNow) const;

private:
	static constexpr Millis cSkipSilentMs = 1000; ///< Long enough that few records wait for a dead host, short after a datagram was lost.
	static constexpr Millis cSkipUnreachingMs = 500; ///< It answers at once, so that asking it again costs little.

	std::map<Address, Millis> skipped_until;
};

} // namespace Loomreach::Jobs
