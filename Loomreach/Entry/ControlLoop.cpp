// Timers and wiring of the control side.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/ControlLoop.h>
#include <Loomreach/Fleet/HostKeeper.h>
#include <Loomreach/Fleet/RollingPlan.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <Loomreach/Request/ShareUpdate.h>

namespace Loomreach
{

static constexpr Millis cFarBeatEvery = 4;
static constexpr Millis cFarTurnsToSuspect = 3;
static constexpr Millis cNewsDelayMs = 20;
static constexpr Millis cListIntervalMs = 2000;
static constexpr Millis cAskTimeoutMs = 1000;
static constexpr Millis cFollowerIntervalMs = 5000;
static constexpr Millis cReaderIntervalMs = 500;
static constexpr Millis cReplanMs = 2000;
static constexpr double cRoutesPacing = 100.0;
static constexpr size_t cMaxDemands = 32;
static constexpr size_t cMaxHostsInDigest = 16;
static constexpr Millis cLeavingSignMs = 10'000;

ControlLoop::ControlLoop(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, Proposer &ioProposer,
						 WorkerPoller &ioPoller, PeerLink &ioLink, Dispatcher &ioDispatcher, Metrics &ioMetrics)
	: config(inConfig), incarnation(inIncarnation), follower(ioFollower), proposer(ioProposer), poller(ioPoller), link(ioLink),
	  dispatcher(ioDispatcher), metrics(ioMetrics),
	  tracker(inConfig.name, inConfig.availability_zone, inConfig.suspect_after_ms,
			  std::max(inConfig.suspect_after_ms, cFarTurnsToSuspect * cFarBeatEvery * inConfig.heartbeat_ms)),
	  claims(inConfig.name, inIncarnation)
{
}

void ControlLoop::Start()
{
	this->started = NowMillis();
	this->beat_timer.Every(this->config.heartbeat_ms, [this] { this->Beat(false); });
	this->plan_timer.Every(this->config.plan_interval_ms, [this] { this->PlanRound(); });
	this->poll_timer.Every(this->config.worker_poll_ms,
						   [this]
						   {
							   if (this->follower.IsReady())
								   this->poller.Round(this->follower.State(), this->Picker(NowMillis()), NowMillis());
						   });
	this->list_timer.Every(cListIntervalMs, [this] { this->ReadList(); });
}

Member ControlLoop::Self() const
{
	return {this->config.name,  this->incarnation,   this->config.region, this->config.availability_zone,
			this->config.peers, this->config.callers};
}

StewardPicker ControlLoop::Picker(Millis inNow) const
{
	return {this->follower.State().view, this->tracker, this->config.name, this->follower.ReachesPlatform(inNow), this->stopping, inNow};
}

bool ControlLoop::LeaseHolds(Millis inNow) const
{
	const Millis read = this->follower.LastPlatformRead();
	return read != 0 && inNow - read < this->config.claim_lease_ms && inNow >= this->claims_from;
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
		if (now - peer.heard < cLeavingSignMs)
			leaving.insert(peer.digest.leaving_hosts.begin(), peer.digest.leaving_hosts.end());
	return leaving;
}

Digest ControlLoop::MakeDigest(Millis inNow) const
{
	Digest digest;
	digest.name = this->config.name;
	digest.incarnation = this->incarnation;
	digest.availability_zone = this->config.availability_zone;
	digest.peers = this->config.peers;
	digest.next_offset = this->follower.IsReady() ? this->follower.State().next_offset : 0;
	digest.reaches_platform = this->follower.ReachesPlatform(inNow) && !this->stopping;
	digest.zone_reaches_platform = digest.reaches_platform || this->tracker.ZoneReachesPlatform(inNow);
	digest.stopping = this->stopping;
	const FleetState &state = this->follower.State();
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
	{
		auto host = state.hosts.find(name);
		const bool drains = host != state.hosts.end() && host->second.phase == EHostPhase::Draining;
		if (drains && endpoint.in_flight > 0 && digest.busy_hosts.size() < cMaxHostsInDigest)
			digest.busy_hosts.push_back(name);
	}
	for (const std::string &name : this->OwnLeavingHosts())
		if (digest.leaving_hosts.size() < cMaxHostsInDigest)
			digest.leaving_hosts.push_back(name);
	for (const auto &[name, path] : state.services)
	{
		const uint32 demand = this->dispatcher.Demand(path);
		if (demand > 0 && digest.demands.size() < cMaxDemands)
			digest.demands.push_back({ServiceHash(path), static_cast<uint16>(std::min<uint32>(demand, UINT16_MAX))});
	}
	return digest;
}

void ControlLoop::Beat(bool inOnlyNews)
{
	const Millis now = NowMillis();
	Digest digest = this->MakeDigest(now);
	const bool far_turn = inOnlyNews || this->beats++ % static_cast<uint64>(cFarBeatEvery) == 0;
	std::map<std::string, std::vector<std::string>> far_zones;
	uint64 near = 0; ///< This entry host's place among the members of its zone.
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (name == this->config.name)
			continue;
		if (member.availability_zone == this->config.availability_zone && name < this->config.name)
			++near;
		if (member.availability_zone != this->config.availability_zone)
		{
			far_zones[member.availability_zone].push_back(name);
			continue;
		}
		digest.sequence = ++this->sequence;
		this->link.Send(member.peers, digest);
	}
	if (!far_turn)
		return;
	// One member in each other zone, so that traffic stays flat; who it is shifts from turn to turn
	digest.demands.clear();
	digest.zone_members = this->tracker.ZoneMembers(now);
	// Members of one zone take different ones in each turn, so that all members there hear the zone in every turn
	const uint64 turn = this->beats / static_cast<uint64>(cFarBeatEvery) + near;
	for (const auto &[zone, names] : far_zones)
	{
		const std::string &to = names[turn % names.size()];
		digest.sequence = ++this->sequence;
		this->link.Send(this->follower.State().view.members.find(to)->second.peers, digest);
	}
}

void ControlLoop::OnDigest(Digest inDigest)
{
	if (inDigest.incarnation == this->incarnation)
		return;
	const Address peer = inDigest.peers;
	const LogOffset next = inDigest.next_offset;
	if (!this->tracker.Hear(std::move(inDigest), NowMillis()))
	{
		this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
		return;
	}
	if (next > this->follower.State().next_offset)
		this->follower.OnPeerAhead(peer, next);
}

void ControlLoop::OnFolded(const std::vector<Verdict> &inVerdicts)
{
	if (inVerdicts.empty())
		this->proposer.OnAdopted(this->follower.State());
	this->proposer.OnVerdicts(inVerdicts);
	const FleetState &state = this->follower.State();
	const size_t members = std::max<size_t>(1, state.view.members.size());
	// Each process may use twice its even share: few propose at a time, and the whole stays under the log's limit
	this->proposer.SetRate(std::max(1.0, 2.0 * static_cast<double>(this->config.append_per_s) / static_cast<double>(members)));
	if (state.view.resets != this->seen_resets)
	{
		this->seen_resets = state.view.resets;
		this->claims_from = NowMillis() + this->config.claim_lease_ms + this->config.claim_quiet_ms;
	}
	this->claims.Update(state);
	this->tracker.HearLog(state, NowMillis());
	this->UpdateRoutes();
	// Tell the others at once, but gather what comes within a few milliseconds
	if (!this->news_timer.IsRunning())
		this->news_timer.Once(cNewsDelayMs, [this] { this->Beat(true); });
	this->proposer.Pump();
}

void ControlLoop::ReadList()
{
	// One reader in each zone, and the steward that follows the list; the others hear of leaving hosts by digests
	const StewardPicker picker = this->Picker(NowMillis());
	if (picker.IsMineIn("log-reader", this->config.availability_zone) || picker.IsMine("hosts"))
		this->poller.ReadHosts(this->follower.State());
}

void ControlLoop::UpdateRoutes()
{
	const Millis now = NowMillis();
	std::set<std::string> leaving = this->LeavingHosts();
	const bool is_same = this->routes_offset == this->follower.State().next_offset && this->routes_leaving == leaving;
	// Making the routes grows with the fleet; under a burst of records it takes at most a hundredth of the time
	if (is_same || now < this->routes_not_before)
		return;
	const double began = NowMillisExact();
	this->routes_offset = this->follower.State().next_offset;
	this->routes_leaving = std::move(leaving);
	std::vector<Decision> decisions;
	this->dispatcher.Update(this->follower.State(), this->routes_leaving, now, decisions);
	this->UpdateShares(now);
	this->routes_not_before = now + static_cast<Millis>(cRoutesPacing * (NowMillisExact() - began));
	this->on_decisions(std::move(decisions));
}

void ControlLoop::UpdateShares(Millis inNow)
{
	// Nobody in the zone has any demand: the limits can stay as they are
	const bool any_demand =
		this->dispatcher.Open() > 0 || std::any_of(this->tracker.All().begin(), this->tracker.All().end(),
												   [](const auto &inPeer) { return !inPeer.second.digest.demands.empty(); });
	if (!any_demand && !this->had_demand)
		return;
	this->had_demand = any_demand;
	// Live members of the own availability zone, this one among them, with what each reported. Members of other zones seldom
	// come here; where they do, the worker itself refuses what does not fit
	std::vector<MemberDemand> members;
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (member.availability_zone != this->config.availability_zone)
			continue;
		const Peer *peer = this->tracker.Find(name);
		if (name == this->config.name)
			members.push_back({name, true, {}});
		else if (peer != nullptr && this->tracker.IsLive(name, inNow))
			members.push_back({name, false, DemandByService(peer->digest)});
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
	this->proposer.Pump();
	if (!this->follower.IsReady())
		return;
	const StewardPicker picker = this->Picker(now);
	this->follower.SetInterval(picker.IsMineIn("log-reader", this->config.availability_zone)
								   ? cReaderIntervalMs
								   : std::min(cFollowerIntervalMs, this->config.claim_lease_ms / 3));
	this->UpdateRoutes();
	// What requests see of an endpoint is news for its keeper
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
		if (endpoint.ejected_until > now || endpoint.leaving_until > now)
			this->poller.Suspect(name);
	if (!this->stopping)
		this->PlanMembership(picker, now);
	this->TakeOverClaims();
	// Plans are made on what has been read back, so that one round's proposals are not made twice
	if (!this->proposer.IsIdle())
		return;
	const double began = NowMillisExact();
	this->PlanHosts(picker, now);
	this->PlanPools(picker, now);
	this->PlanSnapshot(picker, now);
	this->metrics.Time(ETiming::Plan, NowMillisExact() - began);
}

void ControlLoop::PlanMembership(const StewardPicker &inPicker, Millis inNow)
{
	const Millis listening_since = this->listening.Note(inNow, this->config.suspect_after_ms);
	if (!this->follower.ReachesPlatform(inNow) || !this->proposer.IsIdle())
		return;
	const FleetState &state = this->follower.State();
	std::optional<ChangeView> change =
		PlanView({state, this->tracker, this->Self(), inNow, listening_since, this->config.remove_after_ms, this->config.suspect_after_ms});
	if (change.has_value())
		return this->proposer.Propose(std::move(*change));
	// Cut off from another zone but not from the platform: without a word by the log, each would remove the other
	const std::string &zone = this->config.availability_zone;
	const Millis silence = this->config.remove_after_ms / 2;
	const bool due = inNow - this->log_beat_sent >= this->config.remove_after_ms / 3 && inNow - listening_since >= silence;
	if (!due || !inPicker.IsMineIn("log-beat", zone) || !NeedsLogBeat(state.view, this->tracker, zone, silence, inNow))
		return;
	this->log_beat_sent = inNow;
	this->proposer.Propose(ZoneAlive{zone});
}

void ControlLoop::PlanHosts(const StewardPicker &inPicker, Millis inNow)
{
	const FleetState &state = this->follower.State();
	this->poller.SetLeaving(this->LeavingHosts());
	const KeeperBounds bounds{this->poller.FailedAfter(), this->config.worker_poll_ms / 2, 10 * this->poller.FailedAfter()};
	const HostKeeper keeper(state, this->poller.Seen(), bounds, inNow);
	if (inPicker.IsMine("hosts"))
		for (ProposalBody &body : keeper.FollowList())
			this->proposer.Propose(std::move(body));
	for (const auto &[name, observation] : this->poller.Seen().hosts)
	{
		auto host = state.hosts.find(name);
		if (host == state.hosts.end())
			continue;
		for (ProposalBody &body : keeper.Decide(host->second, this->IsAcknowledged(host->second, inNow)))
			this->proposer.Propose(std::move(body));
	}
}

bool ControlLoop::IsAcknowledged(const Host &inHost, Millis inNow) const
{
	// Every member has read past the drain and has nothing in flight to the host, or has left the view
	const LogOffset drained_at = inHost.generation / cMaxProposalsInBatch;
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (name == this->config.name)
			continue;
		const Peer *peer = this->tracker.Find(name);
		const bool same_zone = member.availability_zone == this->config.availability_zone;
		// Members of other zones beat seldom and to one of us; the worker's own refusal covers them
		if (!same_zone)
			continue;
		if (peer == nullptr || !this->tracker.IsLive(name, inNow) || peer->digest.next_offset <= drained_at)
			return false;
		const std::vector<std::string> &busy = peer->digest.busy_hosts;
		if (std::find(busy.begin(), busy.end(), inHost.spec.name) != busy.end())
			return false;
	}
	const Endpoint *own = this->dispatcher.Endpoints().Find(inHost.spec.name);
	return own == nullptr || own->in_flight == 0;
}

void ControlLoop::PlanPools(const StewardPicker &inPicker, Millis inNow)
{
	const FleetState &state = this->follower.State();
	std::set<std::string> unheard;
	for (const auto &[name, host] : state.hosts)
		if (inPicker.SilentZones().count(host.spec.availability_zone) != 0)
			unheard.insert(name);
	std::set<std::string> waiting = this->backoff.Waiting(state, inNow);
	// A plan follows from what it looks at: while that stays the same there is nothing new to plan. Now and then it is made all the
	// same, since stewardships shift
	PlanBasis basis{state.next_offset, std::move(unheard), std::move(waiting)};
	if (basis == this->planned_on && inNow - this->planned_at < cReplanMs)
		return;
	this->planned_on = std::move(basis);
	this->planned_at = inNow;
	this->held_by.clear();
	for (const auto &[path, pool] : state.pools)
	{
		if (!inPicker.IsMine("pool:" + path))
			continue;
		PlacementPlan placements = PlacementPlanner(state, path, &this->planned_on.waiting).Plan();
		if (std::optional<StartWave> turn = PlanRolling(state, pool, g_get_real_time() / G_USEC_PER_SEC); turn.has_value())
			this->proposer.Propose(std::move(*turn));
		WavePlan wave = WavePlanner(state, path, this->planned_on.unheard).Plan();
		if (!wave.held_by.empty())
			this->held_by.emplace(path, wave.held_by);
		for (ProposalBody &body : placements.proposals)
			this->proposer.Propose(std::move(body));
		for (ProposalBody &body : wave.proposals)
			this->proposer.Propose(std::move(body));
	}
}

void ControlLoop::PlanSnapshot(const StewardPicker &inPicker, Millis inNow)
{
	if (!inPicker.IsMine("snapshot"))
		return;
	const LogOffset next = this->follower.State().next_offset;
	const bool many = next - this->follower.SnapshotOffset() >= static_cast<uint64>(this->config.snapshot_every_records);
	const bool old = inNow - std::max(this->follower.SnapshotTime(), this->started) > this->config.snapshot_max_age_s * 1000;
	if (many || old)
		this->follower.WriteSnapshot();
}

void ControlLoop::TakeOverClaims()
{
	const std::vector<std::pair<uint32, std::string>> missing = this->claims.Missing();
	if (missing.empty() || this->taking_over || !this->proposer.IsIdle())
		return;
	// One holder at a time, all of its ranges at once
	const std::string holder = missing.front().second;
	auto member = this->follower.State().view.members.find(holder);
	if (member == this->follower.State().view.members.end())
		return;
	AskHandOver ask{this->claims.ViewNumber(), {}};
	for (const auto &[range, from] : missing)
		if (from == holder)
			ask.ranges.push_back(range);
	this->taking_over = true;
	const uint64 view = ask.view;
	this->link.Ask(member->second.peers, std::move(ask), cAskTimeoutMs,
				   [this, view](std::optional<PeerReply> inReply)
				   {
					   this->taking_over = false;
					   const HandOverReply *reply = inReply.has_value() ? std::get_if<HandOverReply>(&*inReply) : nullptr;
					   // A view that has changed meanwhile asks for another take-over
					   if (reply == nullptr || view != this->claims.ViewNumber())
						   return;
					   TakeOver take{view, this->config.name, {}};
					   for (const auto &[range, list] : reply->ranges)
					   {
						   this->claims.TakeIn(range, list, NowMillis());
						   take.ranges.push_back(range);
					   }
					   if (!take.ranges.empty())
						   this->proposer.Propose(std::move(take));
				   });
}

PeerReply ControlLoop::AnswerClaim(const AskClaim &inAsk)
{
	if (inAsk.range >= cClaimRanges)
		return RefusedReply{"no such range"};
	ClaimReply reply;
	const Millis now = NowMillis();
	reply.answer = this->claims.Answer(inAsk.id, inAsk.range, inAsk.owner, inAsk.view, this->LeaseHolds(now), now, reply.holder);
	return reply;
}

PeerReply ControlLoop::AnswerClaim(const AskHandOver &inAsk)
{
	HandOverReply reply;
	for (uint32 range : inAsk.ranges)
		if (std::optional<std::vector<Claim>> list = this->claims.HandOver(range, inAsk.view); list.has_value())
			reply.ranges.emplace_back(range, std::move(*list));
	return reply;
}

/// One caller's own id on its way through its claim group, member by member: the first arbitrates between claimers.
struct ControlLoop::ClaimRound
{
	AskClaim ask;
	std::vector<std::string> group;
	size_t next = 0;
	std::function<void(EError, uint64)> done;
};

void ControlLoop::ClaimOwnId(const std::string &inId, std::function<void(EError, uint64)> inDone)
{
	const FleetState &state = this->follower.State();
	auto round = std::make_shared<ClaimRound>();
	const uint32 range = ClaimRangeOf({}, inId);
	round->ask = {inId, range, this->incarnation, state.view.number};
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
		// The lease may have run out while the members answered
		const bool holds = this->LeaseHolds(NowMillis()) && this->follower.State().view.number == inRound->ask.view;
		return inRound->done(holds ? EError::None : EError::NotReady, 0);
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
		return on_reply(this->AnswerClaim(inRound->ask));
	this->link.Ask(this->follower.State().view.members.find(name)->second.peers, inRound->ask, cAskTimeoutMs, on_reply);
}

void ControlLoop::BeginStop()
{
	this->stopping = true;
	this->Beat(true);
}

void ControlLoop::LeaveView(std::function<void()> inDone)
{
	const View &view = this->follower.State().view;
	if (this->left || view.members.count(this->config.name) == 0 || !this->follower.ReachesPlatform(NowMillis()))
		return inDone();
	ChangeView change{view.number, {}, false};
	for (const auto &[name, member] : view.members)
		if (name != this->config.name)
			change.members.push_back(member);
	if (change.members.empty())
		return inDone();
	this->left = true;
	// Where the view can't let this member go yet, the others remove it once it is silent
	this->proposer.Propose(std::move(change), [done = std::move(inDone)](const Verdict &) { done(); });
}

} // namespace Loomreach
