// The simulation's clock, network, owner, log and faults.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

static constexpr Millis cTimeoutMs = 1000;
/// A late order is executed at the earliest this long after it was sent.
static constexpr Millis cMinLateOrderMs = 2000;
/// Duration of an append,
static constexpr Millis cAppendMs = 10;
/// and its duration while the store is slow.
static constexpr Millis cSlowStoreAppendMs = 1000;
/// An append that takes longer counts as a slow store.
static constexpr Millis cSlowAppendThresholdMs = 200;
static constexpr Millis cTakeoverDelayMs = 2000;
/// An owner that was paused for longer has lost its ownership (setting owner_lease_ms, less its slack).
static constexpr Millis cOwnerLeaseMs = 1700;
static constexpr int64 cWallClockOffsetMs = 1'700'000'000'000;
/// How long the fleet's owner relies on a drain grant, and how often it asks for one.
static constexpr Millis cDrainGrantMs = 1500;
static constexpr Millis cDrainRequestIntervalMs = 100;
static constexpr Millis cSlowWorkerFactor = 5;
/// A planned handover waits this long for the cell to be ready.
static constexpr Millis cHandoverTimeoutMs = 1600;

JobSpec MakeJob(const std::string &inId, uint32 inSteps, uint32 inCount, int64 inCpuMilli, Millis inEstimateMs)
{
	JobSpec job;
	job.id = inId;
	job.queue = "queue";
	job.pool = "pool";
	job.payload = "payload " + inId;
	job.max_attempts = 3;
	job.stretch = 1.6;
	job.target_ms = 600;
	for (uint32 i = 0; i < inSteps; ++i)
	{
		StepSpec step;
		step.count = inCount;
		step.requested = {inCpuMilli, 512, 0};
		step.estimate_ms = inEstimateMs;
		if (i > 0)
			step.after = {i - 1};
		job.steps.push_back(step);
	}
	return job;
}

CellSimulation::CellSimulation(uint64 inSeed, const SimulationFaults &inFaults, size_t inWorkers)
	: random(inSeed), submit_random(inSeed), restart_random(inSeed), replica_random(inSeed), leave_random(inSeed), faults(inFaults),
	  unread_end_excused(inFaults.unread_end_excused), slow_stops(inFaults.slow_stop > 0)
{
	for (size_t i = 0; i < inWorkers; ++i)
	{
		const std::string id = "w" + std::to_string(this->next_worker++);
		const int64 slow = static_cast<int64>(this->random.Below(static_cast<uint64>(inFaults.slow_clock_per_mille + 1)));
		this->workers.emplace(id, SimulatedWorker(id, {cWorkerCpuMilli, 32768, 0}, slow));
	}
	this->StartOwner();
}

void CellSimulation::Submit(JobSpec inSpec)
{
	inSpec.accepted_wall_ms = cWallClockOffsetMs + this->now;
	this->specs[inSpec.id] = inSpec;
	this->inbox.push_back({EInbox::Submit, std::move(inSpec), {}});
}

void CellSimulation::Cancel(const std::string &inId)
{
	InboxRecord record;
	record.kind = EInbox::Cancel;
	record.spec.id = inId;
	record.spec.queue = "queue";
	this->inbox.push_back(record);
	this->canceled.emplace(inId, this->now);
}

JobAnswer CellSimulation::QueryJob(const std::string &inId) const
{
	return this->cell == nullptr ? JobAnswer{} : this->cell->Query("queue", inId);
}

std::string CellSimulation::UnfinishedJobs() const
{
	std::string open;
	for (const auto &[id, spec] : this->specs)
		if (!this->QueryJob(id).known || !IsFinal(this->QueryJob(id).phase))
			open += "not ended: " + id + '\n';
	return open;
}

void CellSimulation::Run(Millis inMillis)
{
	const Millis end = this->now + inMillis;
	while (this->now < end)
		this->Step();
}

void CellSimulation::ClearFaults()
{
	// The lease is a setting and no fault
	SimulationFaults no_faults;
	no_faults.lease_ms = this->faults.lease_ms;
	this->faults = no_faults;
	// A handover that has begun is completed: its owner would grant no more drains
	this->handing_over = this->handing_over && this->retired_at >= 0;
	for (auto &[id, worker] : this->workers)
	{
		worker.unreachable_until = 0;
		worker.slow_factor = worker.slow_until > 0 ? 1 : worker.slow_factor;
	}
}

void CellSimulation::StartOwner()
{
	CellTuning tuning;
	tuning.lease_ms = this->faults.lease_ms > 0 ? this->faults.lease_ms : tuning.lease_ms;
	tuning.max_lease_ms = tuning.lease_ms;
	tuning.batch_bytes = this->faults.batch_bytes > 0 ? this->faults.batch_bytes : tuning.batch_bytes;
	this->cell = std::make_unique<Cell>(tuning);
	for (const auto &[key, value] : this->log)
		if (!this->cell->Restore(key, value))
			this->AddViolation("damaged log record " + key);
	this->epoch = NextEpoch(this->epoch);
	this->UpdateEvacuatedZones();
	this->cell->Begin(this->epoch, this->now);
	this->batch.clear();
	this->append_done_at = -1;
	this->retired_at = -1;
	this->list_updated_at = 0;
}

void CellSimulation::Evacuate(const std::string &inZone)
{
	this->evacuated.emplace(inZone, this->now);
	this->UpdateEvacuatedZones();
}

void CellSimulation::EndEvacuation(const std::string &inZone)
{
	this->evacuated.erase(inZone);
	this->UpdateEvacuatedZones();
}

void CellSimulation::UpdateEvacuatedZones()
{
	std::set<std::string> zones;
	for (const auto &[zone, since] : this->evacuated)
		zones.insert(zone);
	if (this->cell != nullptr)
		this->cell->SetEvacuated(zones, this->now);
}

void CellSimulation::KillOwner(std::string_view inWhy)
{
	this->owner_exits[this->epoch] = std::string(inWhy) + " at " + std::to_string(this->now) +
									 (this->append_done_at >= 0 ? ", append under way until " + std::to_string(this->append_done_at) : "");
	// An append in flight may or may not reach the log
	if (this->append_done_at >= 0 && this->random.Chance(50))
		for (const KeyedRecord &record : this->batch)
			this->log[record.key] = record.value;
	this->cell.reset();
	this->append_done_at = -1;
	this->next_owner_at = this->now + cTakeoverDelayMs;
	++this->takeovers;
}

void CellSimulation::ReplaceOwner(std::string_view inWhy)
{
	this->KillOwner(inWhy);
	this->StartOwner();
}

void CellSimulation::SupersedeOwner(std::string_view inWhy)
{
	this->surviving_owners.insert(this->epoch);
	for (EndReport &report : this->cell->UnloggedEnds())
		this->SubmitToInbox(std::move(report));
	this->ReplaceOwner(inWhy);
}

void CellSimulation::PauseOwner(Millis inForMs)
{
	this->paused_at = this->now;
	this->paused_until = this->now + inForMs;
}

void CellSimulation::TakeStoreAway(Millis inForMs)
{
	this->store_away_at = this->now;
	this->store_away_until = this->now + inForMs;
	if (this->append_done_at >= 0)
		this->append_done_at = std::max(this->append_done_at, this->store_away_until);
}

void CellSimulation::LoseOwnerWithoutStore()
{
	if (this->cell == nullptr || !this->IsStoreAway() || this->now - this->store_away_at <= cOwnerLeaseMs)
		return;
	this->KillOwner("without the store beyond its lease");
	this->next_owner_at = this->store_away_until;
}

void CellSimulation::TakeOverFromPaused()
{
	const bool lost = this->faults.takeover_while_paused && this->IsOwnerPaused() && this->now - this->paused_at >= cTakeoverDelayMs;
	if (!lost || this->cell == nullptr)
		return;
	this->paused_owners.push_back({this->epoch, this->paused_until, std::move(this->cell)});
	this->paused_until = 0;
	this->ReplaceOwner("paused, and another owner took over");
}

void CellSimulation::ResumePausedOwners()
{
	for (const PausedOwner &paused_owner : this->paused_owners)
	{
		if (this->now < paused_owner.until)
			continue;
		this->surviving_owners.insert(paused_owner.epoch);
		for (EndReport &report : paused_owner.cell->UnloggedEnds())
			this->SubmitToInbox(std::move(report));
	}
	std::erase_if(this->paused_owners, [this](const PausedOwner &inPaused) { return this->now >= inPaused.until; });
}

bool CellSimulation::IsPausedFormerOwner(uint64 inOwner) const
{
	return std::any_of(this->paused_owners.begin(), this->paused_owners.end(),
					   [inOwner](const PausedOwner &inPaused) { return inPaused.epoch == inOwner; });
}

void CellSimulation::SubmitToInbox(EndReport inReport)
{
	const bool slow = this->faults.slow_append > 0 && this->submit_random.Chance(this->faults.slow_append);
	const Millis takes =
		(slow ? cSlowStoreAppendMs : cAppendMs) + static_cast<Millis>(this->submit_random.Below(this->faults.append_jitter_ms + 1));
	this->submitted_ends.emplace_back(this->now + takes, std::move(inReport));
}

void CellSimulation::DeliverSubmittedEnds()
{
	for (const auto &[at, report] : this->submitted_ends)
		if (this->now >= at)
			this->inbox.push_back({EInbox::Ends, {}, report});
	std::erase_if(this->submitted_ends, [this](const auto &inReport) { return this->now >= inReport.first; });
}

void CellSimulation::SendEndsUpdates()
{
	while (std::optional<RunEndsUpdate> update = this->cell->TakeEndsUpdate(this->now))
		this->ends_updates.emplace_back(this->now + 1 + static_cast<Millis>(this->replica_random.Below(15)), std::move(*update));
}

void CellSimulation::DeliverEndsUpdates()
{
	for (auto &[at, update] : this->ends_updates)
		if (this->now >= at)
			this->replicas.OnUpdate(std::move(update), this->now);
	std::erase_if(this->ends_updates, [this](const auto &inUpdate) { return this->now >= inUpdate.first; });
	// As a host that learns of the next owner from its heartbeat
	const auto is_former = [this](uint32, uint64 inEpoch) { return this->cell != nullptr && inEpoch < this->epoch; };
	for (OrphanedRunEnds &orphan : this->replicas.TakeOrphans(is_former, this->now))
		this->SubmitToInbox(std::move(orphan.report));
}

void CellSimulation::UpdateWorkerList()
{
	std::vector<WorkerEntry> entries;
	for (auto &[id, worker] : this->workers)
	{
		const bool shows_former = worker.unlisted && this->now < worker.former_listed_until;
		if ((worker.crashed && this->now >= worker.listed_until) || (worker.unlisted && !shows_former))
			continue;
		worker.listed_to_epoch = this->epoch;
		WorkerEntry entry;
		entry.id = id;
		entry.pool = "pool";
		entry.rack = worker.rack;
		entry.availability_zone = worker.availability_zone;
		entry.address = {"127.0.0.1", worker.port};
		entry.capacity = worker.capacity;
		entry.draining = worker.draining;
		entry.started_ms = shows_former ? worker.former_started_at : worker.started_at;
		entries.push_back(entry);
	}
	this->cell->SetWorkers(entries, this->now, this->trust_until);
	this->list_updated_at = this->now;
}

void CellSimulation::InjectFaults()
{
	// Rates are per second
	if (this->now % 1000 != 0)
		return;
	if (this->cell != nullptr && this->random.Chance(this->faults.owner_kill))
		this->KillOwner(cOwnerKilled);
	std::vector<std::string> lost;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.crashed)
			continue;
		if (this->random.Chance(this->faults.worker_partition))
			worker.unreachable_until = this->now + 500 + static_cast<Millis>(this->random.Below(9000));
		if (this->random.Chance(this->faults.worker_crash))
			lost.push_back(id);
	}
	for (const std::string &id : lost)
		this->EndIncarnation(this->workers.at(id));
	this->InjectPlannedFaults();
}

void CellSimulation::InjectPlannedFaults()
{
	if (!this->IsOwnerPaused())
		this->paused_at = this->now;
	// Consecutive pauses would add up to more than the longest single pause, and to more than the owner's lease
	if (!this->IsOwnerPaused() && this->DrawFault(this->faults.owner_pause))
		this->paused_until = this->now + 400 + static_cast<Millis>(this->random.Below(900));
	if (this->DrawFault(this->faults.long_owner_pause))
		this->paused_until = this->now + 1300 + static_cast<Millis>(this->random.Below(3700));
	this->handing_over = this->handing_over || this->DrawFault(this->faults.owner_handover);
	for (auto &[id, worker] : this->workers)
		if (!worker.crashed)
			this->InjectWorkerFaults(worker);
	if (!this->DrawFault(this->faults.host_removal))
		return;
	for (auto &[id, worker] : this->workers)
	{
		const bool chosen =
			!worker.crashed && worker.leaves_at < 0 && !worker.draining && !worker.drain_requested && this->random.Chance(30);
		worker.drain_requested = worker.drain_requested || chosen;
		if (chosen)
			return;
	}
}

void CellSimulation::InjectWorkerFaults(SimulatedWorker &ioWorker)
{
	if (!ioWorker.draining && this->DrawFault(this->faults.worker_leave))
	{
		ioWorker.draining = true;
		ioWorker.leaves_at = this->now + 1000 + static_cast<Millis>(this->random.Below(4000));
	}
	if (!ioWorker.draining && !ioWorker.drain_requested && ioWorker.leaves_at < 0 && this->faults.silent_leave > 0 &&
		this->leave_random.Chance(this->faults.silent_leave))
	{
		ioWorker.unlisted = true;
		ioWorker.relisted_at = 0;
		ioWorker.leaves_at = this->now + 1000 + static_cast<Millis>(this->leave_random.Below(14000));
	}
	if (this->faults.restart_same_id > 0 && this->restart_random.Chance(this->faults.restart_same_id))
		return this->Restart(ioWorker, this->restart_random.Chance(70), this->DrawRestartDelay());
	if (!ioWorker.unlisted && this->DrawFault(this->faults.entry_lapse))
	{
		ioWorker.unlisted = true;
		ioWorker.relisted_at = this->now + 100 + static_cast<Millis>(this->random.Below(3000));
		if (this->random.Chance(50))
			this->trust_until = this->now + 2000;
	}
	if (this->DrawFault(this->faults.capacity_shrink))
	{
		const bool is_whole = ioWorker.capacity.cpu_milli == cWorkerCpuMilli;
		if (is_whole)
		{
			ioWorker.capacity_before = ioWorker.capacity;
			ioWorker.shrunk_at = this->now;
		}
		ioWorker.capacity.cpu_milli = is_whole ? cWorkerCpuMilli / 4 + this->DrawUpTo(cWorkerCpuMilli / 2) : cWorkerCpuMilli;
	}
	if (this->DrawFault(this->faults.slow_worker))
		ioWorker.slow_until = this->now + 5000;
	if (this->faults.slow_worker > 0)
		ioWorker.slow_factor = this->now < ioWorker.slow_until ? cSlowWorkerFactor : 1;
}

void CellSimulation::RemoveDrainedHosts()
{
	// As the fleet's owner does: it asks until the cell grants the drain, and removes the host while the grant holds
	if (this->now % cDrainRequestIntervalMs != 0)
		return;
	std::vector<std::string> down;
	for (auto &[id, worker] : this->workers)
	{
		// An owner that has just resumed checks its lease before it answers
		const bool answers = this->cell != nullptr && this->paused_until == 0;
		const bool asked = worker.drain_requested && worker.leaves_at < 0 && !worker.crashed && answers;
		if (asked && this->cell->DrainWorker(id, cDrainGrantMs, this->now))
			worker.leaves_at = this->now + static_cast<Millis>(this->random.Below(static_cast<uint64>(cDrainGrantMs)));
		if (worker.leaves_at >= 0 && this->now >= worker.leaves_at && !worker.crashed)
			down.push_back(id);
		if (worker.unlisted && worker.relisted_at > 0 && this->now >= worker.relisted_at)
			worker.unlisted = false;
	}
	for (const std::string &id : down)
	{
		SimulatedWorker &worker = this->workers.at(id);
		if (worker.drain_requested && !worker.draining && !worker.running.empty())
			this->AddViolation("taken down with work on it: " + id);
		this->EndIncarnation(worker);
	}
}

void CellSimulation::Step()
{
	this->now += cSimulationStepMs;
	const bool store_slow = this->append_done_at > this->now + cSlowAppendThresholdMs;
	if (this->IsOwnerPaused() || store_slow)
		this->disturbed_at = this->now;
	this->ResumePausedOwners();
	this->DeliverSubmittedEnds();
	this->DeliverEndsUpdates();
	this->InjectFaults();
	this->TakeOverFromPaused();
	this->LoseOwnerWithoutStore();
	this->RemoveDrainedHosts();
	this->CrashWorkersByRuns();
	for (auto &[id, worker] : this->workers)
	{
		this->AdvanceWorker(worker);
		this->AnswerWaitingPolls(worker);
		this->CheckCanceled(worker);
	}
	if (this->cell == nullptr && this->now >= this->next_owner_at)
		this->StartOwner();
	std::vector<PendingMessage> due;
	for (size_t i = 0; i < this->messages.size();)
	{
		// Answers that arrive while the owner is paused wait for it
		const bool waits = this->messages[i].is_answer && (this->IsOwnerPaused() || this->IsPausedFormerOwner(this->messages[i].owner));
		if (this->messages[i].at > this->now || waits)
		{
			++i;
			continue;
		}
		due.push_back(this->messages[i]);
		this->messages[i] = this->messages.back();
		this->messages.pop_back();
	}
	// Answers that arrived during the pause are read before any call times out, as in HttpClient
	std::stable_sort(due.begin(), due.end(),
					 [](const PendingMessage &inA, const PendingMessage &inB) { return inA.timeout < inB.timeout; });
	// Decisions by the clock may be taken before any answer is read
	const bool resumed = this->paused_until > 0 && !this->IsOwnerPaused();
	if (resumed && this->cell != nullptr && this->now - this->paused_at > cOwnerLeaseMs)
		this->SupersedeOwner("paused beyond its lease");
	else if (resumed && this->cell != nullptr)
		this->cell->Plan(this->now, cWallClockOffsetMs + this->now);
	if (resumed)
		this->paused_until = 0;
	for (PendingMessage &message : due)
	{
		if (message.is_answer)
		{
			const bool first = this->unanswered_orders.erase({message.owner, message.order.serial}) > 0;
			if (first && this->surviving_owners.contains(message.owner) && !message.answer.ended.empty())
				this->SubmitToInbox({message.order.worker, message.owner, message.answer.ended});
			if (first && this->cell != nullptr && message.owner == this->epoch)
			{
				this->MarkRead(message);
				this->cell->OnAnswer(message.order, message.answer, message.sent_at, this->now);
				this->SendEndsUpdates();
			}
			continue;
		}
		SimulatedWorker &worker = this->workers.at(message.order.worker);
		const bool moved = message.order.address.port != worker.port;
		const bool passes_cut = this->faults.late_orders_pass_cuts && this->now - message.sent_at >= cMinLateOrderMs;
		const bool unreachable = worker.crashed || (this->now < worker.unreachable_until && !passes_cut) || moved;
		PendingMessage reply = message;
		reply.is_answer = true;
		reply.at = this->now + 1 + static_cast<Millis>(this->random.Below(15));
		this->addressed_to = message.incarnation;
		if (!unreachable)
			reply.answer = this->Execute(worker, message.order);
		const bool polled = !unreachable && message.order.kind == EOrder::Poll && reply.answer.result == EOrderResult::Done;
		if (polled && this->PollsWait() && message.order.wait_ms > 0 && reply.answer.ended.empty() && !message.no_answer)
		{
			this->waiting.push_back({message, worker.IncarnationName(), this->now + message.order.wait_ms});
			continue;
		}
		const bool is_reset = unreachable && worker.resets_connections;
		const std::optional<OrderAnswer> host_answer =
			worker.crashed || is_reset || moved ? this->AnswerOfEndedProcess(worker) : std::nullopt;
		reply.answer = host_answer.value_or(reply.answer);
		if (message.is_repeat && reply.answer.connection_closed)
			reply.answer.result = EOrderResult::Unknown;
		if (!message.no_answer && (!unreachable || host_answer.has_value()))
			this->messages.push_back(reply);
	}
	if (this->cell != nullptr && !this->IsOwnerPaused())
		this->DriveOwner();
}

void CellSimulation::HandOver()
{
	// As a host that is stopped by plan
	if (this->retired_at < 0)
		this->retired_at = this->now;
	this->cell->BeginHandOver();
	const bool settled = this->append_done_at < 0 && this->cell->CanHandOver(this->now);
	if (!settled && this->now - this->retired_at < cHandoverTimeoutMs)
		return;
	this->handing_over = false;
	this->SupersedeOwner(settled ? "handed over" : "handed over before it was ready");
}

void CellSimulation::DriveOwner()
{
	if (!this->IsStoreAway() && (this->now - this->list_updated_at >= 400 || this->list_updated_at == 0))
		this->UpdateWorkerList();
	if (this->append_done_at >= 0 && this->now >= this->append_done_at)
	{
		for (const KeyedRecord &record : this->batch)
			this->log[record.key] = record.value;
		this->append_done_at = -1;
		this->cell->OnAppended(this->now);
		this->SendEndsUpdates();
	}
	for (uint64 offset = this->cell->InboxNext(); offset < this->inbox.size(); ++offset)
		this->cell->Ingest(this->inbox[offset], offset, this->now, cWallClockOffsetMs + this->now);
	if (this->handing_over)
		this->HandOver();
	this->cell->Plan(this->now, cWallClockOffsetMs + this->now);
	for (const Order &order : this->cell->TakeOrders(this->now))
		this->Send(order);
	if (this->append_done_at < 0 && this->cell->HasUnwrittenChanges())
	{
		this->batch = this->cell->TakeBatch(cWallClockOffsetMs + this->now);
		for (const KeyedRecord &record : this->batch)
			if (ExceedsRecordLimit({record.key, record.value, 0}))
				this->AddViolation("record " + record.key.substr(0, 1) + " has " + std::to_string(record.value.size()) + " bytes");
		if (!this->batch.empty())
			this->append_done_at = this->now + (this->random.Chance(this->faults.slow_append) ? cSlowStoreAppendMs : cAppendMs) +
								   this->DrawUpTo(this->faults.append_jitter_ms);
		if (this->append_done_at >= 0 && this->IsStoreAway())
			this->append_done_at = std::max(this->append_done_at, this->store_away_until);
	}
}

void CellSimulation::Send(const Order &inOrder)
{
	PendingMessage message;
	message.order = inOrder;
	message.sent_at = this->now;
	message.incarnation = this->workers.at(inOrder.worker).IncarnationName();
	message.owner = this->epoch;
	message.at = this->now + 1 + static_cast<Millis>(this->random.Below(15));
	const bool lost = this->random.Chance(this->faults.lost_order);
	const bool late_start = inOrder.kind == EOrder::Start && this->DrawFault(this->faults.late_start);
	const bool late = late_start || (!lost && this->random.Chance(this->faults.late_order));
	message.no_answer = late || this->random.Chance(this->faults.lost_answer);
	if (late)
		message.at = this->now + cMinLateOrderMs + static_cast<Millis>(this->random.Below(10000));
	// Executed, but the answer is lost: the cell gets the answer to the sender's repeat
	if (!lost && !late && inOrder.kind == EOrder::Start && this->DrawFault(this->faults.repeated_start))
	{
		PendingMessage before = message;
		before.no_answer = true;
		message.is_repeat = true;
		this->messages.push_back(before);
		message.at += 100 + static_cast<Millis>(this->random.Below(700));
	}
	if (!lost)
		this->messages.push_back(message);
	// A lost or late poll or stop interrupts the contact; a delayed start does not, since the cancel check is about such starts
	if (inOrder.kind != EOrder::Start && (lost || message.no_answer))
		this->workers.at(inOrder.worker).contact_since = this->now + inOrder.wait_ms + cTimeoutMs;
	// Each order has one answer for the cell: the worker's, or a timeout
	PendingMessage timeout = message;
	timeout.is_answer = true;
	timeout.timeout = true;
	timeout.answer = OrderAnswer{};
	timeout.at = this->now + inOrder.wait_ms + cTimeoutMs;
	this->messages.push_back(timeout);
	this->unanswered_orders.insert({this->epoch, inOrder.serial});
}

} // namespace Loomreach::Jobs
