// Plays the world: time, the network, the owner and its log, and what goes wrong.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

static constexpr Millis cTimeoutMs = 1000;
/// An append usually takes this long,
static constexpr Millis cLogMs = 10;
/// and this long while the store is slow.
static constexpr Millis cSlowLogMs = 1000;
/// An append that takes longer is a store that is slow.
static constexpr Millis cSlowAppendMs = 200;
static constexpr Millis cOwnerGapMs = 2000;
/// An owner that stood still for longer has lost its ownership (setting owner_lease_ms, less its slack).
static constexpr Millis cOwnerLeaseMs = 1700;
static constexpr int64 cWallAhead = 1'700'000'000'000;
/// How long the fleet's owner trusts the promise of an empty worker, and asks for it.
static constexpr Millis cPromiseMs = 1500;
static constexpr Millis cAskEmptyMs = 100;
static constexpr Millis cSlowTimes = 5;
/// A planned stop waits this long for the cell to be ready.
static constexpr Millis cHandOverMs = 1600;

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
		step.need = {inCpuMilli, 512, 0};
		step.estimate_ms = inEstimateMs;
		if (i > 0)
			step.after = {i - 1};
		job.steps.push_back(step);
	}
	return job;
}

CellWorld::CellWorld(uint64 inSeed, const Trouble &inTrouble, size_t inWorkers)
	: random(inSeed), hand_in_random(inSeed), life_random(inSeed), replica_random(inSeed), trouble(inTrouble),
	  unread_excused(inTrouble.unread_excused), slow_stops(inTrouble.slow_stop > 0)
{
	for (size_t i = 0; i < inWorkers; ++i)
	{
		const std::string id = "w" + std::to_string(this->next_worker++);
		const int64 slow = static_cast<int64>(this->random.Below(static_cast<uint64>(inTrouble.slow_clock_per_mille + 1)));
		this->workers.emplace(id, WorldWorker(id, {cWorldCpuMilli, 32768, 0}, slow));
	}
	this->StartOwner();
}

void CellWorld::Submit(JobSpec inSpec)
{
	inSpec.accepted_wall_ms = cWallAhead + this->now;
	this->specs[inSpec.id] = inSpec;
	this->inbox.push_back({EInbox::Submit, std::move(inSpec), {}});
}

void CellWorld::Cancel(const std::string &inId)
{
	InboxRecord record;
	record.kind = EInbox::Cancel;
	record.spec.id = inId;
	record.spec.queue = "queue";
	this->inbox.push_back(record);
	this->canceled.emplace(inId, this->now);
}

JobAnswer CellWorld::Shown(const std::string &inId) const { return this->cell == nullptr ? JobAnswer{} : this->cell->Query("queue", inId); }

std::string CellWorld::Open() const
{
	std::string open;
	for (const auto &[id, spec] : this->specs)
		if (!this->Shown(id).known || !IsFinal(this->Shown(id).phase))
			open += "not ended: " + id + '\n';
	return open;
}

void CellWorld::Run(Millis inMillis)
{
	const Millis end = this->now + inMillis;
	while (this->now < end)
		this->Step();
}

void CellWorld::Calm()
{
	// What is no trouble stays as it was
	Trouble calm;
	calm.lease_ms = this->trouble.lease_ms;
	this->trouble = calm;
	// An owner that has begun to hand over goes; it would promise nothing any more
	this->handing_over = this->handing_over && this->retired_at >= 0;
	for (auto &[id, worker] : this->workers)
	{
		worker.cut_until = 0;
		worker.slow_factor = worker.slow_until > 0 ? 1 : worker.slow_factor;
	}
}

void CellWorld::StartOwner()
{
	CellTuning tuning;
	tuning.lease_ms = this->trouble.lease_ms > 0 ? this->trouble.lease_ms : tuning.lease_ms;
	tuning.most_lease_ms = tuning.lease_ms;
	tuning.batch_bytes = this->trouble.batch_bytes > 0 ? this->trouble.batch_bytes : tuning.batch_bytes;
	this->cell = std::make_unique<Cell>(tuning);
	for (const auto &[key, value] : this->log)
		if (!this->cell->Restore(key, value))
			this->Break("damaged record " + key);
	this->epoch = NextEpoch(this->epoch);
	this->TellZones();
	this->cell->Begin(this->epoch, this->now);
	this->batch.clear();
	this->batch_at = -1;
	this->retired_at = -1;
	this->workers_told_at = 0;
}

void CellWorld::Evacuate(const std::string &inZone)
{
	this->evacuated.emplace(inZone, this->now);
	this->TellZones();
}

void CellWorld::TakeBack(const std::string &inZone)
{
	this->evacuated.erase(inZone);
	this->TellZones();
}

void CellWorld::TellZones()
{
	std::set<std::string> zones;
	for (const auto &[zone, since] : this->evacuated)
		zones.insert(zone);
	if (this->cell != nullptr)
		this->cell->SetEvacuated(zones, this->now);
}

void CellWorld::KillOwner(std::string_view inWhy)
{
	this->owners_ended[this->epoch] = std::string(inWhy) + " at " + std::to_string(this->now) +
									  (this->batch_at >= 0 ? ", append under way until " + std::to_string(this->batch_at) : "");
	// An append under way may be in the log or not
	if (this->batch_at >= 0 && this->random.Chance(50))
		for (const KeyedRecord &record : this->batch)
			this->log[record.key] = record.value;
	this->cell.reset();
	this->batch_at = -1;
	this->owner_back_at = this->now + cOwnerGapMs;
	++this->takeovers;
}

void CellWorld::ReplaceOwner(std::string_view inWhy)
{
	this->KillOwner(inWhy);
	this->StartOwner();
}

void CellWorld::SucceedOwner(std::string_view inWhy)
{
	this->alive_after.insert(this->epoch);
	for (EndReport &report : this->cell->UnloggedEnds())
		this->HandIn(std::move(report));
	this->ReplaceOwner(inWhy);
}

void CellWorld::TakeOver()
{
	const bool lost = this->trouble.taken_over && this->Stands() && this->now - this->stalled_at >= cOwnerGapMs;
	if (!lost || this->cell == nullptr)
		return;
	this->sleepers.push_back({this->epoch, this->stalled_until, std::move(this->cell)});
	this->stalled_until = 0;
	this->ReplaceOwner("stands still, and another took over");
}

void CellWorld::Wake()
{
	for (const Sleeper &sleeper : this->sleepers)
	{
		if (this->now < sleeper.until)
			continue;
		this->alive_after.insert(sleeper.epoch);
		for (EndReport &report : sleeper.cell->UnloggedEnds())
			this->HandIn(std::move(report));
	}
	std::erase_if(this->sleepers, [this](const Sleeper &inSleeper) { return this->now >= inSleeper.until; });
}

bool CellWorld::IsAsleep(uint64 inOwner) const
{
	return std::any_of(this->sleepers.begin(), this->sleepers.end(),
					   [inOwner](const Sleeper &inSleeper) { return inSleeper.epoch == inOwner; });
}

void CellWorld::HandIn(EndReport inReport)
{
	const bool slow = this->trouble.slow_log > 0 && this->hand_in_random.Chance(this->trouble.slow_log);
	const Millis takes = (slow ? cSlowLogMs : cLogMs) + static_cast<Millis>(this->hand_in_random.Below(this->trouble.log_ms + 1));
	this->handed_in.emplace_back(this->now + takes, std::move(inReport));
}

void CellWorld::TakeHandedIn()
{
	for (const auto &[at, report] : this->handed_in)
		if (this->now >= at)
			this->inbox.push_back({EInbox::Ends, {}, report});
	std::erase_if(this->handed_in, [this](const auto &inReport) { return this->now >= inReport.first; });
}

void CellWorld::TellEnds()
{
	while (std::optional<EndsUpdate> update = this->cell->TakeEndsUpdate(this->now))
		this->ends_updates.emplace_back(this->now + 1 + static_cast<Millis>(this->replica_random.Below(15)), std::move(*update));
}

void CellWorld::KeepEnds()
{
	for (auto &[at, update] : this->ends_updates)
		if (this->now >= at)
			this->replicas.OnUpdate(std::move(update), this->now);
	std::erase_if(this->ends_updates, [this](const auto &inUpdate) { return this->now >= inUpdate.first; });
	// As a host that hears of the next owner by its heartbeat
	const auto is_gone = [this](uint32, uint64 inEpoch) { return this->cell != nullptr && inEpoch < this->epoch; };
	for (OrphanedEnds &orphan : this->replicas.TakeOrphans(is_gone, this->now))
		this->HandIn(std::move(orphan.report));
}

void CellWorld::TellWorkers()
{
	std::vector<WorkerEntry> entries;
	for (auto &[id, worker] : this->workers)
	{
		if ((worker.crashed && this->now >= worker.listed_until) || worker.unlisted)
			continue;
		worker.shown_to = this->epoch;
		WorkerEntry entry;
		entry.id = id;
		entry.pool = "pool";
		entry.rack = worker.rack;
		entry.availability_zone = worker.availability_zone;
		entry.address = {"127.0.0.1", 1};
		entry.capacity = worker.capacity;
		entry.draining = worker.draining;
		entry.born_ms = worker.born;
		entries.push_back(entry);
	}
	this->cell->SetWorkers(entries, this->now, this->trust_until);
	this->workers_told_at = this->now;
}

void CellWorld::MakeTrouble()
{
	// Chances are per second
	if (this->now % 1000 != 0)
		return;
	if (this->cell != nullptr && this->random.Chance(this->trouble.kill))
		this->KillOwner(cKilled);
	std::vector<std::string> lost;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.crashed)
			continue;
		if (this->random.Chance(this->trouble.cut))
			worker.cut_until = this->now + 500 + static_cast<Millis>(this->random.Below(9000));
		if (this->random.Chance(this->trouble.crash))
			lost.push_back(id);
	}
	for (const std::string &id : lost)
		this->EndLife(this->workers.at(id));
	this->MakePlannedTrouble();
}

void CellWorld::MakePlannedTrouble()
{
	if (!this->Stands())
		this->stalled_at = this->now;
	// One after another would be longer than any of them, and than the owner's lease
	if (!this->Stands() && this->Hits(this->trouble.stall))
		this->stalled_until = this->now + 400 + static_cast<Millis>(this->random.Below(900));
	if (this->Hits(this->trouble.long_stall))
		this->stalled_until = this->now + 1300 + static_cast<Millis>(this->random.Below(3700));
	this->handing_over = this->handing_over || this->Hits(this->trouble.hand_over);
	for (auto &[id, worker] : this->workers)
		if (!worker.crashed)
			this->TroubleWorker(worker);
	if (!this->Hits(this->trouble.taken_down))
		return;
	for (auto &[id, worker] : this->workers)
	{
		const bool chosen = !worker.crashed && !worker.draining && !worker.emptied && this->random.Chance(30);
		worker.emptied = worker.emptied || chosen;
		if (chosen)
			return;
	}
}

void CellWorld::TroubleWorker(WorldWorker &ioWorker)
{
	if (!ioWorker.draining && this->Hits(this->trouble.leave))
	{
		ioWorker.draining = true;
		ioWorker.leaves_at = this->now + 1000 + static_cast<Millis>(this->random.Below(4000));
	}
	if (this->trouble.again > 0 && this->life_random.Chance(this->trouble.again))
		return this->Restart(ioWorker, this->life_random.Chance(70), this->UntilBack());
	if (!ioWorker.unlisted && this->Hits(this->trouble.unlist))
	{
		ioWorker.unlisted = true;
		ioWorker.relisted_at = this->now + 100 + static_cast<Millis>(this->random.Below(3000));
		if (this->random.Chance(50))
			this->trust_until = this->now + 2000;
	}
	if (this->Hits(this->trouble.shrink))
	{
		const bool is_whole = ioWorker.capacity.cpu_milli == cWorldCpuMilli;
		if (is_whole)
		{
			ioWorker.room_before = ioWorker.capacity;
			ioWorker.shrunk_at = this->now;
		}
		ioWorker.capacity.cpu_milli = is_whole ? cWorldCpuMilli / 4 + this->UpTo(cWorldCpuMilli / 2) : cWorldCpuMilli;
	}
	if (this->Hits(this->trouble.slow_worker))
		ioWorker.slow_until = this->now + 5000;
	if (this->trouble.slow_worker > 0)
		ioWorker.slow_factor = this->now < ioWorker.slow_until ? cSlowTimes : 1;
}

void CellWorld::TakeDown()
{
	// As the fleet's owner does: it asks until the cell promises, and the order leaves while the promise holds
	if (this->now % cAskEmptyMs != 0)
		return;
	std::vector<std::string> down;
	for (auto &[id, worker] : this->workers)
	{
		// One that has just woken looks at its lease before it answers
		const bool answers = this->cell != nullptr && this->stalled_until == 0;
		const bool asked = worker.emptied && worker.leaves_at < 0 && !worker.crashed && answers;
		if (asked && this->cell->Vacate(id, cPromiseMs, this->now))
			worker.leaves_at = this->now + static_cast<Millis>(this->random.Below(static_cast<uint64>(cPromiseMs)));
		if (worker.leaves_at >= 0 && this->now >= worker.leaves_at && !worker.crashed)
			down.push_back(id);
		if (worker.unlisted && worker.relisted_at > 0 && this->now >= worker.relisted_at)
			worker.unlisted = false;
	}
	for (const std::string &id : down)
	{
		WorldWorker &worker = this->workers.at(id);
		if (worker.emptied && !worker.draining && !worker.running.empty())
			this->Break("taken down with work on it: " + id);
		this->EndLife(worker);
	}
}

void CellWorld::Step()
{
	this->now += cWorldStepMs;
	const bool store_slow = this->batch_at > this->now + cSlowAppendMs;
	if (this->Stands() || store_slow)
		this->disturbed_at = this->now;
	this->Wake();
	this->TakeHandedIn();
	this->KeepEnds();
	this->MakeTrouble();
	this->TakeOver();
	this->TakeDown();
	this->CrashByRuns();
	for (auto &[id, worker] : this->workers)
	{
		this->Pass(worker);
		this->AnswerWaiting(worker);
		this->CheckCanceled(worker);
	}
	if (this->cell == nullptr && this->now >= this->owner_back_at)
		this->StartOwner();
	std::vector<Parcel> due;
	for (size_t i = 0; i < this->parcels.size();)
	{
		// What comes while the owner stands still waits for it
		const bool waits = this->parcels[i].is_answer && (this->Stands() || this->IsAsleep(this->parcels[i].owner));
		if (this->parcels[i].at > this->now || waits)
		{
			++i;
			continue;
		}
		due.push_back(this->parcels[i]);
		this->parcels[i] = this->parcels.back();
		this->parcels.pop_back();
	}
	// What came while the owner stood still is read before anything is given up as late (HttpClient)
	std::stable_sort(due.begin(), due.end(), [](const Parcel &inA, const Parcel &inB) { return inA.timeout < inB.timeout; });
	// And what is decided by the clock may be decided before any answer is read
	const bool woke = this->stalled_until > 0 && !this->Stands();
	if (woke && this->cell != nullptr && this->now - this->stalled_at > cOwnerLeaseMs)
		this->SucceedOwner("stood still beyond its lease");
	else if (woke && this->cell != nullptr)
		this->cell->Plan(this->now, cWallAhead + this->now);
	if (woke)
		this->stalled_until = 0;
	for (Parcel &parcel : due)
	{
		if (parcel.is_answer)
		{
			const bool first = this->open_orders.erase({parcel.owner, parcel.order.serial}) > 0;
			if (first && this->alive_after.contains(parcel.owner) && !parcel.answer.ended.empty())
				this->HandIn({parcel.order.worker, parcel.owner, parcel.answer.ended});
			if (first && this->cell != nullptr && parcel.owner == this->epoch)
			{
				this->NoteRead(parcel);
				this->cell->OnAnswer(parcel.order, parcel.answer, parcel.sent_at, this->now);
				this->TellEnds();
			}
			continue;
		}
		WorldWorker &worker = this->workers.at(parcel.order.worker);
		const bool cut = worker.crashed || this->now < worker.cut_until;
		Parcel back = parcel;
		back.is_answer = true;
		back.at = this->now + 1 + static_cast<Millis>(this->random.Below(15));
		this->meant_for = parcel.life;
		if (!cut)
			back.answer = this->CarryOut(worker, parcel.order);
		const bool looked = !cut && parcel.order.kind == EOrder::Hold && back.answer.result == EOrderResult::Done;
		if (looked && this->LooksWait() && parcel.order.wait_ms > 0 && back.answer.ended.empty() && !parcel.mute)
		{
			this->waiting.push_back({parcel, worker.Life(), this->now + parcel.order.wait_ms});
			continue;
		}
		const bool is_reset = cut && worker.cut_closes;
		const std::optional<OrderAnswer> gone = worker.crashed || is_reset ? this->AnswerOfGone(worker) : std::nullopt;
		back.answer = gone.value_or(back.answer);
		if (parcel.repeat && back.answer.closed)
			back.answer.result = EOrderResult::Unknown;
		if (!parcel.mute && (!cut || gone.has_value()))
			this->parcels.push_back(back);
	}
	if (this->cell != nullptr && !this->Stands())
		this->Drive();
}

void CellWorld::HandOver()
{
	// As a host does that stops by plan
	if (this->retired_at < 0)
		this->retired_at = this->now;
	this->cell->Retire();
	const bool settled = this->batch_at < 0 && this->cell->CanHandOver(this->now);
	if (!settled && this->now - this->retired_at < cHandOverMs)
		return;
	this->handing_over = false;
	this->SucceedOwner(settled ? "handed over" : "handed over unsettled");
}

void CellWorld::Drive()
{
	if (this->now - this->workers_told_at >= 400 || this->workers_told_at == 0)
		this->TellWorkers();
	if (this->batch_at >= 0 && this->now >= this->batch_at)
	{
		for (const KeyedRecord &record : this->batch)
			this->log[record.key] = record.value;
		this->batch_at = -1;
		this->cell->OnAppended(this->now);
		this->TellEnds();
	}
	for (uint64 offset = this->cell->InboxNext(); offset < this->inbox.size(); ++offset)
		this->cell->Ingest(this->inbox[offset], offset, this->now, cWallAhead + this->now);
	if (this->handing_over)
		this->HandOver();
	this->cell->Plan(this->now, cWallAhead + this->now);
	for (const Order &order : this->cell->TakeOrders(this->now))
		this->Send(order);
	if (this->batch_at < 0 && this->cell->HasNews())
	{
		this->batch = this->cell->TakeBatch(cWallAhead + this->now);
		if (!this->batch.empty())
			this->batch_at =
				this->now + (this->random.Chance(this->trouble.slow_log) ? cSlowLogMs : cLogMs) + this->UpTo(this->trouble.log_ms);
	}
}

void CellWorld::Send(const Order &inOrder)
{
	Parcel parcel;
	parcel.order = inOrder;
	parcel.sent_at = this->now;
	parcel.life = this->workers.at(inOrder.worker).Life();
	parcel.owner = this->epoch;
	parcel.at = this->now + 1 + static_cast<Millis>(this->random.Below(15));
	const bool lost = this->random.Chance(this->trouble.lost_order);
	const bool late_start = inOrder.kind == EOrder::Start && this->Hits(this->trouble.late_start);
	const bool late = late_start || (!lost && this->random.Chance(this->trouble.late_order));
	parcel.mute = late || this->random.Chance(this->trouble.lost_answer);
	if (late)
		parcel.at = this->now + 2000 + static_cast<Millis>(this->random.Below(10000));
	// Carried out, and its answer lost on the way: the sender's own repeat is what the cell hears of
	if (!lost && !late && inOrder.kind == EOrder::Start && this->Hits(this->trouble.repeated_start))
	{
		Parcel before = parcel;
		before.mute = true;
		parcel.repeat = true;
		this->parcels.push_back(before);
		parcel.at += 100 + static_cast<Millis>(this->random.Below(700));
	}
	if (!lost)
		this->parcels.push_back(parcel);
	// A look or a stop that goes wrong is a disruption of its own; a start that is held up is what is being looked at
	if (inOrder.kind != EOrder::Start && (lost || parcel.mute))
		this->workers.at(inOrder.worker).contact_since = this->now + inOrder.wait_ms + cTimeoutMs;
	// Every order has one answer for the cell: the worker's, or that none came in time
	Parcel timeout = parcel;
	timeout.is_answer = true;
	timeout.timeout = true;
	timeout.answer = OrderAnswer{};
	timeout.at = this->now + inOrder.wait_ms + cTimeoutMs;
	this->parcels.push_back(timeout);
	this->open_orders.insert({this->epoch, inOrder.serial});
}

} // namespace Loomreach::Jobs
