// Polls of workers, and reads of the host list.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Entry/WorkerPoller.h>

namespace Loomreach
{

/// Age up to which the host list counts as fresh.
static constexpr Millis cHostListMaxAgeMs = 30'000;

WorkerOrder OrderFor(const FleetState &inState, const Host &inHost, Millis inLease)
{
	WorkerOrder order;
	order.state_offset = inState.next_offset;
	order.lease_ms = inLease;
	// A draining host finishes what it has and begins nothing new, whichever entry host sends it
	order.accepts = inHost.phase == EHostPhase::Active;
	for (const ReplicaKey &replica : inHost.replicas)
	{
		const Placement &placement = inState.placements.find(replica)->second;
		auto job = inState.jobs.find(replica.job);
		const bool is_service = job == inState.jobs.end() || job->second.is_service;
		const int64 run_time = job == inState.jobs.end() ? 0 : job->second.run_time_s;
		order.tasks.push_back({replica, placement.generation, is_service, run_time});
	}
	return order;
}

void WorkerPoller::PollWorkers(const FleetState &inState, const PlannerAssignment &inAssignment, Millis inNow)
{
	this->seen.list_is_fresh = this->host_list_read != 0 && inNow - this->host_list_read < cHostListMaxAgeMs;
	std::set<std::string> assigned;
	for (const auto &[name, host] : inState.hosts)
	{
		if (!inAssignment.IsAssignedInZone("host:" + name, host.spec.availability_zone))
			continue;
		assigned.insert(name);
		this->PollOne(inState, host, inNow);
	}
	std::erase_if(this->seen.hosts, [&assigned](const auto &inEntry) { return assigned.count(inEntry.first) == 0; });
	std::erase_if(this->last_polls, [&assigned](const auto &inEntry) { return assigned.count(inEntry.first) == 0; });
	this->poll_soon.clear();
}

/// Hash of the content of an order, regardless of the state offset it was made from.
static uint64 HashOrder(const WorkerOrder &inOrder)
{
	uint64 hash = inOrder.accepts ? 1 : 0;
	for (const WantedTask &task : inOrder.tasks)
		hash = HashBytes(task.replica.Text(), hash ^ task.generation);
	return hash;
}

bool WorkerPoller::IsDue(const Host &inHost, uint64 inOrderHash, Millis inNow)
{
	const LastPoll &last_poll = this->last_polls[inHost.spec.name];
	const bool is_steady = inHost.IsAvailable() && last_poll.order_hash == inOrderHash && this->poll_soon.count(inHost.spec.name) == 0;
	const Millis interval = is_steady ? this->Interval() : this->config.worker_poll_ms;
	const bool has_new_order = last_poll.order_hash != 0 && last_poll.order_hash != inOrderHash;
	return last_poll.polled == 0 || has_new_order || inNow - last_poll.polled >= interval;
}

void WorkerPoller::PollOne(const FleetState &inState, const Host &inHost, Millis inNow)
{
	const std::string name = inHost.spec.name;
	HostObservation &observation = this->seen.hosts[name];
	if (observation.first_polled == 0)
		observation.first_polled = inNow;
	// The host is out for its reboot but has not gone down yet. The request is repeated; the platform accepts it once per boot
	if (inHost.phase == EHostPhase::Out && observation.boot == inHost.boot_before_reboot)
		this->platform.Reboot(name, inHost.boot_before_reboot, [](bool) {});
	const WorkerOrder order = OrderFor(inState, inHost, this->Lease());
	const uint64 order_hash = HashOrder(order);
	if (!this->IsDue(inHost, order_hash, inNow) || !this->polls_in_progress.insert(name).second)
		return;
	this->last_polls[name] = {inNow, order_hash};
	const bool accepts = order.accepts;
	this->worker.Send(inHost.spec.address, order, this->config.worker_failed_after_ms,
					  [this, name, accepts](std::optional<WorkerStatus> inStatus) { this->OnStatus(name, accepts, std::move(inStatus)); });
}

void WorkerPoller::OnStatus(const std::string &inHost, bool inAccepts, std::optional<WorkerStatus> inStatus)
{
	this->polls_in_progress.erase(inHost);
	// The order may not have arrived, so the host is polled again after the short interval
	if (!inStatus.has_value())
		this->last_polls[inHost].order_hash = 0;
	auto found = this->seen.hosts.find(inHost);
	if (found == this->seen.hosts.end() || !inStatus.has_value())
		return;
	HostObservation &observation = found->second;
	const Millis now = NowMillis();
	observation.last_answer = now;
	observation.boot = inStatus->boot;
	observation.leaving = inStatus->leaving;
	observation.in_flight = inStatus->in_flight;
	observation.tasks = std::move(inStatus->tasks);
	// A worker that accepts new work may begin something at any moment, so it does not count as quiet
	if (observation.in_flight > 0 || inAccepts)
		observation.quiet_since = 0;
	else if (observation.quiet_since == 0)
		observation.quiet_since = now;
}

void WorkerPoller::UpdateAbsentHosts(const FleetState &inState, Millis inNow)
{
	std::erase_if(this->seen.absent_since, [this, &inState](const auto &inEntry)
				  { return this->seen.listed.count(inEntry.first) != 0 || inState.hosts.count(inEntry.first) == 0; });
	for (const auto &[name, host] : inState.hosts)
		if (this->seen.listed.count(name) == 0)
			this->seen.absent_since.emplace(name, inNow);
}

void WorkerPoller::ReadHosts(const FleetState &inState)
{
	this->platform.ReadHosts(
		[this, &inState](HostListResult inResult)
		{
			if (!inResult.answered)
				return;
			if (inResult.hosts.has_value())
				this->seen.listed = std::move(*inResult.hosts);
			this->host_list_read = NowMillis();
			this->UpdateAbsentHosts(inState, this->host_list_read);
		});
}

} // namespace Loomreach
