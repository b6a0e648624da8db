// Timers of the control plane, and the rounds that they run.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/ControlLoop.h>
#include <Loomreach/Fleet/HostLifecycle.h>
#include <Loomreach/Fleet/RollingPlan.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <Loomreach/Request/ShareUpdate.h>

namespace Loomreach
{

/// Heartbeats go to other zones once in this many rounds.
static constexpr Millis cRemoteHeartbeatEvery = 4;
/// Missed heartbeats after which a member of another zone is suspected.
static constexpr Millis cRemoteHeartbeatsToSuspect = 3;
/// Delay of an unscheduled heartbeat, so that one heartbeat covers several records.
static constexpr Millis cUpdateDelayMs = 20;
static constexpr Millis cHostListIntervalMs = 2000;
static constexpr Millis cPeerRequestTimeoutMs = 1000;
/// Poll interval of the log for an entry host that learns of new records from the reader of its zone.
static constexpr Millis cFollowerPollIntervalMs = 5000;
/// Poll interval of the log for the reader of a zone.
static constexpr Millis cReaderPollIntervalMs = 500;
/// Age after which pools are planned again although no input has changed.
static constexpr Millis cMaxPlanAgeMs = 2000;
/// Pause after a route update, as a multiple of the time that the update took.
static constexpr double cRouteUpdateBackoff = 100.0;
static constexpr size_t cMaxDemandsInHeartbeat = 32;
static constexpr size_t cMaxHostsInHeartbeat = 16;
/// Age up to which a peer's report of leaving hosts counts.
static constexpr Millis cLeavingReportMaxAgeMs = 10'000;

ControlLoop::ControlLoop(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, Proposer &ioProposer,
						 WorkerPoller &ioPoller, PeerLink &ioLink, Dispatcher &ioDispatcher, Metrics &ioMetrics)
	: config(inConfig), incarnation(inIncarnation), follower(ioFollower), proposer(ioProposer), poller(ioPoller), link(ioLink),
	  dispatcher(ioDispatcher), metrics(ioMetrics),
	  tracker(inConfig.name, inConfig.availability_zone, inConfig.suspect_after_ms,
			  std::max(inConfig.suspect_after_ms, cRemoteHeartbeatsToSuspect * cRemoteHeartbeatEvery * inConfig.heartbeat_ms)),
	  claims(inConfig.name, inIncarnation)
{
}

void ControlLoop::Start()
{
	this->started = NowMillis();
	this->heartbeat_timer.Every(this->config.heartbeat_ms, [this] { this->SendHeartbeats(false); });
	this->plan_timer.Every(this->config.plan_interval_ms, [this] { this->PlanRound(); });
	this->worker_poll_timer.Every(this->config.worker_poll_ms,
								  [this]
								  {
									  if (this->follower.IsReady())
										  this->poller.PollWorkers(this->follower.State(), this->MakeAssignment(NowMillis()), NowMillis());
								  });
	this->host_list_timer.Every(cHostListIntervalMs, [this] { this->ReadHostList(); });
}

Member ControlLoop::Self() const
{
	return {this->config.name,  this->incarnation,   this->config.region, this->config.availability_zone,
			this->config.peers, this->config.callers};
}

PlannerAssignment ControlLoop::MakeAssignment(Millis inNow) const
{
	return {this->follower.State().view, this->tracker, this->config.name, this->follower.ReachesPlatform(inNow), this->stopping, inNow};
}

bool ControlLoop::LeaseHolds(Millis inNow) const
{
	const Millis read = this->follower.LastPlatformRead();
	return read != 0 && inNow - read < this->config.claim_lease_ms && inNow >= this->claims_not_before;
}

std::set<std::string> ControlLoop::OwnLeavingHosts() const
{
	std::set<std::string> leaving;
	for (const auto &[name, listed] : this->poller.Seen().listed)
		if (listed.leaving)
			leaving.insert(name);
	for (const auto &[name, observation] : this->poller.Seen().hosts)
		if (observation.leaving)
			leaving.insert(name);
	const Millis now = NowMillis();
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
		if (endpoint.leaving_until > now)
			leaving.insert(name);
	return leaving;
}

std::set<std::string> ControlLoop::LeavingHosts() const
{
	std::set<std::string> leaving = this->OwnLeavingHosts();
	const Millis now = NowMillis();
	for (const auto &[name, peer] : this->tracker.All())
		if (now - peer.heard < cLeavingReportMaxAgeMs)
			leaving.insert(peer.heartbeat.leaving_hosts.begin(), peer.heartbeat.leaving_hosts.end());
	return leaving;
}

HeartbeatMessage ControlLoop::MakeHeartbeat(Millis inNow) const
{
	HeartbeatMessage heartbeat;
	heartbeat.name = this->config.name;
	heartbeat.incarnation = this->incarnation;
	heartbeat.availability_zone = this->config.availability_zone;
	heartbeat.peers = this->config.peers;
	heartbeat.next_offset = this->follower.IsReady() ? this->follower.State().next_offset : 0;
	heartbeat.reaches_platform = this->follower.ReachesPlatform(inNow) && !this->stopping;
	heartbeat.zone_reaches_platform = heartbeat.reaches_platform || this->tracker.ZoneReachesPlatform(inNow);
	heartbeat.stopping = this->stopping;
	const FleetState &state = this->follower.State();
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
	{
		auto host = state.hosts.find(name);
		const bool drains = host != state.hosts.end() && host->second.phase == EHostPhase::Draining;
		if (drains && endpoint.in_flight > 0 && heartbeat.busy_hosts.size() < cMaxHostsInHeartbeat)
			heartbeat.busy_hosts.push_back(name);
	}
	for (const std::string &name : this->OwnLeavingHosts())
		if (heartbeat.leaving_hosts.size() < cMaxHostsInHeartbeat)
			heartbeat.leaving_hosts.push_back(name);
	for (const auto &[name, path] : state.services)
	{
		const uint32 demand = this->dispatcher.Demand(path);
		if (demand > 0 && heartbeat.demands.size() < cMaxDemandsInHeartbeat)
			heartbeat.demands.push_back({ServiceHash(path), static_cast<uint16>(std::min<uint32>(demand, UINT16_MAX))});
	}
	return heartbeat;
}

void ControlLoop::SendHeartbeats(bool inUnscheduled)
{
	const Millis now = NowMillis();
	HeartbeatMessage heartbeat = this->MakeHeartbeat(now);
	const bool is_remote_turn = inUnscheduled || this->scheduled_heartbeats++ % static_cast<uint64>(cRemoteHeartbeatEvery) == 0;
	std::map<std::string, std::vector<std::string>> remote_members;
	uint64 zone_rank = 0; ///< Position of this entry host among the members of its zone, by name.
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (name == this->config.name)
			continue;
		if (member.availability_zone == this->config.availability_zone && name < this->config.name)
			++zone_rank;
		if (member.availability_zone != this->config.availability_zone)
		{
			remote_members[member.availability_zone].push_back(name);
			continue;
		}
		heartbeat.sequence = ++this->sequence;
		this->link.SendHeartbeat(member.peers, heartbeat);
	}
	if (!is_remote_turn)
		return;
	// One member of each other zone, so that traffic stays constant as zones grow; the receiver changes with each turn
	heartbeat.demands.clear();
	heartbeat.zone_members = this->tracker.ZoneMembers(now);
	// Members of one zone choose different receivers in each turn, so that every member of the other zone hears from this zone
	const uint64 turn = this->scheduled_heartbeats / static_cast<uint64>(cRemoteHeartbeatEvery) + zone_rank;
	for (const auto &[zone, names] : remote_members)
	{
		const std::string &to = names[turn % names.size()];
		heartbeat.sequence = ++this->sequence;
		this->link.SendHeartbeat(this->follower.State().view.members.find(to)->second.peers, heartbeat);
	}
}

void ControlLoop::OnHeartbeat(HeartbeatMessage inHeartbeat)
{
	if (inHeartbeat.incarnation == this->incarnation)
		return;
	const Address peer = inHeartbeat.peers;
	const LogOffset next = inHeartbeat.next_offset;
	if (!this->tracker.OnHeartbeat(std::move(inHeartbeat), NowMillis()))
	{
		this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
		return;
	}
	if (next > this->follower.State().next_offset)
		this->follower.OnPeerAhead(peer, next);
}

void ControlLoop::OnRecordsApplied(const std::vector<ProposalOutcome> &inOutcomes)
{
	if (inOutcomes.empty())
		this->proposer.OnAdopted(this->follower.State());
	this->proposer.OnOutcomes(inOutcomes);
	const FleetState &state = this->follower.State();
	const size_t members = std::max<size_t>(1, state.view.members.size());
	// Each process may use twice its even share of the append rate: few propose at the same time, so the total stays below the log's limit
	this->proposer.SetRate(std::max(1.0, 2.0 * static_cast<double>(this->config.append_per_s) / static_cast<double>(members)));
	if (state.view.resets != this->last_view_resets)
	{
		this->last_view_resets = state.view.resets;
		this->claims_not_before = NowMillis() + this->config.claim_lease_ms + this->config.claim_quiet_ms;
	}
	this->claims.Update(state);
	this->tracker.UpdateFromLog(state, NowMillis());
	this->UpdateRoutes();
	// Tell the peers without waiting for the next heartbeat, but gather what arrives within a few milliseconds
	if (!this->update_timer.IsRunning())
		this->update_timer.Once(cUpdateDelayMs, [this] { this->SendHeartbeats(true); });
	this->proposer.SendBatch();
}

void ControlLoop::ReadHostList()
{
	// Only one reader in each zone and the planner for the host list read it; the others learn of leaving hosts from heartbeats
	const PlannerAssignment assignment = this->MakeAssignment(NowMillis());
	if (assignment.IsAssignedInZone("log-reader", this->config.availability_zone) || assignment.IsAssigned("hosts"))
		this->poller.ReadHosts(this->follower.State());
}

void ControlLoop::UpdateRoutes()
{
	const Millis now = NowMillis();
	std::set<std::string> leaving = this->LeavingHosts();
	const bool is_same = this->routes_offset == this->follower.State().next_offset && this->routes_leaving == leaving;
	// The cost of a route update grows with the fleet; during a burst of records, updates may use at most 1 % of the time
	if (is_same || now < this->routes_not_before)
		return;
	const double began = NowMillisExact();
	this->routes_offset = this->follower.State().next_offset;
	this->routes_leaving = std::move(leaving);
	std::vector<Decision> decisions;
	this->dispatcher.Update(this->follower.State(), this->routes_leaving, now, decisions);
	this->UpdateShares(now);
	this->routes_not_before = now + static_cast<Millis>(cRouteUpdateBackoff * (NowMillisExact() - began));
	this->on_decisions(std::move(decisions));
}

void ControlLoop::UpdateShares(Millis inNow)
{
	// Without demand in this zone, now and in the last round, the limits need no update
	const bool any_demand =
		this->dispatcher.Open() > 0 || std::any_of(this->tracker.All().begin(), this->tracker.All().end(),
												   [](const auto &inPeer) { return !inPeer.second.heartbeat.demands.empty(); });
	if (!any_demand && !this->had_demand)
		return;
	this->had_demand = any_demand;
	// Live members of the own availability zone, including this one, with their reported demand. Members of other zones seldom send
	// requests to endpoints of this zone; where they do, the worker itself refuses what exceeds its capacity
	std::vector<MemberDemand> members;
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (member.availability_zone != this->config.availability_zone)
			continue;
		const Peer *peer = this->tracker.Find(name);
		if (name == this->config.name)
			members.push_back({name, true, {}});
		else if (peer != nullptr && this->tracker.IsLive(name, inNow))
			members.push_back({name, false, DemandByService(peer->heartbeat)});
	}
	UpdateLimits(this->dispatcher, this->config.availability_zone, members);
}

void ControlLoop::PlanRound()
{
	const Millis now = NowMillis();
	std::vector<Decision> decisions;
	this->UpdateShares(now);
	this->dispatcher.Tick(now, decisions);
	this->on_decisions(std::move(decisions));
	this->proposer.SendBatch();
	if (!this->follower.IsReady())
		return;
	const PlannerAssignment assignment = this->MakeAssignment(now);
	this->follower.SetInterval(assignment.IsAssignedInZone("log-reader", this->config.availability_zone)
								   ? cReaderPollIntervalMs
								   : std::min(cFollowerPollIntervalMs, this->config.claim_lease_ms / 3));
	this->UpdateRoutes();
	// A host that fails requests, or says that it is leaving, is polled at the short interval
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
		if (endpoint.ejected_until > now || endpoint.leaving_until > now)
			this->poller.PollSoon(name);
	if (!this->stopping)
		this->PlanMembership(assignment, now);
	this->TakeOverClaims();
	// Plan only once earlier proposals have been read back, so that nothing is proposed twice
	if (!this->proposer.IsIdle())
		return;
	const double began = NowMillisExact();
	this->PlanHosts(assignment, now);
	this->PlanPools(assignment, now);
	this->PlanSnapshot(assignment, now);
	this->metrics.Observe(ETiming::Plan, NowMillisExact() - began);
}

void ControlLoop::PlanMembership(const PlannerAssignment &inAssignment, Millis inNow)
{
	const Millis listening_since = this->listening.Update(inNow, this->config.suspect_after_ms);
	if (!this->follower.ReachesPlatform(inNow) || !this->proposer.IsIdle())
		return;
	const FleetState &state = this->follower.State();
	std::optional<ChangeView> change =
		PlanView({state, this->tracker, this->Self(), inNow, listening_since, this->config.remove_after_ms, this->config.suspect_after_ms});
	if (change.has_value())
		return this->proposer.Propose(std::move(*change));
	// Zones that are partitioned from each other but reach the platform would remove each other's members, unless both report through the
	// log that they are alive
	const std::string &zone = this->config.availability_zone;
	const Millis silence = this->config.remove_after_ms / 2;
	const bool due = inNow - this->log_heartbeat_sent >= this->config.remove_after_ms / 3 && inNow - listening_since >= silence;
	if (!due || !inAssignment.IsAssignedInZone("log-beat", zone) || !NeedsLogHeartbeat(state.view, this->tracker, zone, silence, inNow))
		return;
	this->log_heartbeat_sent = inNow;
	this->proposer.Propose(ZoneAlive{zone});
}

void ControlLoop::PlanHosts(const PlannerAssignment &inAssignment, Millis inNow)
{
	const FleetState &state = this->follower.State();
	this->poller.SetLeaving(this->LeavingHosts());
	const HostLifecycleBounds bounds{this->poller.FailedAfter(), this->config.worker_poll_ms / 2, 10 * this->poller.FailedAfter()};
	const HostLifecycle lifecycle(state, this->poller.Seen(), bounds, inNow);
	if (inAssignment.IsAssigned("hosts"))
		for (ProposalBody &body : lifecycle.FollowHostList())
			this->proposer.Propose(std::move(body));
	for (const auto &[name, observation] : this->poller.Seen().hosts)
	{
		auto host = state.hosts.find(name);
		if (host == state.hosts.end())
			continue;
		for (ProposalBody &body : lifecycle.Decide(host->second, this->IsAcknowledged(host->second, inNow)))
			this->proposer.Propose(std::move(body));
	}
}

bool ControlLoop::IsAcknowledged(const Host &inHost, Millis inNow) const
{
	// Offset of the drain: a host's generation is the log position of its last accepted step
	const LogOffset drained_at = inHost.generation / cMaxProposalsInBatch;
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (name == this->config.name)
			continue;
		const Peer *peer = this->tracker.Find(name);
		const bool same_zone = member.availability_zone == this->config.availability_zone;
		// Members of other zones send heartbeats seldom and to one member only; a draining worker refuses their requests itself
		if (!same_zone)
			continue;
		if (peer == nullptr || !this->tracker.IsLive(name, inNow) || peer->heartbeat.next_offset <= drained_at)
			return false;
		const std::vector<std::string> &busy = peer->heartbeat.busy_hosts;
		if (std::find(busy.begin(), busy.end(), inHost.spec.name) != busy.end())
			return false;
	}
	const Endpoint *own = this->dispatcher.Endpoints().Find(inHost.spec.name);
	return own == nullptr || own->in_flight == 0;
}

void ControlLoop::PlanPools(const PlannerAssignment &inAssignment, Millis inNow)
{
	const FleetState &state = this->follower.State();
	std::set<std::string> unresponsive_hosts;
	for (const auto &[name, host] : state.hosts)
		if (inAssignment.UnresponsiveZones().count(host.spec.availability_zone) != 0)
			unresponsive_hosts.insert(name);
	std::set<std::string> backed_off_jobs = this->backoff.Waiting(state, inNow);
	// A plan is made again when its inputs have changed, or after a while, since planning assignments move between entry hosts
	PlanInputs inputs{state.next_offset, std::move(unresponsive_hosts), std::move(backed_off_jobs)};
	if (inputs == this->last_plan_inputs && inNow - this->last_plan_time < cMaxPlanAgeMs)
		return;
	this->last_plan_inputs = std::move(inputs);
	this->last_plan_time = inNow;
	this->wave_blockers.clear();
	for (const auto &[path, pool] : state.pools)
	{
		if (!inAssignment.IsAssigned("pool:" + path))
			continue;
		PlacementPlan placements = PlacementPlanner(state, path, &this->last_plan_inputs.backed_off_jobs).Plan();
		if (std::optional<StartWave> turn = PlanRolling(state, pool, g_get_real_time() / G_USEC_PER_SEC); turn.has_value())
			this->proposer.Propose(std::move(*turn));
		WavePlan wave = WavePlanner(state, path, this->last_plan_inputs.unresponsive_hosts).Plan();
		if (!wave.held_by.empty())
			this->wave_blockers.emplace(path, wave.held_by);
		for (ProposalBody &body : placements.proposals)
			this->proposer.Propose(std::move(body));
		for (ProposalBody &body : wave.proposals)
			this->proposer.Propose(std::move(body));
	}
}

void ControlLoop::PlanSnapshot(const PlannerAssignment &inAssignment, Millis inNow)
{
	if (!inAssignment.IsAssigned("snapshot"))
		return;
	const LogOffset next = this->follower.State().next_offset;
	const bool many = next - this->follower.SnapshotOffset() >= static_cast<uint64>(this->config.snapshot_every_records);
	const bool old = inNow - std::max(this->follower.SnapshotTime(), this->started) > this->config.snapshot_max_age_s * 1000;
	if (many || old)
		this->follower.WriteSnapshot();
}

void ControlLoop::TakeOverClaims()
{
	const std::vector<std::pair<uint32, std::string>> missing = this->claims.MissingRanges();
	if (missing.empty() || this->taking_over || !this->proposer.IsIdle())
		return;
	// One holder at a time, with all ranges that are missing from it in one request
	const std::string holder = missing.front().second;
	auto member = this->follower.State().view.members.find(holder);
	if (member == this->follower.State().view.members.end())
		return;
	HandOverRequest request{this->claims.ViewNumber(), {}};
	for (const auto &[range, from] : missing)
		if (from == holder)
			request.ranges.push_back(range);
	this->taking_over = true;
	const uint64 view = request.view;
	this->link.SendRequest(member->second.peers, std::move(request), cPeerRequestTimeoutMs,
						   [this, view](std::optional<PeerReply> inReply)
						   {
							   this->taking_over = false;
							   const HandOverReply *reply = inReply.has_value() ? std::get_if<HandOverReply>(&*inReply) : nullptr;
							   // If the view has changed since, the next round asks again under the new view
							   if (reply == nullptr || view != this->claims.ViewNumber())
								   return;
							   TakeOver take{view, this->config.name, {}};
							   for (const auto &[range, list] : reply->ranges)
							   {
								   this->claims.ImportClaims(range, list, NowMillis());
								   take.ranges.push_back(range);
							   }
							   if (!take.ranges.empty())
								   this->proposer.Propose(std::move(take));
						   });
}

PeerReply ControlLoop::AnswerClaim(const ClaimRequest &inRequest)
{
	if (inRequest.range >= cClaimRanges)
		return RefusedReply{"no such range"};
	ClaimReply reply;
	const Millis now = NowMillis();
	reply.answer =
		this->claims.Answer(inRequest.id, inRequest.range, inRequest.owner, inRequest.view, this->LeaseHolds(now), now, reply.holder);
	return reply;
}

PeerReply ControlLoop::AnswerClaim(const HandOverRequest &inRequest)
{
	HandOverReply reply;
	for (uint32 range : inRequest.ranges)
		if (std::optional<std::vector<Claim>> list = this->claims.HandOver(range, inRequest.view); list.has_value())
			reply.ranges.emplace_back(range, std::move(*list));
	return reply;
}

/// A claim on a caller-chosen id. The members of its claim group are asked one by one in a fixed order, so that the first member
/// arbitrates between concurrent claimers.
struct ControlLoop::ClaimRound
{
	ClaimRequest request;
	std::vector<std::string> group;
	size_t next = 0;
	std::function<void(EError, uint64)> done;
};

void ControlLoop::ClaimCallerId(const std::string &inId, std::function<void(EError, uint64)> inDone)
{
	const FleetState &state = this->follower.State();
	auto round = std::make_shared<ClaimRound>();
	const uint32 range = ClaimRangeOf({}, inId);
	round->request = {inId, range, this->incarnation, state.view.number};
	round->group = ClaimGroupOf(state.view, range);
	round->done = std::move(inDone);
	if (!this->LeaseHolds(NowMillis()) || round->group.empty() || state.view.members.count(this->config.name) == 0)
		return round->done(EError::NotReady, 0);
	this->AskNextMember(round);
}

void ControlLoop::AskNextMember(const std::shared_ptr<ClaimRound> &inRound)
{
	if (inRound->next == inRound->group.size())
	{
		// The lease may have run out, or the view changed, while the members answered
		const bool lease_holds = this->LeaseHolds(NowMillis()) && this->follower.State().view.number == inRound->request.view;
		return inRound->done(lease_holds ? EError::None : EError::NotReady, 0);
	}
	const auto on_reply = [this, inRound](std::optional<PeerReply> inReply)
	{
		const ClaimReply *reply = inReply.has_value() ? std::get_if<ClaimReply>(&*inReply) : nullptr;
		if (reply == nullptr || (reply->answer != EClaim::Granted && reply->answer != EClaim::Taken))
		{
			this->metrics.Count(ECounter::Claims, "incomplete");
			return inRound->done(EError::NotReady, 0);
		}
		if (reply->answer == EClaim::Taken)
		{
			this->metrics.Count(ECounter::Claims, "taken");
			return inRound->done(EError::DuplicateId, reply->holder);
		}
		this->metrics.Count(ECounter::Claims, "granted");
		++inRound->next;
		this->AskNextMember(inRound);
	};
	const std::string &name = inRound->group[inRound->next];
	if (name == this->config.name)
		return on_reply(this->AnswerClaim(inRound->request));
	this->link.SendRequest(this->follower.State().view.members.find(name)->second.peers, inRound->request, cPeerRequestTimeoutMs, on_reply);
}

void ControlLoop::BeginStop()
{
	this->stopping = true;
	this->SendHeartbeats(true);
}

void ControlLoop::LeaveView(std::function<void()> inDone)
{
	const View &view = this->follower.State().view;
	if (this->leave_proposed || view.members.count(this->config.name) == 0 || !this->follower.ReachesPlatform(NowMillis()))
		return inDone();
	ChangeView change{view.number, {}, false};
	for (const auto &[name, member] : view.members)
		if (name != this->config.name)
			change.members.push_back(member);
	if (change.members.empty())
		return inDone();
	this->leave_proposed = true;
	// If the proposal is rejected, the others remove this member once it has been unresponsive for long enough
	this->proposer.Propose(std::move(change), [done = std::move(inDone)](const ProposalOutcome &) { done(); });
}

} // namespace Loomreach
