// The control side of one entry host: heartbeats, membership, stewardship, planning. Wires the pure planners
// to the log, the peers and the workers.

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

/// The loop.
class ControlLoop
{
public:
	ControlLoop(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, Proposer &ioProposer, WorkerPoller &ioPoller,
				PeerLink &ioLink, Dispatcher &ioDispatcher, Metrics &ioMetrics);

	/// Starts all timers.
	void Start();
	/// A planned stop has begun: hand stewardships over, go on with heartbeats.
	void BeginStop();
	/// Leaves the view and calls back when that is accepted or not to be had.
	void LeaveView(std::function<void()> inDone);
	/// A digest has come.
	void OnDigest(Digest inDigest);
	/// Records were folded.
	void OnFolded(const std::vector<Verdict> &inVerdicts);
	/// A peer asks about claims.
	PeerReply AnswerClaim(const AskClaim &inAsk);
	PeerReply AnswerClaim(const AskHandOver &inAsk);
	/// Binds a caller's own id to this entry host; calls back with None, or with why it may not be dispatched here.
	/// With DuplicateId, the second argument is the incarnation that it is bound to.
	void ClaimOwnId(const std::string &inId, std::function<void(EError, uint64)> inDone);

	/// This process as a member.
	Member Self() const;
	const PeerTracker &Tracker() const { return this->tracker; }
	/// What holds the waves of the pools that this entry host plans for.
	const std::map<std::string, std::string> &HeldBy() const { return this->held_by; }
	/// Hosts that are leaving by their own sign or the host list, as seen here or by a peer.
	std::set<std::string> LeavingHosts() const;
	/// Whether claims may be answered and own ids dispatched: the platform was read within the lease.
	bool LeaseHolds(Millis inNow) const;
	/// Bytes to and from workers' agents.
	uint64 WorkerBytes() const { return this->poller.Bytes(); }
	bool IsStopping() const { return this->stopping; }
	StewardPicker Picker(Millis inNow) const;

	/// Decisions of the dispatcher that a change of routes or time brought about; set by the wiring.
	std::function<void(std::vector<Decision>)> on_decisions;

private:
	struct ClaimRound;
	/// What the plans of pools were made from.
	struct PlanBasis
	{
		LogOffset next_offset = 0;
		std::set<std::string> unheard;
		std::set<std::string> waiting;

		bool operator==(const PlanBasis &) const = default;
	};
	void Beat(bool inOnlyNews);
	Digest MakeDigest(Millis inNow) const;
	void PlanRound();
	void PlanMembership(const StewardPicker &inPicker, Millis inNow);
	void PlanHosts(const StewardPicker &inPicker, Millis inNow);
	void PlanPools(const StewardPicker &inPicker, Millis inNow);
	void PlanSnapshot(const StewardPicker &inPicker, Millis inNow);
	bool IsAcknowledged(const Host &inHost, Millis inNow) const;
	void TakeOverClaims();
	void UpdateShares(Millis inNow);
	void UpdateRoutes();
	void ReadList();
	/// Hosts that this entry host itself has seen to be leaving.
	std::set<std::string> OwnLeavingHosts() const;
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
	PlanBasis planned_on;
	Millis planned_at = 0;
	bool had_demand = true;
	std::map<std::string, std::string> held_by;
	Timer beat_timer;
	Timer plan_timer;
	Timer poll_timer;
	Timer list_timer;
	Timer news_timer;
	uint64 beats = 0;
	uint64 sequence = 0;
	Millis started = 0;
	bool stopping = false;
	bool left = false;
	bool taking_over = false;
	ListeningSpan listening;
	Millis log_beat_sent = 0;
	LogOffset routes_offset = 0; ///< State that the routes were made from.
	Millis routes_not_before = 0;
	std::set<std::string> routes_leaving; ///< Leaving hosts that the routes were made with.
	uint64 seen_resets = 0;
	Millis claims_from = 0; ///< After a reset, no claims before this time.
};

} // namespace Loomreach
