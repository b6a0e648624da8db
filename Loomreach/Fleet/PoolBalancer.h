// How many hosts each pool should have, and which host moves where. Pure; the fleet cell's owner drives it.
//
// A host moves only when the owner of its pool has promised that it is empty, or when its pool is spare. Hosts that no pool needs go
// to the spare pool: a host in a pool costs by the second, a move about as much as a second.

#pragma once

#include <Loomreach/Fleet/Upkeep.h>
#include <Loomreach/Schedule/Catalogue.h>
#include <Loomreach/Schedule/PoolDemand.h>

namespace Loomreach::Jobs
{

/// Figures of the balancer.
struct BalanceTuning
{
	int64 headroom_percent = 115; ///< A pool gets this share of its need: growth within a move's time.
	uint32 margin = 1;            ///< And this many hosts more: the loss of one.
	uint32 slack = 1;             ///< A pool gives up hosts only beyond this many too many.
	Millis fresh_ms = 1500;       ///< A demand older than this counts for nothing.
	Millis promise_ms = 1000;     ///< A spared worker is trusted to stay empty this long after its owner was asked.
	Millis moving_ms = 4000;      ///< A host that was told to move counts as arrived in the other pool this long, until the list shows it.
};

/// See the head of the file.
class PoolBalancer
{
public:
	explicit PoolBalancer(const BalanceTuning &inTuning) : tuning(inTuning) {}

	void SetPools(const Catalogue &inCatalogue) { this->pools = inCatalogue.pools; }
	/// Availability zones whose hosts take no work: they neither count for a pool nor move.
	void SetEvacuated(const std::set<std::string> &inZones) { this->evacuated = inZones; }
	/// The host list; `inBusy`: hosts that a wave is about to take down.
	void SetHosts(const std::vector<HostEntry> &inHosts, const std::set<std::string> &inBusy, Millis inNow);
	/// Hosts that a wave is about to take down, also between two lists.
	void SetBusy(std::set<std::string> inBusy) { this->busy = std::move(inBusy); }
	/// Hosts that were ordered to move, until the list shows them there.
	std::set<std::string> Moving() const;
	/// The owner of a pool, asked at `inAskedAt`, answered.
	void OnDemand(const std::string &inPool, const PoolDemand &inDemand, Millis inAskedAt);
	/// Pools to ask, and how many workers each should spare.
	std::vector<std::pair<std::string, uint32>> ToAsk(Millis inNow) const;
	/// Pools that have no host to miss.
	std::set<std::string> Tight(Millis inNow) const;
	/// Moves to order now.
	std::vector<HostDuty> TakeMoves(Millis inNow);
	void OnMove(const HostDuty &inDuty, EDutyResult inResult, Millis inNow);
	/// Hosts that were ordered to move and may still do so: their workers are to stay empty.
	std::vector<HostEntry> InDoubt() const;

private:
	/// What is known of a pool's need.
	struct Known
	{
		PoolDemand demand;
		Millis asked_at = 0;
	};
	/// A host under way.
	struct Move
	{
		std::string to;
		Millis since = 0;
		bool done = false; ///< The platform said so.
	};
	/// Whose need counts.
	enum class ECount : uint8
	{
		InTime, ///< Jobs that can be in time.
		All     ///< Late ones as well.
	};
	/// Hosts of a pool that can take its work, and how many it should have.
	struct PoolSize
	{
		int64 has = 0;
		int64 wanted = 0;

		bool operator==(const PoolSize &) const = default;
	};
	/// Of pools whose need is known.
	std::map<std::string, PoolSize> Sizes(ECount inCount, Millis inNow) const;
	/// Hosts too few (above 0) or too many (below 0) by pool, of pools whose need is known.
	std::map<std::string, int64> Deficits(ECount inCount, Millis inNow) const;
	/// Tells of sizes that have changed, for whoever asks later why hosts moved.
	void LogSizes(Millis inNow);
	void FillDeficits(std::map<std::string, int64> &ioDeficits, Millis inNow, std::vector<HostDuty> &outDuties);
	/// `inNotAfter`: end of the promise that it is empty; 0: needs none.
	void Order(const HostEntry &inHost, const std::string &inTo, Millis inNow, Millis inNotAfter, std::vector<HostDuty> &outDuties);
	/// End of what the owner of a pool has promised of its spared workers; 0: nothing.
	Millis PromiseEnd(const std::string &inPool) const;
	bool IsSpare(const std::string &inPool) const;
	bool CanGo(const HostEntry &inHost, const std::string &inPool) const { return !this->impossible.contains({inHost.kind, inPool}); }
	bool IsEvacuated(const HostEntry &inHost) const { return this->evacuated.contains(inHost.availability_zone); }
	const HostEntry *SpareHost(const std::string &inPool, Millis inNow) const;
	const HostEntry *PromisedHost(const std::string &inFrom, const std::string &inTo, Millis inNow);

	BalanceTuning tuning;
	std::map<std::string, Pool, std::less<>> pools;
	std::map<std::string, HostEntry> hosts;
	std::set<std::string> busy;
	std::set<std::string> evacuated; ///< See SetEvacuated.
	std::map<std::string, Known> known;
	std::map<std::string, Move> moves;
	std::map<std::string, PoolSize> logged; ///< As last told of.
	Millis logged_at = 0;
	std::set<std::pair<std::string, std::string>> impossible; ///< Kind of host and pool that do not go together.
};

} // namespace Loomreach::Jobs
