// Decides where the replicas of one pool's jobs run and which are preempted. Pure: accepted state in, proposals out. Every proposal is
// checked again when it is applied, so a plan made on an outdated state does no harm.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Reason why a replica is not placed.
enum class EUnplaced : uint8
{
	NoCapacity,    ///< Every host that could hold it is full with work of the same or a higher priority.
	NeverFits,     ///< No host of the pool is large enough, even empty.
	QuotaTooSmall, ///< The team's quota is smaller than one replica.
	QuotaFull,     ///< The team's quota is used up by its other replicas.
	NoHosts,       ///< The pool has no available host.
	WaitsForHosts, ///< It would share a host with another replica of its job, while hosts of the pool are just starting.
	BackingOff     ///< It failed on several hosts and backs off.
};

/// A replica that is not placed, and the reason.
struct Unplaced
{
	ReplicaKey replica;
	EUnplaced why = EUnplaced::NoCapacity;
};

/// Result of a planning round.
struct PlacementPlan
{
	std::vector<ProposalBody> proposals;
	std::vector<Unplaced> unplaced;
	uint32 preempted = 0;
	uint32 moved = 0; ///< Replicas that move from an unavailable host to another one.
};

/// Explains to operators why a replica is not placed (`job why`).
std::string ExplainUnplaced(const FleetState &inState, const Unplaced &inUnplaced);

/// Rank of a host for a replica: the least is best, fields compare in order. Policies of BasicPlacementPlanner adjust it.
struct HostScore
{
	int64 failed_before = 0; ///< 1 if the job failed on it before.
	int64 host_siblings = 0; ///< Replicas of the same job on the host: they would share its slots.
	int64 will_leave = 0;    ///< 1 if a running wave has yet to take the host out: a replica placed there would move again.
	int64 rack_siblings = 0; ///< Replicas of the same job in the rack.
	int64 zone_siblings = 0; ///< Replicas of the same job in the availability zone.
	int64 idle_cost = 0;     ///< Set by the policy: less is better.

	auto operator<=>(const HostScore &) const = default;
};

/// A placement policy adjusts the score of a candidate host.
template <class P>
concept PlacementPolicy = requires(const FleetState &inState, const PoolSpec &inPool, const Host &inHost, const Resources &inFree,
								   HostScore inScore)
{
	{
		P::Adjust(inState, inPool, inHost, inFree, inScore)
		} -> std::same_as<HostScore>;
};

/// The policy in use: spreads replicas first, then avoids hosts that a wave will take; the weights of the pool choose between packing and
/// levelling.
struct WeightedPlacement
{
	static HostScore Adjust(const FleetState &inState, const PoolSpec &inPool, const Host &inHost, const Resources &inFree,
							HostScore inScore);
};

/// Baseline for measurements: the first host by name with enough free capacity.
struct FirstFitPlacement
{
	static HostScore Adjust(const FleetState &, const PoolSpec &, const Host &, const Resources &, HostScore) { return {}; }
};

/// Plans the placements of one pool under a policy.
template <PlacementPolicy P>
class BasicPlacementPlanner
{
public:
	/// Missing replicas of the jobs in `inWaiting`, which back off, are not placed now.
	BasicPlacementPlanner(const FleetState &inState, std::string inPool, const std::set<std::string> *inWaiting = nullptr);
	/// One planning round: stops undeclared replicas, places missing ones, preempts others where that frees enough capacity.
	PlacementPlan Plan();

private:
	/// A candidate host, with the free capacity that the plan has left on it.
	struct Candidate
	{
		const Host *host = nullptr;
		Resources free;
		std::map<std::string, int64> planned; ///< Replicas of each job that the plan places here.
	};
	/// A declared replica that is not placed on an available host.
	struct MissingReplica
	{
		ReplicaKey replica;
		const JobSpec *job = nullptr;
		const Placement *old = nullptr; ///< Its placement on an unavailable host; nullptr: none.
	};
	/// Replicas of one job, counted by rack and zone.
	struct Siblings
	{
		std::map<std::string, int64> racks;
		std::map<std::string, int64> zones;
	};

	void StopUndeclared();
	std::vector<MissingReplica> CollectMissing();
	/// Why the job can never be placed, if so.
	std::optional<EUnplaced> CheckFeasible(const JobSpec &inJob) const;
	bool HasQuota(const MissingReplica &inReplica) const;
	/// Whether the replica should wait for a starting host rather than share this one with another replica of its job.
	bool ShouldWaitForHosts(const MissingReplica &inReplica, const Candidate &inCandidate) const;
	/// Replicas of the job on the host, planned ones included.
	int64 SiblingsOn(const Candidate &inCandidate, const std::string &inJob) const;
	Candidate *BestHost(const MissingReplica &inReplica);
	/// Preempts the fewest replicas of lower priority that let this one fit; nullptr if none do.
	Candidate *PreemptFor(const MissingReplica &inReplica);
	/// Replicas of lower priority to preempt on the host so that this one fits; empty if it cannot.
	std::vector<ReplicaKey> Victims(const Candidate &inCandidate, const MissingReplica &inReplica) const;
	void Place(const MissingReplica &inReplica, Candidate &ioCandidate);
	void TryPlace(const MissingReplica &inReplica);

	const FleetState &state;
	std::string pool;
	const std::set<std::string> *backing_off = nullptr;
	const PoolSpec *pool_spec = nullptr;
	std::vector<Candidate> candidates;
	std::map<std::string, Siblings> siblings;
	std::map<std::string, int64> team_used;
	std::set<ReplicaKey> stopped;
	PlacementPlan plan;
};

using PlacementPlanner = BasicPlacementPlanner<WeightedPlacement>;

} // namespace Loomreach

#include <Loomreach/Fleet/PlacementPlanner.inl>
