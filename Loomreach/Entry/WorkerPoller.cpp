// Polling of workers and of the host list.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Entry/WorkerPoller.h>

namespace Loomreach
{

static constexpr Millis cListFreshMs = 30'000;

WorkerOrder OrderFor(const FleetState &inState, const Host &inHost, Millis inLease)
{
	WorkerOrder order;
	order.state_offset = inState.next_offset;
	order.lease_ms = inLease;
	// A host that is draining ends what it has and begins nothing, whoever sends it
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

void WorkerPoller::Round(const FleetState &inState, const StewardPicker &inPicker, Millis inNow)
{
	this->seen.list_is_fresh = this->list_read != 0 && inNow - this->list_read < cListFreshMs;
	std::set<std::string> kept;
	for (const auto &[name, host] : inState.hosts)
	{
		if (!inPicker.IsMineIn("host:" + name, host.spec.availability_zone))
			continue;
		kept.insert(name);
		this->PollOne(inState, host, inNow);
	}
	std::erase_if(this->seen.hosts, [&kept](const auto &inEntry) { return kept.count(inEntry.first) == 0; });
	std::erase_if(this->turns, [&kept](const auto &inEntry) { return kept.count(inEntry.first) == 0; });
	this->suspects.clear();
}

/// Hash of what an order asks for, whatever state it was made from.
static uint64 HashOrder(const WorkerOrder &inOrder)
{
	uint64 hash = inOrder.accepts ? 1 : 0;
	for (const WantedTask &task : inOrder.tasks)
		hash = HashBytes(task.replica.Text(), hash ^ task.generation);
	return hash;
}

bool WorkerPoller::IsDue(const Host &inHost, uint64 inOrderHash, Millis inNow)
{
	const Turn &turn = this->turns[inHost.spec.name];
	const bool as_usual = inHost.IsAvailable() && turn.order_hash == inOrderHash && this->suspects.count(inHost.spec.name) == 0;
	const Millis interval = as_usual ? this->Interval() : this->config.worker_poll_ms;
	const bool has_new_order = turn.order_hash != 0 && turn.order_hash != inOrderHash;
	return turn.polled == 0 || has_new_order || inNow - turn.polled >= interval;
}

void WorkerPoller::PollOne(const FleetState &inState, const Host &inHost, Millis inNow)
{
	const std::string name = inHost.spec.name;
	HostObservation &observation = this->seen.hosts[name];
	if (observation.first_polled == 0)
		observation.first_polled = inNow;
	// A host that was handed over and has not gone down yet: ask again, the platform takes it once for each boot
	if (inHost.phase == EHostPhase::Out && observation.boot == inHost.out_boot)
		this->platform.Reboot(name, inHost.out_boot, [](bool) {});
	const WorkerOrder order = OrderFor(inState, inHost, this->Lease());
	const uint64 order_hash = HashOrder(order);
	if (!this->IsDue(inHost, order_hash, inNow) || !this->under_way.insert(name).second)
		return;
	this->turns[name] = {inNow, order_hash};
	const bool accepts = order.accepts;
	this->worker.Send(inHost.spec.address, order, this->config.worker_failed_after_ms,
					  [this, name, accepts](std::optional<WorkerStatus> inStatus) { this->OnStatus(name, accepts, std::move(inStatus)); });
}

void WorkerPoller::OnStatus(const std::string &inHost, bool inAccepts, std::optional<WorkerStatus> inStatus)
{
	this->under_way.erase(inHost);
	// An order that did not arrive is sent again at once
	if (!inStatus.has_value())
		this->turns[inHost].order_hash = 0;
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
	// Only a worker that has been told to begin nothing can be quiet for good
	if (observation.in_flight > 0 || inAccepts)
		observation.quiet_since = 0;
	else if (observation.quiet_since == 0)
		observation.quiet_since = now;
}

void WorkerPoller::NoteAbsent(const FleetState &inState, Millis inNow)
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
			this->list_read = NowMillis();
			this->NoteAbsent(inState, this->list_read);
		});
}

} // namespace Loomreach
