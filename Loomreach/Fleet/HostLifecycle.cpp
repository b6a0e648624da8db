// Derives the next step of a single host from observations.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/HostLifecycle.h>

namespace Loomreach
{

static StepHost MakeStep(const Host &inHost, EHostStep inStep, std::string inWhy)
{
	return {inHost.spec.name, inStep, inHost.generation, inHost.wave, std::move(inWhy), 0};
}

bool HostLifecycle::IsUnresponsive(const HostObservation &inSeen, Millis inFor) const
{
	const Millis since = inSeen.last_answer.value_or(inSeen.first_polled);
	return this->now - since >= inFor;
}

bool HostLifecycle::IsLeaving(const Host &inHost, const HostObservation &inSeen) const
{
	return inSeen.leaving || this->seen.leaving.count(inHost.spec.name) != 0;
}

std::optional<StepHost> HostLifecycle::HealthStep(const Host &inHost, const HostObservation &inSeen) const
{
	if (inHost.phase == EHostPhase::Out)
		return std::nullopt;
	if (this->IsUnresponsive(inSeen, this->bounds.failed_after))
	{
		if (inHost.health != EHostHealth::Failed)
			return MakeStep(inHost, EHostStep::Failed, "the host does not answer");
		return std::nullopt;
	}
	if (this->IsLeaving(inHost, inSeen))
	{
		if (inHost.phase != EHostPhase::Active)
			return std::nullopt;
		if (inHost.IsAvailable() && this->state.HasRoomInBudget(inHost.pool))
		{
			StepHost step = MakeStep(inHost, EHostStep::Drain, "the platform is about to remove the host");
			step.wave = cPlatformDrainWave;
			return step;
		}
		// The platform takes the host regardless of the availability budget, so this is recorded as a failure and not as a planned drain
		if (inHost.health == EHostHealth::Healthy)
			return MakeStep(inHost, EHostStep::Failed, "the platform is about to remove the host");
		return std::nullopt;
	}
	const bool answers = inSeen.last_answer.has_value() && !this->IsUnresponsive(inSeen, this->bounds.failed_after / 2);
	if (answers && inHost.health != EHostHealth::Healthy)
		return MakeStep(inHost, EHostStep::Healthy, "answers");
	return std::nullopt;
}

std::optional<StepHost> HostLifecycle::DrainStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const
{
	auto wave = this->state.waves.find(inHost.wave);
	const bool in_wave = wave != this->state.waves.end();
	const bool cancelled = in_wave && wave->second.state == EWaveState::Cancelled;
	const bool paused = in_wave && wave->second.state == EWaveState::Paused;
	switch (inHost.phase)
	{
	case EHostPhase::Draining:
	{
		if (cancelled)
			return MakeStep(inHost, EHostStep::Undrain, "wave cancelled");
		const bool quiet = inSeen.quiet_since != 0 && this->now - inSeen.quiet_since >= this->bounds.quiet_for;
		// An unresponsive host may still be running behind a network partition, so only its own answers count
		if (inHost.replicas.empty() && inAcknowledged && quiet)
			return MakeStep(inHost, EHostStep::Drained, "no replicas and no requests in flight");
		return std::nullopt;
	}
	case EHostPhase::Drained:
		if (cancelled)
			return MakeStep(inHost, EHostStep::Undrain, "wave cancelled");
		// A drain ordered by an operator stays until the operator moves the host or cancels the drain
		if (in_wave && !paused)
		{
			StepHost step = MakeStep(inHost, EHostStep::Out, "wave");
			step.boot = inSeen.boot;
			return step;
		}
		if (inHost.wave == cPlatformDrainWave && !this->IsLeaving(inHost, inSeen) &&
			!this->IsUnresponsive(inSeen, this->bounds.failed_after / 2))
			return MakeStep(inHost, EHostStep::Undrain, "the platform no longer removes the host");
		return std::nullopt;
	case EHostPhase::Out:
	{
		const bool answers = inSeen.last_answer.has_value() && !this->IsUnresponsive(inSeen, this->bounds.failed_after / 2);
		const bool rebooted = answers && inSeen.boot != inHost.boot_before_reboot;
		if (rebooted)
			return MakeStep(inHost, EHostStep::Returned, "the host has rebooted");
		return std::nullopt;
	}
	case EHostPhase::Active: return std::nullopt;
	}
	return std::nullopt;
}

std::optional<StepHost> HostLifecycle::NextStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const
{
	if (std::optional<StepHost> step = this->HealthStep(inHost, inSeen); step.has_value())
		return step;
	if (std::optional<StepHost> step = this->DrainStep(inHost, inSeen, inAcknowledged); step.has_value())
		return step;
	const bool should_quarantine = !inHost.quarantined && inHost.failed_jobs.size() >= cQuarantineJobs;
	if (should_quarantine && this->state.HasRoomInBudget(inHost.pool))
		return MakeStep(inHost, EHostStep::Quarantine, std::to_string(inHost.failed_jobs.size()) + " different jobs failed on the host");
	return std::nullopt;
}

void HostLifecycle::ReportTasks(const Host &inHost, const HostObservation &inSeen, std::vector<ProposalBody> &outProposals) const
{
	for (const TaskReport &task : inSeen.tasks)
	{
		if (task.state == ETaskState::Running)
			continue;
		auto placement = this->state.placements.find(task.replica);
		const bool is_present = placement != this->state.placements.end() && placement->second.host == inHost.spec.name &&
								placement->second.generation == task.generation;
		// The end of a task of an older generation does not end the replica
		if (!is_present)
			continue;
		const EStopReason reason = task.state == ETaskState::Finished ? EStopReason::Finished : EStopReason::JobFailed;
		outProposals.emplace_back(StopReplica{task.replica, task.generation, reason});
	}
}

std::vector<ProposalBody> HostLifecycle::Decide(const Host &inHost, bool inAcknowledged) const
{
	std::vector<ProposalBody> proposals;
	auto observed = this->seen.hosts.find(inHost.spec.name);
	if (observed == this->seen.hosts.end())
		return proposals;
	this->ReportTasks(inHost, observed->second, proposals);
	if (std::optional<StepHost> step = this->NextStep(inHost, observed->second, inAcknowledged); step.has_value())
		proposals.emplace_back(std::move(*step));
	return proposals;
}

std::vector<ProposalBody> HostLifecycle::FollowHostList() const
{
	std::vector<ProposalBody> proposals;
	if (!this->seen.list_is_fresh)
		return proposals;
	for (const auto &[name, listed] : this->seen.listed)
	{
		const bool is_new = this->state.hosts.count(name) == 0 && !listed.leaving;
		if (is_new && this->state.pools.count(listed.pool) != 0)
			proposals.emplace_back(AddHost{listed.spec, listed.pool});
	}
	for (const auto &[name, since] : this->seen.absent_since)
	{
		auto host = this->state.hosts.find(name);
		const bool known = host != this->state.hosts.end();
		// The list lags: a host counts as removed only if it is recorded as failed, holds no replicas and stays off the list
		if (known && host->second.health == EHostHealth::Failed && host->second.replicas.empty() &&
			this->now - since >= this->bounds.remove_after)
			proposals.emplace_back(MakeStep(host->second, EHostStep::Remove, "failed and no longer on the host list"));
	}
	return proposals;
}

} // namespace Loomreach
