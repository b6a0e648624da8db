// Decides where the replicas of one pool's jobs run and which give way. Pure: accepted state in, proposals out.
// The fold checks every proposal again, so a plan made on an old state harms nothing.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Why a replica is not placed.
enum class EUnplaced : uint8
{
	NoRoom,        ///< Every host that could hold it is full with work of its priority or higher.
	NeverFits,     ///< No host of the pool is large enough, even empty.
	QuotaTooSmall, ///< The team's quota is smaller than one replica.
	QuotaFull,     ///< The team's quota is taken by its other replicas.
	NoHosts,       ///< The pool has no available host.
	AwaitsHosts,   ///< It would share a host with another replica of its job while hosts of the pool are just coming up.
	BackingOff     ///< It failed on many hosts and waits.
};

/// One replica that is not placed, and why.
struct Unplaced
{
	ReplicaKey replica;
	EUnplaced why = EUnplaced::NoRoom;
};

/// What a planning round wants.
struct PlacementPlan
{
	std::vector<ProposalBody> proposals;
	std::vector<Unplaced> unplaced;
	uint32 preempted = 0;
	uint32 moved = 0; ///< Replicas that leave an unavailable host for another one.
};

/// The sentence for people, for `job why`.
std::string ExplainUnplaced(const FleetState &inState, const Unplaced &inUnplaced);

/// Order in which hosts that could hold a replica are tried; a policy for BasicPlacementPlanner.
struct HostScore
{
	int64 blamed = 0;     ///< The job failed on it before.
	int64 host_mates = 0; ///< Replicas of the same job on the host: they would share its slots.
	int64 will_leave = 0; ///< A running wave has yet to take it out: a replica put there moves again.
	int64 rack_mates = 0; ///< Replicas of the same job in the rack.
	int64 zone_mates = 0; ///< Replicas of the same job in the availability zone.
	int64 idle_cost = 0;  ///< Policy's own: less is better.

	auto operator<=>(const HostScore &) const = default;
};

/// What varies between placement policies: how a candidate host is scored.
template <class P>
concept PlacementPolicy = requires(const FleetState &inState, const PoolSpec &inPool, const Host &inHost, const Resources &inFree,
								   HostScore inScore)
{
	{
		P::Adjust(inState, inPool, inHost, inFree, inScore)
		} -> std::same_as<HostScore>;
};

/// The policy in use: spread first, then away from hosts that a wave will take; the pool's weights choose between packing and levelling.
struct WeightedPlacement
{
	static HostScore Adjust(const FleetState &inState, const PoolSpec &inPool, const Host &inHost, const Resources &inFree,
							HostScore inScore);
};

/// Baseline for measurements: the first host in order of names that has room.
struct FirstFitPlacement
{
	static HostScore Adjust(const FleetState &, const PoolSpec &, const Host &, const Resources &, HostScore) { return {}; }
};

/// Plans the placements of one pool under a policy.
template <PlacementPolicy P>
class BasicPlacementPlanner
{
public:
	/// Jobs in `inWaiting` back off: their missing replicas are not placed now.
	BasicPlacementPlanner(const FleetState &inState, std::string inPool, const std::set<std::string> *inWaiting = nullptr);
	/// One round: stops what is not wanted, places what is missing, preempts where that makes room.
	PlacementPlan Plan();

private:
	/// A host with what the plan has taken from it so far.
	struct Candidate
	{
		const Host *host = nullptr;
		Resources free;
		std::map<std::string, int64> planned; ///< Replicas of each job that the plan puts here.
	};
	/// A replica to be placed.
	struct Wanted
	{
		ReplicaKey replica;
		const JobSpec *job = nullptr;
		const Placement *old = nullptr;
	};
	/// Hosts of one job's replicas, counted by rack and zone.
	struct Mates
	{
		std::map<std::string, int64> racks;
		std::map<std::string, int64> zones;
	};

	void StopUndeclared();
	std::vector<Wanted> CollectWanted();
	std::optional<EUnplaced> CheckEver(const JobSpec &inJob) const;
	bool HasQuota(const Wanted &inWanted) const;
	bool IsWorthWaiting(const Wanted &inWanted, const Candidate &inCandidate) const;
	int64 MatesOn(const Candidate &inCandidate, const std::string &inJob) const;
	Candidate *BestHost(const Wanted &inWanted);
	Candidate *MakeRoom(const Wanted &inWanted);
	std::vector<ReplicaKey> Victims(const Candidate &inCandidate, const Wanted &inWanted) const;
	void Place(const Wanted &inWanted, Candidate &ioCandidate);
	void TryPlace(const Wanted &inWanted);

	const FleetState &state;
	std::string pool;
	const std::set<std::string> *backing_off = nullptr;
	const PoolSpec *pool_spec = nullptr;
	std::vector<Candidate> candidates;
	std::map<std::string, Mates> mates;
	std::map<std::string, int64> team_used;
	std::set<ReplicaKey> stopped;
	PlacementPlan plan;
};

using PlacementPlanner = BasicPlacementPlanner<WeightedPlacement>;

} // namespace Loomreach

#include <Loomreach/Fleet/PlacementPlanner.inl>
