// Who owns which cell, as far as this entry host can tell from the hosts' heartbeats in the log, and whether it may claim one.
//
// The lease. An owner appends a heartbeat at times. It may act until its last acknowledged heartbeat's *sending* plus the lease, less a
// slack, and extends only while it still may act. A challenger waits the full lease from when it first *read* that heartbeat, and
// then reads once more. The owner's period therefore ends first on any two steady clocks that differ by less than the slack.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Times of the ownership lease, ms.
struct LeaseTuning
{
	Millis lease_ms = 2000;     ///< The longest that an owner may promise. Setting `owner_lease_ms`.
	Millis slack_ms = 300;      ///< The owner stops this much earlier: the users' freeze slack (300 ms) covers clocks 2% apart as well.
	Millis beat_ms = 500;       ///< Between heartbeats of an owner.
	Millis idle_each_ms = 30;   ///< A host without cells beats at most once in this many ms for each host there is.
	Millis read_each_ms = 30;   ///< It reads the others' once in this many ms for each host,
	Millis read_least_ms = 500; ///< as owners do, or more seldom.
	/// So many hosts, the first to take over a cell and shared out over the zones, beat and read as often as owners. One that is gone is
	/// then passed over within a lease; of the others a third may be out of reach for 9 s before anybody knows.
	uint32 heirs = 10;
	Millis give_on_ms = 2000; ///< A host that should give a cell on has stood so much worse than another for this long: no passing news.
	Millis rank_ms = 350;     ///< A challenger waits this long for each host that comes before it.
	Millis first_claim_ms =
		0; ///< And this long for a cell that nobody has owned, when the fleet first starts: hosts are heard of one by one.
};

/// A cell that a host owns.
struct OwnedCell
{
	uint32 cell = 0;
	uint64 epoch = 0;
	bool held = true; ///< False: it is only being claimed. Others leave it alone, but ask nothing of it.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->held);
	}
};

/// One heartbeat of an owner.
struct HostBeat
{
	std::string host;
	uint64 life = 0;            ///< Differs from start to start of a process.
	uint64 start = 0;           ///< Rises from start to start of the host's processes: its records lie in several partitions, in no order.
	uint64 number = 0;          ///< Rises within a life.
	Address address;            ///< For questions of other entry hosts.
	uint32 weight = 1;          ///< Processor that the host has, thousandths of a core: larger hosts take more cells.
	bool claims = true;         ///< Whether it takes cells at all; not when it is stopping.
	bool short_of_time = false; ///< Whether it has lately run out of processor time: it counts as owner of one cell more.
	std::string availability_zone;
	Millis every_ms = 0; ///< Its next heartbeat is due after this.
	Millis lease_ms = 0; ///< The lease that this heartbeat renews; 0: the longest there is.
	std::vector<OwnedCell> cells;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->life, this->start, this->number, this->address, this->weight, this->claims, this->short_of_time,
				  this->availability_zone, this->every_ms, this->lease_ms, this->cells);
	}
};

/// What a host tells that does not reach the store and has let its cells go. It does not claim: others would wait 350 ms for its turn to
/// pass, as long as its last heartbeat makes it seem at work (three owners turned away at once left their cells free for 0.6 to 1.4 s).
/// `inFleet`: the fleet, while an order to a host may be under way; it is free after `inOrderMs`.
HostBeat LetGoBeat(HostBeat inBeat, const std::optional<OwnedCell> &inFleet, Millis inOrderMs);

/// One process of an entry host.
struct HostProcess
{
	std::string host;
	uint64 life = 0;  ///< As in its heartbeats.
	uint64 start = 0; ///< Likewise. A heartbeat of a later start of the host tells that this process has ended.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->life, this->start);
	}
};

/// The record of a claim in a cell's own log.
struct ClaimRecord
{
	HostProcess by;
	uint64 epoch = 0;
	uint64 beat_number =
		0; ///< Of the host's newest heartbeat when it began to claim: every later one tells of the cell, until it is given back.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->by, this->epoch, this->beat_number);
	}
};

/// Where to ask about a cell.
struct CellOwner
{
	std::string host;
	Address address;
	uint64 epoch = 0;
};

/// A host that is at work and owns nothing: it can send owners' orders for them.
struct IdleHost
{
	std::string availability_zone;
	Address address;
	uint64 life = 0;

	bool operator==(const IdleHost &) const = default;
};

/// The view of owners. Pure.
class OwnerTable
{
public:
	OwnerTable(std::string inHost, const LeaseTuning &inTuning) : self(std::move(inHost)), tuning(inTuning) {}

	/// A heartbeat was read.
	void OnBeat(const HostBeat &inBeat, Millis inNow);
	/// A claim record of a cell was read in the cell's own log.
	void OnClaimSeen(uint32 inCell, const ClaimRecord &inClaim, Millis inNow);
	/// Whether another host is known to own a cell with a higher epoch than this.
	bool IsSuperseded(uint32 inCell, uint64 inEpoch) const;
	/// The owner of a cell, if its lease has not run out here.
	std::optional<CellOwner> OwnerOf(uint32 inCell, Millis inNow) const;
	/// The newest owner that was ever heard of, however long ago: whom to ask when the store can't be read.
	std::optional<CellOwner> LastOwnerOf(uint32 inCell) const;
	/// Other hosts, those heard of last first: who may help when the store turns this one away.
	std::vector<Address> Helpers(uint32 inCell) const;
	/// Other hosts that are at work, own nothing and have processor time.
	std::vector<IdleHost> IdleHosts(Millis inNow) const;
	/// Addresses of all other hosts that were ever heard of.
	std::vector<Address> Others() const;
	/// Other hosts that have not been heard of for so long.
	std::vector<std::string> SilentFor(Millis inMillis, Millis inNow) const;
	/// A host's heartbeats have been removed from the log: it counts as never heard of until the next.
	void Forget(const std::string &inHost) { this->hosts.erase(inHost); }
	/// Hosts that are at work as far as is known, this one included.
	size_t HostsAtWork(Millis inNow) const;
	/// How many starts of a host's processes have told of themselves.
	uint64 StartsOf(const std::string &inHost) const;
	/// The partition of this host's heartbeats: the last for hosts without cells, the others shared out evenly among owners, as far as they
	/// know of each other.
	uint32 BeatPart(uint32 inParts, bool inOwner, Millis inNow) const;
	/// How often a host without cells tells of itself: with many hosts more seldom, so that all together stay within the store's rates.
	Millis IdleInterval(Millis inNow) const;
	/// How often a host reads the others' heartbeats.
	Millis ReadInterval(bool inOwner, Millis inNow) const;
	/// Whether this host is among the first that would take over a cell.
	bool IsHeir(Millis inNow) const;
	/// Newest heartbeats of the hosts that own something.
	std::vector<HostBeat> OwnersBeats(Millis inNow) const;
	/// Other hosts that read all heartbeats often: owners, and the first that would take over from them.
	std::vector<Address> WellInformed(Millis inNow) const;
	/// Other hosts that keep replicas of what this one knows and no log holds yet: well informed ones, of different zones where there are
	/// several.
	std::vector<Address> ReplicaHosts(Millis inNow) const;
	/// Whether a cell's last owner must have stopped acting.
	bool IsFree(uint32 inCell, Millis inNow) const;
	/// Whether this host, which owns `inOwn` cells, should give one on: another one would carry it with less than half of what this one
	/// carries for its size. Small hosts that took cells while the large ones were away would keep them for good: with 10 Mbit/s, one held
	/// a busy cell for 34 s in which its jobs took 14 s and more, and its tasks that last stood still.
	bool ShouldGiveOn(size_t inOwn, Millis inNow);

	/// Of the cells given, those to claim now. Every host works out the same order of hosts for a cell from the same heartbeats: those
	/// with the fewest cells for their size first, among these the ones in zones with the fewest cells. The first claims at once, each next
	/// one a little later.
	/// `inOwn`: cells that this host owns or is claiming now; its own heartbeat in the log may not tell of them yet.
	std::vector<uint32> ToClaim(const std::set<uint32> &inCells, Millis inNow, size_t inOwn = 0);
	/// Why a cell was to be claimed, for the log: of the last ToClaim.
	std::string_view ClaimText() const { return this->claim_text; }
	/// Waits anew for a cell, after a claim was lost.
	void PutOff(uint32 inCell, Millis inNow) { this->free_since[inCell] = inNow; }

private:
	static constexpr Millis cNeverWorkedOut = std::numeric_limits<Millis>::min() / 2;
	/// A host's newest heartbeat and when it was first read.
	struct Heard
	{
		HostBeat beat;
		Millis at = 0;
	};
	/// A claim and when it was first read.
	struct ClaimSeen
	{
		ClaimRecord claim;
		Millis at = 0;
	};
	/// How long a challenger waits from when it first heard of this heartbeat.
	Millis LeaseOf(const Heard &inHeard) const { return inHeard.beat.lease_ms > 0 ? inHeard.beat.lease_ms : this->tuning.lease_ms; }
	bool IsAtWork(const Heard &inHeard, Millis inNow) const;
	/// A host that takes cells, as the order of claims sees it.
	struct Claimer
	{
		uint64 cells = 0; ///< What it owns, and one more while it is short of processor time.
		uint32 weight = 1;
		std::string availability_zone;
	};
	std::map<std::string, Claimer> Claimers(Millis inNow, size_t inOwn) const;
	/// The first that would take over a cell: the least loaded of each zone.
	const std::set<std::string> &Heirs(Millis inNow) const;
	/// Whether all hosts are at their first start, as far as is known: then others may not have been heard of yet.
	bool IsFirstStart() const;
	/// Whether anybody is known to have owned a cell.
	bool WasOwned(uint32 inCell) const { return this->owned_once.contains(inCell) || this->claims.contains(inCell); }
	/// The highest epoch of a cell that any heartbeat has told of.
	uint64 ToldEpoch(uint32 inCell) const;
	/// Whether a claim may still be acted on. `inToldEpoch`: see ToldEpoch.
	bool MayStand(const ClaimSeen &inSeen, uint64 inToldEpoch, Millis inNow) const;

	std::string self;
	LeaseTuning tuning;
	std::map<std::string, Heard> hosts;
	std::map<uint32, ClaimSeen> claims;
	std::map<uint32, Millis> free_since;
	std::set<uint32> owned_once; ///< Cells that any heartbeat has told of as owned: the newest of a host forgets what it has let go.
	Millis unfair_since = -1;    ///< Since when a cell should be given on; -1: none should.
	std::string claim_text;
	mutable std::set<std::string> heirs;       ///< As last worked out,
	mutable Millis heirs_at = cNeverWorkedOut; ///< and when.
};

/// The own lease: until when this process may act.
class OwnLease
{
public:
	explicit OwnLease(const LeaseTuning &inTuning) : tuning(inTuning) {}

	/// Whether orders may be sent now.
	bool MayAct(Millis inNow) const { return inNow < this->until; }
	/// A heartbeat leaves that renews the lease for `inLeaseMs`. Challengers may count from this one alone: a longer promise ends with it.
	void OnSent(Millis inSentAt, Millis inLeaseMs) { this->until = std::min(this->until, inSentAt + inLeaseMs - this->tuning.slack_ms); }
	/// The heartbeat sent at `inSentAt` was acknowledged. False: too late, what was owned is lost; the lease begins anew.
	bool OnAcknowledged(Millis inSentAt, Millis inLeaseMs, Millis inNow)
	{
		const bool kept = this->until == 0 || inNow < this->until;
		this->until = std::max(this->until, inSentAt + inLeaseMs - this->tuning.slack_ms);
		return kept;
	}
	Millis Until() const { return this->until; }

private:
	LeaseTuning tuning;
	Millis until = 0; ///< 0: no heartbeat yet.
};

} // namespace Loomreach::Jobs
