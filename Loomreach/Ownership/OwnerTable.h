// Tracks which entry host owns which cell, as far as the hosts' heartbeats in the log tell, and decides which cells this host may claim.
//
// The ownership lease:
//  * An owner appends heartbeats. It may act until it *sent* its last acknowledged heartbeat plus the lease, minus a slack, and no longer
//    than any heartbeat sent since allows by itself: a challenger may have read that one though it is not acknowledged. It renews the
//    lease only while it may still act.
//  * A challenger waits for the full lease from when it first *read* that heartbeat, and then reads once more before it claims.
//  * So the owner's period ends first on any two steady clocks that differ by less than the slack.

#pragma once

#include <Loomreach/Admission/CollectorChoice.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Times of the ownership lease, ms.
struct LeaseTuning
{
	Millis lease_ms = 2000; ///< Longest lease that an owner may announce. Setting `owner_lease_ms`.
	/// The owner stops this long before its lease ends: covers a freeze of 300 ms, and clocks that are 2% apart.
	Millis slack_ms = 300;
	Millis heartbeat_interval_ms = 500;    ///< Interval between heartbeats of an owner.
	Millis idle_interval_per_host_ms = 30; ///< Interval between heartbeats of a host without cells, for each host that there is.
	Millis read_interval_per_host_ms = 30; ///< Interval between its reads of the heartbeats of the others, for each host that there is.
	Millis min_read_interval_ms = 500;     ///< Shortest interval between such reads; that of owners.
	/// Number of candidate successors: the first hosts to take over a cell, spread over the zones. They send and read heartbeats as often
	/// as owners, so that a lost one is skipped within a lease. Of the other hosts, a third may be unreachable for 9 s before that is
	/// known.
	uint32 candidate_successors = 10;
	/// A cell is handed over only after its owner has been overloaded this long: short imbalances cause no move.
	Millis hand_over_after_ms = 2000;
	Millis rank_delay_ms = 350; ///< A challenger waits this long for each host that ranks before it.
	/// Wait for a cell that was never owned, on the first start of the fleet, when hosts hear of each other one by one.
	Millis first_claim_delay_ms = 0;
};

/// A cell that a host owns.
struct OwnedCell
{
	uint32 cell = 0;
	uint64 epoch = 0;
	bool held = true; ///< False while the host is only claiming the cell: others then neither claim it nor send requests for it here.
	/// Hashes (PoolHash) of its pools all of whose workers are in evacuated zones.
	std::vector<uint32> closed_pools = {};

	// A cell without closed pools is encoded as by versions without this member, which encode `held` alone as one byte, 0 or 1
	template <class Archive>
	void save(Archive &ioArchive) const
	{
		const auto flags = static_cast<uint8>((this->held ? cHeldFlag : 0) | (this->closed_pools.empty() ? 0 : cClosedPoolsFlag));
		ioArchive(this->cell, this->epoch, flags);
		if (!this->closed_pools.empty())
			ioArchive(this->closed_pools);
	}
	template <class Archive>
	void load(Archive &ioArchive)
	{
		uint8 flags = 0;
		ioArchive(this->cell, this->epoch, flags);
		this->held = (flags & cHeldFlag) != 0;
		this->closed_pools.clear();
		if ((flags & cClosedPoolsFlag) != 0)
			ioArchive(this->closed_pools);
	}

private:
	static constexpr uint8 cHeldFlag = 1;
	static constexpr uint8 cClosedPoolsFlag = 2;
};

/// Which pools of a cell are closed, as its owner last said.
struct ClosedPoolsReport
{
	std::vector<uint32> pools; ///< As in OwnedCell.
	Millis age_ms = 0;         ///< How long ago that was heard.
};

/// One heartbeat of an entry host.
struct HostHeartbeat
{
	std::string host;
	uint64 incarnation = 0; ///< Incarnation: differs for each process of the host.
	/// Start count of the host, which orders its processes: their heartbeats are in several partitions and read in any order.
	uint64 start = 0;
	uint64 number = 0;                    ///< Sequence number within the incarnation.
	Address address;                      ///< For questions from other entry hosts.
	uint32 weight = 1;                    ///< Processor capacity of the host, thousandths of a core: larger hosts take more cells.
	bool claims = true;                   ///< Whether the host takes cells; false while it stops.
	bool short_of_processor_time = false; ///< Whether it ran out of processor time recently: it then counts as owner of one cell more.
	std::string availability_zone;
	Millis interval_ms = 0; ///< Time until its next heartbeat is due.
	Millis lease_ms = 0;    ///< Lease that this heartbeat renews; 0: the longest.
	std::vector<OwnedCell> cells;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->incarnation, this->start, this->number, this->address, this->weight, this->claims,
				  this->short_of_processor_time, this->availability_zone, this->interval_ms, this->lease_ms, this->cells);
	}
};

/// Heartbeat of a host that cannot reach the store and has released its cells. It does not claim: as long as its last heartbeat makes it
/// appear live, the others would wait 350 ms for its turn (three owners that the store refused at the same time left their cells without
/// an owner for 0.6 to 1.4 s). `inFleet`: the fleet cell, while an order to a host may be in flight; it becomes free after `inOrderMs`.
HostHeartbeat MakeReleaseHeartbeat(HostHeartbeat inHeartbeat, const std::optional<OwnedCell> &inFleet, Millis inOrderMs);

/// Identifies one process of an entry host.
struct HostProcess
{
	std::string host;
	uint64 incarnation = 0; ///< As in its heartbeats.
	uint64 start = 0;       ///< As in its heartbeats. A heartbeat with a later start shows that this process has ended.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->incarnation, this->start);
	}
};

/// The claim record in a cell's own log.
struct ClaimRecord
{
	HostProcess by;
	uint64 epoch = 0;
	/// Number of the newest heartbeat of the host when it began to claim: every later one lists the cell until the host releases it.
	uint64 heartbeat_number = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->by, this->epoch, this->heartbeat_number);
	}
};

/// The owner of a cell, and where to reach it.
struct CellOwner
{
	std::string host;
	Address address;
	uint64 epoch = 0;
	uint64 incarnation = 0; ///< As in its heartbeats.
};

/// A live host without cells. It can forward orders for owners.
struct IdleHost
{
	std::string availability_zone;
	Address address;
	uint64 incarnation = 0;

	bool operator==(const IdleHost &) const = default;
};

/// Knows the newest heartbeat of each host and the newest claim of each cell. Pure: does no I/O, time is passed in.
class OwnerTable
{
public:
	OwnerTable(std::string inHost, const LeaseTuning &inTuning) : self(std::move(inHost)), tuning(inTuning) {}

	/// Records a heartbeat that was read.
	void OnHeartbeat(const HostHeartbeat &inHeartbeat, Millis inNow);
	/// Records a claim that was read in the cell's own log.
	void OnClaimSeen(uint32 inCell, const ClaimRecord &inClaim, Millis inNow);
	/// Whether another host is known to own the cell with an epoch higher than `inEpoch`.
	bool IsSuperseded(uint32 inCell, uint64 inEpoch) const;
	/// The owner of a cell, if its lease has not expired on the clock of this host.
	std::optional<CellOwner> OwnerOf(uint32 inCell, Millis inNow) const;
	/// Time until the first lease of an owner expires unless it is renewed; nothing: no other host owns a cell. A successor reads the
	/// heartbeats then instead of at its next regular read, half a second later at worst.
	std::optional<Millis> NextLeaseExpiry(Millis inNow) const;
	/// The newest owner ever heard of, no matter how long ago: whom to ask while the store cannot be read.
	std::optional<CellOwner> LastOwnerOf(uint32 inCell) const;
	/// The closed pools of a cell by the newest heartbeat of its newest owner, also after that owner was lost or released the cell.
	/// Nothing: no owner was ever heard of.
	std::optional<ClosedPoolsReport> ClosedPoolsOf(uint32 inCell, Millis inNow) const;
	/// Other hosts to ask for help while the store refuses this one: the last known owner of the cell first, then by how recently they
	/// were heard.
	std::vector<Address> Helpers(uint32 inCell) const;
	/// All other hosts that do not stop, as possible collectors of a cell's inbox; see CollectorChoice.
	std::vector<CollectorHost> Collectors(uint32 inCell, Millis inNow) const;
	/// Other live hosts that own no cells and have processor time to spare.
	std::vector<IdleHost> IdleHosts(Millis inNow) const;
	/// Addresses of all other hosts ever heard of.
	std::vector<Address> Others() const;
	/// Other hosts that have not been heard for `inMillis`, nor for three of their own heartbeat intervals.
	std::vector<std::string> UnresponsiveFor(Millis inMillis, Millis inNow) const;
	/// Call when the heartbeats of a host have been removed from the log: it counts as unknown until its next heartbeat.
	void Forget(const std::string &inHost) { this->hosts.erase(inHost); }
	/// Number of hosts known to be live, including this one.
	size_t LiveHostCount(Millis inNow) const;
	/// Start count of a host in its newest heartbeat; 0 if it is unknown.
	uint64 StartCountOf(const std::string &inHost) const;
	/// Partition for the heartbeats of this host: the last for hosts without cells, the others shared evenly by the owners that are
	/// known.
	uint32 HeartbeatPartition(uint32 inPartitions, bool inOwner, Millis inNow) const;
	/// Heartbeat interval of a host without cells. Grows with the number of hosts, to stay within the rates of the store.
	Millis IdleInterval(Millis inNow) const;
	/// Interval at which a host reads the heartbeats of the others.
	Millis ReadInterval(bool inOwner, Millis inNow) const;
	/// Whether this host is a candidate successor: one of the first to take over a cell.
	bool IsCandidateSuccessor(Millis inNow) const;
	/// Newest heartbeats of the live hosts that own cells.
	std::vector<HostHeartbeat> OwnerHeartbeats(Millis inNow) const;
	/// Other hosts that read all heartbeats often: owners and candidate successors.
	std::vector<Address> FrequentReaders(Millis inNow) const;
	/// Other hosts to keep replicas of what this host knows and no log contains yet: owners or candidate successors, in different zones
	/// where possible.
	std::vector<Address> ReplicaHosts(Millis inNow) const;
	/// Whether the last owner of a cell must have stopped acting.
	bool IsFree(uint32 inCell, Millis inNow) const;
	/// Whether this host, which owns `inOwn` cells, should hand one over: another host would carry it with less than half the load of
	/// this one, relative to size. Otherwise small hosts that took cells while the large ones were unavailable would keep them for good:
	/// with a link of 10 Mbit/s the jobs of a busy cell take 14 s and more, and its long-running tasks make no progress.
	bool ShouldHandOver(size_t inOwn, Millis inNow);

	/// Of the given cells, those to claim now. Every host computes the same ranking of hosts for a cell from the same heartbeats: the
	/// fewest cells relative to size first; among equals candidate successors, then hosts in zones with the fewest cells. The first
	/// claims immediately, each next one a little later.
	/// `inOwn`: cells that this host owns or is claiming now; its own heartbeat in the log may not list them yet.
	std::vector<uint32> CellsToClaim(const std::set<uint32> &inCells, Millis inNow, size_t inOwn = 0);
	/// Why the last CellsToClaim chose its cells, for the log.
	std::string_view ClaimReasons() const { return this->claim_reasons; }
	/// Restarts the wait for a cell after a lost claim.
	void RestartClaimWait(uint32 inCell, Millis inNow) { this->free_since[inCell] = inNow; }

private:
	static constexpr Millis cNeverComputed = std::numeric_limits<Millis>::min() / 2;
	/// The newest heartbeat of a host, and when it was first read.
	struct HeardHost
	{
		HostHeartbeat heartbeat;
		Millis at = 0;
	};
	/// A claim, and when it was first read.
	struct ClaimSeen
	{
		ClaimRecord claim;
		Millis at = 0;
	};
	/// The closed pools of a cell, by whom (epoch), and when that was heard.
	struct ClosedPoolsHeard
	{
		uint64 epoch = 0;
		std::vector<uint32> pools;
		Millis at = 0;
	};
	/// How long a challenger waits after it first read this heartbeat.
	Millis LeaseOf(const HeardHost &inHeard) const
	{
		return inHeard.heartbeat.lease_ms > 0 ? inHeard.heartbeat.lease_ms : this->tuning.lease_ms;
	}
	bool IsLive(const HeardHost &inHeard, Millis inNow) const;
	/// A host that takes cells, as ranked for claims.
	struct Claimer
	{
		uint64 cells = 0; ///< Cells that it owns, and one more while it is short of processor time.
		uint32 weight = 1;
		std::string availability_zone;
	};
	std::map<std::string, Claimer> Claimers(Millis inNow, size_t inOwn) const;
	/// The candidate successors: the least loaded hosts of each zone.
	const std::set<std::string> &CandidateSuccessors(Millis inNow) const;
	/// Whether all known hosts are at their first start: others may not have been heard of yet.
	bool IsFirstStart() const;
	/// Whether any host is known to have owned a cell.
	bool WasOwned(uint32 inCell) const { return this->ever_owned.contains(inCell) || this->claims.contains(inCell); }
	/// The highest epoch of a cell in any heartbeat.
	uint64 HighestHeardEpoch(uint32 inCell) const;
	/// Whether the claimer may still act on a claim. `inHeardEpoch`: the highest epoch in any heartbeat.
	bool MayStillHold(const ClaimSeen &inSeen, uint64 inHeardEpoch, Millis inNow) const;

	std::string self;
	LeaseTuning tuning;
	std::map<std::string, HeardHost> hosts;
	std::map<uint32, ClaimSeen> claims;
	std::map<uint32, Millis> free_since;
	/// Cells that any heartbeat has listed as owned; the newest heartbeat of a host no longer lists what it has released.
	std::set<uint32> ever_owned;
	std::map<uint32, ClosedPoolsHeard> closed_pools; ///< By cell. Kept until an owner with the same or a higher epoch is heard.
	Millis overloaded_since = -1;                    ///< Since when a cell should be handed over; -1: none should.
	std::string claim_reasons;
	mutable std::set<std::string> candidate_successors; ///< As last computed,
	mutable Millis successors_at = cNeverComputed;      ///< and when.
};

/// The lease of this process: until when it may act.
class OwnLease
{
public:
	explicit OwnLease(const LeaseTuning &inTuning) : tuning(inTuning) {}

	/// Whether this process may act now.
	bool MayAct(Millis inNow) const { return inNow < this->until; }
	/// Call when a heartbeat is sent that renews the lease for `inLeaseMs`. Challengers may count from this one alone, so it also ends a
	/// longer lease that was announced before.
	void OnSent(Millis inSentAt, Millis inLeaseMs)
	{
		const Millis end = this->EndOf(inSentAt, inLeaseMs);
		// Whatever is acknowledged, an earlier heartbeat that ends no sooner never counts without this one
		while (!this->bounds.empty() && this->bounds.back().end >= end)
			this->bounds.pop_back();
		// Of those that have ended, the last one suffices: it makes each acknowledgement of an earlier one too late
		while (this->bounds.size() > 1 && this->bounds[1].end <= inSentAt)
			this->bounds.pop_front();
		this->bounds.push_back({inSentAt, end});
		this->until = std::min(this->until, end);
	}
	/// Call when the heartbeat sent at `inSentAt` was acknowledged. Returns false if that came too late: what was owned is lost, and the
	/// lease begins again.
	bool OnAcknowledged(Millis inSentAt, Millis inLeaseMs, Millis inNow)
	{
		const bool kept = this->until == 0 || inNow < this->until;
		// A later one was acknowledged before: challengers no longer count from this one
		if (inSentAt < this->acknowledged_sent_at)
			return kept;
		this->acknowledged_sent_at = inSentAt;
		while (!this->bounds.empty() && this->bounds.front().sent_at < inSentAt)
			this->bounds.pop_front();
		this->until = this->EndOf(inSentAt, inLeaseMs);
		// A challenger may have read a heartbeat that was sent later, and counts from that one
		if (!this->bounds.empty())
			this->until = std::min(this->until, this->bounds.front().end);
		return kept;
	}
	Millis Until() const { return this->until; }

private:
	/// A heartbeat from which challengers may count, and when the lease ends by it.
	struct Bound
	{
		Millis sent_at = 0;
		Millis end = 0;
	};
	Millis EndOf(Millis inSentAt, Millis inLeaseMs) const { return inSentAt + inLeaseMs - this->tuning.slack_ms; }

	LeaseTuning tuning;
	/// 0: no heartbeat yet. Never later than the end of the newest acknowledged heartbeat, nor of any that was sent since: a challenger
	/// reads what was acknowledged before it claims, and then counts from the newest heartbeat that it has read, acknowledged or not.
	Millis until = 0;
	/// When the newest acknowledged heartbeat was sent.
	Millis acknowledged_sent_at = std::numeric_limits<Millis>::min();
	/// Of the newest acknowledged heartbeat and those sent since, each that ends before all later ones: the first has the earliest end.
	std::deque<Bound> bounds;
};

} // namespace Loomreach::Jobs
