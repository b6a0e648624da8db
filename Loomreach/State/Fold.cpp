// Preconditions and effects of each kind of proposal.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/ClaimGroups.h>
#include <Loomreach/State/Fold.h>

namespace Loomreach
{

namespace
{

/// Applies one proposal to the state. An overload that rejects its proposal sets the last reason and returns false without having changed
/// anything.
class ProposalApplier
{
public:
	ProposalApplier(FleetState &ioState, LogPosition inPosition) : state(ioState), position(inPosition) {}

	bool operator()(const ApplySettings &inProposal);
	bool operator()(const AddHost &inProposal);
	bool operator()(const StepHost &inProposal);
	bool operator()(const MoveHost &inProposal);
	bool operator()(const PlaceReplica &inProposal);
	bool operator()(const StopReplica &inProposal);
	bool operator()(const StartWave &inProposal);
	bool operator()(const ChangeWave &inProposal);
	bool operator()(const ChangeView &inProposal);
	bool operator()(const TakeOver &inProposal);
	bool operator()(const ZoneAlive &inProposal);

private:
	bool CheckStep(const Host &inHost, const StepHost &inProposal) const;
	bool CheckDrain(const Host &inHost, const std::string &inWave) const;
	void ApplyStep(Host &ioHost, const StepHost &inProposal);
	void RemoveHost(const std::string &inName);
	void SetWaveProgress(const std::string &inWave, const std::string &inHost, EWaveHost inState);
	void CompleteInWaves(const std::string &inHost);
	bool CheckCapacity(const PlaceReplica &inProposal, const JobSpec &inJob, const Placement *inOld, const Host &inHost) const;
	void RemoveOldWaves();

	FleetState &state;
	LogPosition position;
};

bool ProposalApplier::operator()(const ApplySettings &inProposal)
{
	if (inProposal.base_version != this->state.settings_version)
		return FailFalse(EError::Conflict, "written for settings version " + std::to_string(inProposal.base_version) +
											   "; the version in force is " + std::to_string(this->state.settings_version));
	std::optional<SettingsTree> tree = SettingsTree::FromNodes(inProposal.nodes);
	if (!tree.has_value())
		return false;
	for (const auto &[pool, counts] : this->state.pool_counts)
	{
		const SettingsNode *node = tree->Find(pool);
		if (node == nullptr || node->kind != ENodeKind::Pool)
			return FailFalse(EError::BadSettings,
							 pool + " still holds " + std::to_string(counts.hosts) + " hosts; move or remove them first");
	}
	LOOM_INVARIANT(this->position > this->state.settings_version, "the settings version never decreases");
	this->state.settings = std::move(*tree);
	this->state.settings_version = this->position;
	this->state.RebuildSettings();
	// Failures under the previous settings say nothing about jobs under the new ones
	std::erase_if(this->state.history, [this](const auto &inEntry) { return this->state.jobs.count(inEntry.first) == 0; });
	for (auto &[path, history] : this->state.history)
		history.failed_hosts.clear();
	return true;
}

bool ProposalApplier::operator()(const AddHost &inProposal)
{
	const HostSpec &spec = inProposal.spec;
	auto known = this->state.hosts.find(spec.name);
	if (known != this->state.hosts.end())
		return FailFalse(EError::WrongPool, spec.name + " already belongs to " + known->second.pool);
	if (this->state.pools.count(inProposal.pool) == 0)
		return FailFalse(EError::NotFound, "no pool " + inProposal.pool);
	if (spec.name.empty() || spec.capacity.cpu_milli <= 0 || spec.capacity.memory_mb <= 0 || spec.capacity.accelerators < 0)
		return FailFalse(EError::BadRequest, "a host needs a name, cpu_milli and memory_mb above 0, and no negative accelerators");
	Host host;
	host.spec = spec;
	host.pool = inProposal.pool;
	host.generation = this->position;
	this->state.CountHost(host, 1);
	this->state.hosts.emplace(spec.name, std::move(host));
	return true;
}

bool ProposalApplier::CheckDrain(const Host &inHost, const std::string &inWave) const
{
	if (inHost.phase != EHostPhase::Active)
		return FailFalse(EError::WrongPhase, inHost.spec.name + " is " + std::string(NameOfPhase(inHost.phase)));
	if (!inWave.empty() && inWave != cPlatformDrainWave)
	{
		auto wave = this->state.waves.find(inWave);
		if (wave == this->state.waves.end())
			return FailFalse(EError::UnknownWave, inWave);
		auto entry = wave->second.hosts.find(inHost.spec.name);
		const bool pending = entry != wave->second.hosts.end() && entry->second == EWaveHost::Pending;
		if (wave->second.state != EWaveState::Running || !pending)
			return FailFalse(EError::WrongPhase, "the wave is not running or not waiting for this host");
	}
	if (inHost.IsAvailable() && !this->state.HasRoomInBudget(inHost.pool))
		return FailFalse(EError::BudgetExceeded,
						 inHost.pool + " must keep " + std::to_string(this->state.RequiredAvailable(inHost.pool)) + " hosts available");
	return true;
}

bool ProposalApplier::CheckStep(const Host &inHost, const StepHost &inProposal) const
{
	const auto require = [&inHost](bool inHolds)
	{
		return inHolds || FailFalse(EError::WrongPhase, inHost.spec.name + " is " + std::string(NameOfPhase(inHost.phase)) + " and " +
															std::string(NameOfHealth(inHost.health)));
	};
	switch (inProposal.step)
	{
	case EHostStep::Drain: return this->CheckDrain(inHost, inProposal.wave);
	case EHostStep::Undrain: return require(inHost.phase == EHostPhase::Draining || inHost.phase == EHostPhase::Drained);
	case EHostStep::Drained: return require(inHost.phase == EHostPhase::Draining && inHost.replicas.empty());
	case EHostStep::Out: return require(inHost.phase == EHostPhase::Drained);
	case EHostStep::Returned: return require(inHost.phase == EHostPhase::Out);
	case EHostStep::Healthy: return require(inHost.phase != EHostPhase::Out && inHost.health != EHostHealth::Healthy);
	case EHostStep::Failed: return require(inHost.phase != EHostPhase::Out && inHost.health != EHostHealth::Failed);
	case EHostStep::Quarantine:
		if (inHost.IsAvailable() && !this->state.HasRoomInBudget(inHost.pool))
			return FailFalse(EError::BudgetExceeded, inHost.pool + " has no room in its availability budget for a quarantine");
		return require(!inHost.quarantined);
	case EHostStep::Unquarantine: return require(inHost.quarantined);
	case EHostStep::Remove: return require(inHost.replicas.empty() && !inHost.IsAvailable());
	}
	return FailFalse(EError::BadRequest, "unknown step");
}

void ProposalApplier::SetWaveProgress(const std::string &inWave, const std::string &inHost, EWaveHost inState)
{
	auto wave = this->state.waves.find(inWave);
	if (wave == this->state.waves.end())
		return;
	auto entry = wave->second.hosts.find(inHost);
	if (entry == wave->second.hosts.end())
		return;
	entry->second = inState;
	const bool all_done = std::all_of(wave->second.hosts.begin(), wave->second.hosts.end(),
									  [](const auto &inEntry) { return inEntry.second == EWaveHost::Done; });
	if (all_done && wave->second.state != EWaveState::Cancelled)
		wave->second.state = EWaveState::Done;
}

void ProposalApplier::CompleteInWaves(const std::string &inHost)
{
	std::vector<std::string> names;
	for (const auto &[name, wave] : this->state.waves)
		if (wave.hosts.count(inHost) != 0)
			names.push_back(name);
	for (const std::string &name : names)
		this->SetWaveProgress(name, inHost, EWaveHost::Done);
}

void ProposalApplier::ApplyStep(Host &ioHost, const StepHost &inProposal)
{
	switch (inProposal.step)
	{
	case EHostStep::Drain:
		ioHost.phase = EHostPhase::Draining;
		ioHost.wave = inProposal.wave;
		this->SetWaveProgress(ioHost.wave, ioHost.spec.name, EWaveHost::Leaving);
		break;
	case EHostStep::Undrain:
		ioHost.phase = EHostPhase::Active;
		this->SetWaveProgress(ioHost.wave, ioHost.spec.name, EWaveHost::Pending);
		ioHost.wave.clear();
		break;
	case EHostStep::Drained: ioHost.phase = EHostPhase::Drained; break;
	case EHostStep::Out:
		ioHost.phase = EHostPhase::Out;
		ioHost.boot_before_reboot = inProposal.boot;
		break;
	case EHostStep::Returned:
		// Stays unavailable until it is reported healthy
		ioHost.phase = EHostPhase::Active;
		ioHost.health = EHostHealth::Unknown;
		break;
	case EHostStep::Healthy:
		ioHost.health = EHostHealth::Healthy;
		if (ioHost.phase == EHostPhase::Active && !ioHost.wave.empty())
		{
			ioHost.maintained_in = ioHost.wave;
			ioHost.maintained_at = this->position;
			ioHost.wave.clear();
			this->SetWaveProgress(ioHost.maintained_in, ioHost.spec.name, EWaveHost::Done);
		}
		break;
	case EHostStep::Failed: ioHost.health = EHostHealth::Failed; break;
	case EHostStep::Quarantine: ioHost.quarantined = true; break;
	case EHostStep::Unquarantine:
		ioHost.quarantined = false;
		ioHost.failed_jobs.clear();
		break;
	case EHostStep::Remove: break;
	}
}

void ProposalApplier::RemoveHost(const std::string &inName)
{
	auto host = this->state.hosts.find(inName);
	this->state.CountHost(host->second, -1);
	this->state.hosts.erase(host);
	this->CompleteInWaves(inName);
}

bool ProposalApplier::operator()(const StepHost &inProposal)
{
	auto found = this->state.hosts.find(inProposal.host);
	if (found == this->state.hosts.end())
		return FailFalse(EError::UnknownHost, inProposal.host);
	Host &host = found->second;
	if (inProposal.generation != host.generation)
		return FailFalse(EError::StaleGeneration, host.spec.name + " is at " + std::to_string(host.generation));
	if (!this->CheckStep(host, inProposal))
		return false;
	if (inProposal.step == EHostStep::Remove)
	{
		this->RemoveHost(inProposal.host);
		return true;
	}
	const bool was_available = host.IsAvailable();
	const bool is_voluntary = inProposal.step == EHostStep::Drain || inProposal.step == EHostStep::Quarantine;
	this->state.CountHost(host, -1);
	this->ApplyStep(host, inProposal);
	host.generation = this->position;
	this->state.CountHost(host, 1);
	if (is_voluntary && was_available)
		LOOM_INVARIANT(this->state.pool_counts[host.pool].available >= this->state.RequiredAvailable(host.pool),
					   "no pool falls below its availability budget by a voluntary disruption");
	return true;
}

bool ProposalApplier::operator()(const MoveHost &inProposal)
{
	auto found = this->state.hosts.find(inProposal.host);
	if (found == this->state.hosts.end())
		return FailFalse(EError::UnknownHost, inProposal.host);
	Host &host = found->second;
	if (host.pool != inProposal.from_pool)
		return FailFalse(EError::WrongPool, host.spec.name + " belongs to " + host.pool);
	if (inProposal.generation != host.generation)
		return FailFalse(EError::StaleGeneration, host.spec.name + " is at " + std::to_string(host.generation));
	if (host.phase != EHostPhase::Drained)
		return FailFalse(EError::WrongPhase,
						 host.spec.name + " is " + std::string(NameOfPhase(host.phase)) + "; only a drained host can change its pool");
	if (this->state.pools.count(inProposal.to_pool) == 0)
		return FailFalse(EError::NotFound, "no pool " + inProposal.to_pool);
	LOOM_INVARIANT(host.replicas.empty(), "a host that changes its pool has no replica of the old one");
	this->state.CountHost(host, -1);
	host.pool = inProposal.to_pool;
	host.phase = EHostPhase::Active;
	host.generation = this->position;
	host.wave.clear();
	this->state.CountHost(host, 1);
	this->CompleteInWaves(inProposal.host);
	return true;
}

bool ProposalApplier::CheckCapacity(const PlaceReplica &inProposal, const JobSpec &inJob, const Placement *inOld, const Host &inHost) const
{
	Resources free = inHost.Free();
	int64 team_used = 0;
	if (auto used = this->state.team_used_cpu.find(inJob.team); used != this->state.team_used_cpu.end())
		team_used = used->second;
	// The placement being replaced releases its resources
	if (inOld != nullptr && inOld->host == inProposal.host)
		free += inOld->requested;
	if (inOld != nullptr && inOld->team == inJob.team)
		team_used -= inOld->requested.cpu_milli;
	if (!inJob.requested.FitsInto(free))
		return FailFalse(EError::CapacityExceeded, inProposal.host + " has no room for " + inProposal.replica.Text());
	auto quota = this->state.team_quota_cpu.find(inJob.team);
	if (quota != this->state.team_quota_cpu.end() && team_used + inJob.requested.cpu_milli > quota->second)
		return FailFalse(EError::QuotaExceeded,
						 "team " + inJob.team + " uses " + std::to_string(team_used) + " of its quota of " + std::to_string(quota->second));
	return true;
}

bool ProposalApplier::operator()(const PlaceReplica &inProposal)
{
	auto job = this->state.jobs.find(inProposal.replica.job);
	if (job == this->state.jobs.end() || inProposal.replica.index >= job->second.replicas)
		return FailFalse(EError::UnknownJob, inProposal.replica.Text());
	auto history = this->state.history.find(inProposal.replica.job);
	if (history != this->state.history.end() && history->second.finished.count(inProposal.replica.index) != 0)
		return FailFalse(EError::WrongPhase, inProposal.replica.Text() + " has finished");
	auto host = this->state.hosts.find(inProposal.host);
	if (host == this->state.hosts.end())
		return FailFalse(EError::UnknownHost, inProposal.host);
	if (host->second.pool != job->second.pool)
		return FailFalse(EError::WrongPool, inProposal.host + " belongs to " + host->second.pool);
	if (!host->second.IsAvailable())
		return FailFalse(EError::WrongPhase, inProposal.host + " takes no new replicas");
	auto old = this->state.placements.find(inProposal.replica);
	const LogPosition present = old == this->state.placements.end() ? 0 : old->second.generation;
	if (present != inProposal.base_generation)
		return FailFalse(EError::StaleGeneration, inProposal.replica.Text() + " is at " + std::to_string(present));
	const Placement *old_placement = old == this->state.placements.end() ? nullptr : &old->second;
	if (!this->CheckCapacity(inProposal, job->second, old_placement, host->second))
		return false;
	if (old_placement != nullptr)
		this->state.Detach(inProposal.replica, *old_placement);
	const Placement placement{inProposal.host, this->position, job->second.requested, job->second.team, job->second.priority};
	this->state.Attach(inProposal.replica, placement);
	this->state.placements[inProposal.replica] = placement;
	LOOM_INVARIANT(host->second.used.FitsInto(host->second.spec.capacity), "a host's replicas take no more than its capacity");
	return true;
}

bool ProposalApplier::operator()(const StopReplica &inProposal)
{
	auto placement = this->state.placements.find(inProposal.replica);
	if (placement == this->state.placements.end())
		return FailFalse(EError::UnknownJob, inProposal.replica.Text() + " is not placed");
	if (placement->second.generation != inProposal.generation)
		return FailFalse(EError::StaleGeneration, inProposal.replica.Text() + " is at " + std::to_string(placement->second.generation));
	if (inProposal.reason == EStopReason::Finished)
		this->state.history[inProposal.replica.job].finished.insert(inProposal.replica.index);
	if (inProposal.reason == EStopReason::JobFailed)
	{
		JobHistory &history = this->state.history[inProposal.replica.job];
		// Recorded on both sides, since either the host or the job may be at fault
		Host &host = this->state.hosts.find(placement->second.host)->second;
		if (host.failed_jobs.size() < cMaxFailureEntries)
			host.failed_jobs.insert(inProposal.replica.job);
		if (history.failed_hosts.size() < cMaxFailureEntries)
			history.failed_hosts.insert(placement->second.host);
		history.last_failure = this->position;
	}
	this->state.Detach(inProposal.replica, placement->second);
	this->state.placements.erase(placement);
	return true;
}

void ProposalApplier::RemoveOldWaves()
{
	while (this->state.waves.size() > cMaxWaves)
	{
		auto oldest = this->state.waves.end();
		for (auto wave = this->state.waves.begin(); wave != this->state.waves.end(); ++wave)
		{
			const bool ended = wave->second.state == EWaveState::Done || wave->second.state == EWaveState::Cancelled;
			if (ended && (oldest == this->state.waves.end() || wave->second.started < oldest->second.started))
				oldest = wave;
		}
		if (oldest == this->state.waves.end())
			return;
		this->state.waves.erase(oldest);
	}
}

bool ProposalApplier::operator()(const StartWave &inProposal)
{
	if (inProposal.name.empty())
		return FailFalse(EError::BadRequest, "a wave needs a name");
	if (this->state.waves.count(inProposal.name) != 0)
		return FailFalse(EError::Conflict, "a wave of that name exists");
	auto last_turn = this->state.rolling_started.find(inProposal.pool);
	if (inProposal.rolling_date_s != 0 && last_turn != this->state.rolling_started.end() && last_turn->second >= inProposal.rolling_date_s)
		return FailFalse(EError::Conflict, inProposal.pool + " already had this or a later turn in the rolling plan");
	Wave wave{inProposal.name, EWaveState::Running, this->position, {}};
	const auto matches = [](const std::string &inWanted, const std::string &inValue) { return inWanted.empty() || inWanted == inValue; };
	for (const auto &[name, host] : this->state.hosts)
		if (matches(inProposal.pool, host.pool) && matches(inProposal.availability_zone, host.spec.availability_zone) &&
			matches(inProposal.rack, host.spec.rack))
			wave.hosts.emplace(name, EWaveHost::Pending);
	if (wave.hosts.empty())
		return FailFalse(EError::NotFound, "no host matches");
	for (const auto &[name, other] : this->state.waves)
	{
		if (other.state == EWaveState::Done || other.state == EWaveState::Cancelled)
			continue;
		for (const auto &[host, host_state] : other.hosts)
			if (host_state != EWaveHost::Done && wave.hosts.count(host) != 0)
			{
				std::string why = host;
				why += " is already in wave ";
				why += name;
				return FailFalse(EError::Conflict, std::move(why));
			}
	}
	this->state.waves.emplace(inProposal.name, std::move(wave));
	if (inProposal.rolling_date_s != 0)
		this->state.rolling_started[inProposal.pool] = inProposal.rolling_date_s;
	this->RemoveOldWaves();
	return true;
}

bool ProposalApplier::operator()(const ChangeWave &inProposal)
{
	auto found = this->state.waves.find(inProposal.name);
	if (found == this->state.waves.end())
		return FailFalse(EError::UnknownWave, inProposal.name);
	Wave &wave = found->second;
	const auto require = [&wave](bool inHolds)
	{ return inHolds || FailFalse(EError::WrongPhase, wave.name + " is " + std::string(NameOfWaveState(wave.state))); };
	switch (inProposal.action)
	{
	case EWaveAction::Pause:
		if (!require(wave.state == EWaveState::Running))
			return false;
		wave.state = EWaveState::Paused;
		return true;
	case EWaveAction::Resume:
		if (!require(wave.state == EWaveState::Paused))
			return false;
		wave.state = EWaveState::Running;
		return true;
	case EWaveAction::Cancel:
		if (!require(wave.state == EWaveState::Running || wave.state == EWaveState::Paused))
			return false;
		wave.state = EWaveState::Cancelled;
		return true;
	}
	return FailFalse(EError::BadRequest, "unknown action");
}

bool ProposalApplier::operator()(const ChangeView &inProposal)
{
	if (inProposal.base_view != this->state.view.number)
		return FailFalse(EError::ViewRejected, "the present view is " + std::to_string(this->state.view.number));
	View next{this->state.view.number + 1, this->state.view.resets, {}};
	for (const Member &member : inProposal.members)
		if (member.name.empty() || !next.members.emplace(member.name, member).second)
			return FailFalse(EError::ViewRejected, "a member has no name or is listed twice");
	if (next.members.empty())
		return FailFalse(EError::ViewRejected, "a view needs at least one member");
	// Only a member with the same incarnation stays a holder: a restarted process has lost its claims
	std::array<std::set<std::string>, cClaimRanges> holders;
	bool lost = false;
	for (uint32 range = 0; range < cClaimRanges; ++range)
	{
		for (const std::string &name : this->state.claim_holders[range])
		{
			auto now = next.members.find(name);
			const Member &before = this->state.view.members.find(name)->second;
			if (now != next.members.end() && now->second.incarnation == before.incarnation)
				holders[range].insert(name);
		}
		lost = lost || holders[range].empty();
	}
	if (lost != inProposal.reset)
		return FailFalse(EError::ViewRejected, lost ? "some claim range would lose its last holder; the change needs a reset"
													: "no claim range is lost; a reset is not allowed");
	if (lost)
	{
		// All claims are lost: every group starts empty, and entry hosts refuse claims for claim_lease_ms + claim_quiet_ms
		++next.resets;
		for (uint32 range = 0; range < cClaimRanges; ++range)
		{
			const std::vector<std::string> group = ClaimGroupOf(next, range);
			holders[range] = std::set<std::string>(group.begin(), group.end());
		}
	}
	this->state.view = std::move(next);
	std::erase_if(this->state.zones_alive,
				  [this](const auto &inZone)
				  {
					  return std::none_of(this->state.view.members.begin(), this->state.view.members.end(),
										  [&inZone](const auto &inMember) { return inMember.second.availability_zone == inZone.first; });
				  });
	this->state.claim_holders = std::move(holders);
	return true;
}

bool ProposalApplier::operator()(const TakeOver &inProposal)
{
	if (inProposal.view != this->state.view.number || this->state.view.members.count(inProposal.member) == 0)
		return FailFalse(EError::ViewRejected, "the present view is " + std::to_string(this->state.view.number));
	for (uint32 range : inProposal.ranges)
		if (range >= cClaimRanges)
			return FailFalse(EError::BadRequest, "no such claim range");
	for (uint32 range : inProposal.ranges)
	{
		const std::vector<std::string> group = ClaimGroupOf(this->state.view, range);
		if (std::find(group.begin(), group.end(), inProposal.member) == group.end())
			continue;
		std::set<std::string> &holders = this->state.claim_holders[range];
		holders.insert(inProposal.member);
		// Once the whole group holds the range, other holders are dropped: new claims no longer reach them, so theirs become incomplete
		const std::set<std::string> complete(group.begin(), group.end());
		if (std::includes(holders.begin(), holders.end(), complete.begin(), complete.end()))
			holders = complete;
	}
	return true;
}

bool ProposalApplier::operator()(const ZoneAlive &inProposal)
{
	const bool known = std::any_of(this->state.view.members.begin(), this->state.view.members.end(),
								   [&](const auto &inEntry) { return inEntry.second.availability_zone == inProposal.availability_zone; });
	if (!known)
		return FailFalse(EError::ViewRejected, "the view has no member in " + inProposal.availability_zone);
	this->state.zones_alive[inProposal.availability_zone] = this->position;
	return true;
}

/// Records the proposer's last sequence number; beyond the bound, removes the proposer whose last proposal is the oldest.
void RecordProposer(FleetState &ioState, LogPosition inPosition, const ProposalId &inId)
{
	ioState.proposers[inId.incarnation] = {inPosition, inId.sequence};
	if (ioState.proposers.size() <= cMaxProposers)
		return;
	auto oldest = std::min_element(ioState.proposers.begin(), ioState.proposers.end(),
								   [](const auto &inA, const auto &inB) { return inA.second.position < inB.second.position; });
	ioState.proposers.erase(oldest);
}

} // namespace

ProposalOutcome ApplyProposal(FleetState &ioState, LogPosition inPosition, const Proposal &inProposal)
{
	ProposalOutcome outcome{inProposal.id, inProposal.Kind(), inPosition, EError::None, {}};
	auto proposer = ioState.proposers.find(inProposal.id.incarnation);
	// A process appends in order and repeats a batch until it is confirmed, so a sequence number that is not newer is a duplicate
	if (proposer != ioState.proposers.end() && inProposal.id.sequence <= proposer->second.sequence)
	{
		outcome.error = EError::DuplicateProposal;
		outcome.detail = "sequence " + std::to_string(inProposal.id.sequence) + " was already applied";
		return outcome;
	}
	RecordProposer(ioState, inPosition, inProposal.id);
	ProposalApplier applier(ioState, inPosition);
	if (!std::visit(applier, inProposal.body))
	{
		outcome.error = LastReason().kind;
		outcome.detail = LastReason().detail;
	}
	return outcome;
}

std::vector<ProposalOutcome> ApplyLogRecord(FleetState &ioState, LogOffset inOffset, std::string_view inRecord)
{
	LOOM_INVARIANT(inOffset >= ioState.next_offset, "records are applied once and in log order");
	std::vector<ProposalOutcome> outcomes;
	const std::optional<Batch> batch = DecodeBatch(inRecord);
	if (!batch.has_value())
	{
		outcomes.push_back({{}, EProposal::Count, PositionAt(inOffset, 0), LastReason().kind, LastReason().detail});
	}
	else
	{
		uint64 index = 0;
		for (const Proposal &proposal : *batch)
			outcomes.push_back(ApplyProposal(ioState, PositionAt(inOffset, index++), proposal));
	}
	ioState.next_offset = inOffset + 1;
	return outcomes;
}

} // namespace Loomreach
