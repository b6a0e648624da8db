// Control plane of one entry host: sends heartbeats, keeps the membership view up to date, plans for hosts and pools, writes snapshots and
// answers claims on ids. The decisions are made by pure classes (planners, claim table); this class runs them on timers and connects them
// to the log, the peers and the workers.
//
// Rules:
//  * A plan is made only once every earlier proposal of this process has been read back, so that nothing is proposed twice.
//  * Claims on ids are granted only while the lease holds: for `claim_lease_ms` after the last read of the platform that brought the state
//    up to date.

#pragma once

#include <Loomreach/Entry/LogFollower.h>
#include <Loomreach/Entry/Proposer.h>
#include <Loomreach/Entry/WorkerPoller.h>
#include <Loomreach/Fleet/JobBackoff.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Member/ViewPlanner.h>
#include <Loomreach/Request/ClaimTable.h>
#include <Loomreach/Request/Dispatcher.h>

namespace Loomreach
{

/// Runs the timers and connects the planners to the log, the peers and the workers.
class ControlLoop
{
public:
	ControlLoop(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, Proposer &ioProposer, WorkerPoller &ioPoller,
				PeerLink &ioLink, Dispatcher &ioDispatcher, Metrics &ioMetrics);

	/// Starts all timers.
	void Start();
	/// Begins a graceful shutdown: gives up all planning assignments at once, but goes on sending heartbeats.
	void BeginStop();
	/// Proposes to leave the membership view. `inDone` is called once the outcome is known, accepted or not, or at once where this member
	/// can't leave: the log is not reachable, or no other member would remain.
	void LeaveView(std::function<void()> inDone);
	/// Handles a heartbeat message from a peer.
	void OnHeartbeat(HeartbeatMessage inHeartbeat);
	/// Handles records that have been applied to the state. `inOutcomes` is empty when a whole state was adopted instead.
	void OnRecordsApplied(const std::vector<ProposalOutcome> &inOutcomes);
	/// Answers a peer that wants an id bound to it, or claims handed over.
	PeerReply AnswerClaim(const ClaimRequest &inRequest);
	PeerReply AnswerClaim(const HandOverRequest &inRequest);
	/// Binds an id that a caller chose to this entry host. Calls back with None, or with the reason why the request must not be dispatched
	/// here. With DuplicateId, the second argument is the incarnation that the id is bound to.
	void ClaimCallerId(const std::string &inId, std::function<void(EError, uint64)> inDone);

	/// This process as a member of the view.
	Member Self() const;
	const PeerTracker &Tracker() const { return this->tracker; }
	/// What blocks maintenance waves, by pool, for the pools that this entry host plans for.
	const std::map<std::string, std::string> &WaveBlockers() const { return this->wave_blockers; }
	/// Hosts that announce themselves, or are listed, as leaving; as seen by this entry host or reported by a peer lately.
	std::set<std::string> LeavingHosts() const;
	/// Whether claims may be granted and requests with caller-chosen ids dispatched: the platform was read within the lease time.
	bool LeaseHolds(Millis inNow) const;
	/// Bytes sent to and received from the workers' agents.
	uint64 WorkerBytes() const { return this->poller.Bytes(); }
	bool IsStopping() const { return this->stopping; }
	/// Tells which planning assignments belong to this entry host at the given time.
	PlannerAssignment MakeAssignment(Millis inNow) const;

	/// Receives the decisions of the dispatcher that follow from changed routes or elapsed time. Must be set before Start().
	std::function<void(std::vector<Decision>)> on_decisions;

private:
	struct ClaimRound;
	/// What the plans of pools depend on; while it is unchanged there is nothing new to plan.
	struct PlanInputs
	{
		LogOffset next_offset = 0;
		std::set<std::string> unresponsive_hosts;
		std::set<std::string> backed_off_jobs;

		bool operator==(const PlanInputs &) const = default;
	};
	/// Sends heartbeats to the own zone and, every few rounds or when unscheduled, to one member of each other zone.
	void SendHeartbeats(bool inUnscheduled);
	HeartbeatMessage MakeHeartbeat(Millis inNow) const;
	void PlanRound();
	void PlanMembership(const PlannerAssignment &inAssignment, Millis inNow);
	void PlanHosts(const PlannerAssignment &inAssignment, Millis inNow);
	void PlanPools(const PlannerAssignment &inAssignment, Millis inNow);
	void PlanSnapshot(const PlannerAssignment &inAssignment, Millis inNow);
	/// Whether every member of the own zone has read past the drain of a host and has no requests in flight to it.
	bool IsAcknowledged(const Host &inHost, Millis inNow) const;
	/// Requests the claims that this member must hold under the present view and lacks, from one of their holders.
	void TakeOverClaims();
	/// Sets the limits of endpoints from the demand that the members of the own zone have.
	void UpdateShares(Millis inNow);
	/// Updates services and endpoints of the dispatcher from the state, not more often than cRouteUpdateBackoff allows.
	void UpdateRoutes();
	void ReadHostList();
	/// Hosts that this entry host itself has seen to be leaving.
	std::set<std::string> OwnLeavingHosts() const;
	/// Sends a claim to the next member of its group, or ends it when all have granted it.
	void AskNextMember(const std::shared_ptr<ClaimRound> &inRound);

	const DaemonConfig &config;
	uint64 incarnation;
	LogFollower &follower;
	Proposer &proposer;
	WorkerPoller &poller;
	PeerLink &link;
	Dispatcher &dispatcher;
	Metrics &metrics;
	PeerTracker tracker;
	ClaimTable claims;
	JobBackoff backoff;
	PlanInputs last_plan_inputs;
	Millis last_plan_time = 0;
	bool had_demand = true; ///< Some entry host of the zone had demand in the last round.
	std::map<std::string, std::string> wave_blockers;
	Timer heartbeat_timer;
	Timer plan_timer;
	Timer worker_poll_timer;
	Timer host_list_timer;
	Timer update_timer;
	uint64 scheduled_heartbeats = 0;
	uint64 sequence = 0; ///< Of the last heartbeat sent.
	Millis started = 0;  ///< Time of Start().
	bool stopping = false;
	bool leave_proposed = false;
	bool taking_over = false; ///< A request to hand over claims is in progress.
	ListeningSpan listening;
	Millis log_heartbeat_sent = 0;        ///< Time of the last heartbeat through the log.
	LogOffset routes_offset = 0;          ///< Offset of the state that the routes were made from.
	Millis routes_not_before = 0;         ///< Earliest time of the next route update.
	std::set<std::string> routes_leaving; ///< Leaving hosts that the routes were made with.
	uint64 last_view_resets = 0;
	Millis claims_not_before = 0; ///< After a reset of the view, no claims are granted before this time.
};

} // namespace Loomreach
