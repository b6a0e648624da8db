// Decides how many hosts each pool should have, and which host moves to which pool. Pure: does no I/O, time is passed in; the owner of
// the fleet cell drives it.
//
// A host moves only while the owner of its pool has granted that it stays drained, or when its pool is spare. Hosts that no pool needs go
// to the spare pool: a host in any other pool costs by the second, and a move costs about as much as one second.

#pragma once

#include <Loomreach/Fleet/Upkeep.h>
#include <Loomreach/Schedule/Catalogue.h>
#include <Loomreach/Schedule/PoolDemand.h>

namespace Loomreach::Jobs
{

/// Parameters of the balancer.
struct BalanceTuning
{
	int64 headroom_percent = 115;   ///< A pool gets this percentage of its demand, to allow for growth during the time that a move takes.
	uint32 margin = 1;              ///< Hosts added to that, for the loss of a host.
	uint32 slack = 1;               ///< Surplus of hosts that a pool keeps before it gives any up.
	Millis fresh_ms = 1500;         ///< A demand older than this is ignored.
	Millis grant_trusted_ms = 1000; ///< A drain grant is relied on for this long after the owner of the pool was asked.
	/// A host that was ordered to move counts for the other pool for this long, until the list shows it there.
	Millis moving_ms = 4000;
};

/// Balances hosts over pools; see the head of the file.
class PoolBalancer
{
public:
	explicit PoolBalancer(const BalanceTuning &inTuning) : tuning(inTuning) {}

	void SetPools(const Catalogue &inCatalogue) { this->pools = inCatalogue.pools; }
	/// Sets the evacuated availability zones: their hosts take no work, so they neither count for a pool nor move.
	void SetEvacuated(const std::set<std::string> &inZones) { this->evacuated = inZones; }
	/// Sets the host list. `inBusy`: hosts that a wave is about to take down.
	void SetHosts(const std::vector<HostEntry> &inHosts, const std::set<std::string> &inBusy, Millis inNow);
	/// Sets the hosts that a wave is about to take down, also between two updates of the list.
	void SetBusy(std::set<std::string> inBusy) { this->busy = std::move(inBusy); }
	/// Hosts that were ordered to move and that the list does not show in their new pool yet.
	std::set<std::string> Moving() const;
	/// Call when the owner of a pool has answered a question that was asked at `inAskedAt`.
	void OnDemand(const std::string &inPool, const PoolDemand &inDemand, Millis inAskedAt);
	/// Pools to ask, and how many workers each should drain and grant.
	std::vector<std::pair<std::string, uint32>> PoolsToAsk(Millis inNow) const;
	/// Pools that cannot spare a host.
	std::set<std::string> PoolsInDeficit(Millis inNow) const;
	/// Orders of moves to send now.
	std::vector<HostOrder> TakeMoves(Millis inNow);
	/// Call with the outcome of an ordered move.
	void OnMove(const HostOrder &inOrder, EHostOrderResult inResult, Millis inNow);
	/// Hosts whose ordered move has an unknown outcome and may still happen: their workers are to stay drained.
	std::vector<HostEntry> UncertainMoves() const;

private:
	/// The latest demand of a pool.
	struct KnownDemand
	{
		PoolDemand demand;
		Millis asked_at = 0;
	};
	/// A host that was ordered to move.
	struct Move
	{
		std::string to;
		Millis since = 0;
		bool done = false; ///< The platform has confirmed the move.
	};
	/// Which jobs count towards the demand.
	enum class EDemandScope : uint8
	{
		InTime, ///< Jobs that can be in time.
		All     ///< Late jobs as well.
	};
	/// Number of hosts of a pool that can take its work, and of hosts that it should have.
	struct PoolSize
	{
		int64 current = 0;
		int64 wanted = 0;

		bool operator==(const PoolSize &) const = default;
	};
	/// Sizes of the pools whose demand is known.
	std::map<std::string, PoolSize> Sizes(EDemandScope inScope, Millis inNow) const;
	/// Hosts that each pool lacks (above 0) or has too many (below 0), for pools whose demand is known.
	std::map<std::string, int64> Deficits(EDemandScope inScope, Millis inNow) const;
	/// Logs the sizes that have changed, to explain moves of hosts.
	void LogSizes(Millis inNow);
	/// Orders moves to the pools that lack hosts, from spare pools first, then from pools with too many.
	void FillDeficits(std::map<std::string, int64> &ioDeficits, Millis inNow, std::vector<HostOrder> &outOrders);
	/// Orders a move. `inNotAfter`: end of the drain grant; 0: none is needed.
	void OrderMove(const HostEntry &inHost, const std::string &inTo, Millis inNow, Millis inNotAfter, std::vector<HostOrder> &outOrders);
	/// End of the drain grants that the owner of a pool has given; 0: none.
	Millis DrainGrantEnd(const std::string &inPool) const;
	bool IsSpare(const std::string &inPool) const;
	bool CanMove(const HostEntry &inHost, const std::string &inPool) const { return !this->incompatible.contains({inHost.kind, inPool}); }
	bool IsEvacuated(const HostEntry &inHost) const { return this->evacuated.contains(inHost.availability_zone); }
	/// A host of a spare pool that can move to the pool; nullptr: none.
	const HostEntry *SpareHost(const std::string &inPool, Millis inNow) const;
	/// A host with a drain grant that can move between the pools; nullptr: none.
	const HostEntry *GrantedHost(const std::string &inFrom, const std::string &inTo, Millis inNow);

	BalanceTuning tuning;
	std::map<std::string, Pool, std::less<>> pools;
	std::map<std::string, HostEntry> hosts;
	std::set<std::string> busy;
	std::set<std::string> evacuated; ///< Availability zones; see SetEvacuated.
	std::map<std::string, KnownDemand> demands;
	std::map<std::string, Move> moves;
	std::map<std::string, PoolSize> logged; ///< As last logged.
	Millis logged_at = 0;
	std::set<std::pair<std::string, std::string>> incompatible; ///< Kinds of hosts and pools that the platform does not combine.
};

} // namespace Loomreach::Jobs
