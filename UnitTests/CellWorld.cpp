// Plays the world.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskText.h>
#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

static constexpr Millis cStepMs = 10;
static constexpr Millis cTimeoutMs = 1000;
static constexpr Millis cOwnerGapMs = 2000;
/// An owner that stood still for longer has lost its ownership (setting owner_lease_ms, less its slack).
static constexpr Millis cOwnerLeaseMs = 1700;
static constexpr int64 cWallAhead = 1'700'000'000'000;
static constexpr int64 cCpu = 16000;
/// Room that has shrunk binds starts after `cContactMs` and a heartbeat (the users' rule).
static constexpr Millis cBeatMs = 1500;
/// A crashed worker's entry stays for three heartbeats of 1.5 s (the users' figures).
static constexpr Millis cEntryStaysMs = 4500;
/// A task is not started for the third time after this many workers have crashed under it (the users' rule).
static constexpr uint32 cCrashesBorne = 3;
static constexpr uint32 cStartsTooMany = 3;
/// An end counts as taken note of this long after it was listed (the users' rule).
static constexpr Millis cListedMs = 100;
/// How long the fleet's owner trusts the promise of an empty worker, and asks for it.
static constexpr Millis cPromiseMs = 1500;
static constexpr Millis cAskEmptyMs = 100;
static constexpr Millis cSlowTimes = 5;
/// A cancelled job's runs are to be gone this long after the cancel (the users' figures: `cancel_ms`, and `contactMs` for a run that began
/// later), and the time of a stop (0.4 s, or 0.9 s) on top. Two messages and two steps of the world come to it.
static constexpr Millis cCancelMs = 3000;
static constexpr Millis cContactMs = 3000;
static constexpr Millis cStopMs = 400;
static constexpr Millis cSlowStopMs = 900;
static constexpr Millis cStopSlackMs = 50;
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
	: random(inSeed), trouble(inTrouble), slow_stops(inTrouble.slow_stop > 0)
{
	for (size_t i = 0; i < inWorkers; ++i)
	{
		const std::string id = "w" + std::to_string(this->next_worker++);
		const int64 slow = static_cast<int64>(this->random.Below(static_cast<uint64>(inTrouble.slow_clock_per_mille + 1)));
		this->workers.emplace(id, WorldWorker(id, {cCpu, 32768, 0}, slow));
	}
	this->StartOwner();
}

void CellWorld::Submit(JobSpec inSpec)
{
	inSpec.accepted_wall_ms = cWallAhead + this->now;
	this->specs[inSpec.id] = inSpec;
	this->inbox.push_back({EInbox::Submit, std::move(inSpec)});
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
	this->cell->Begin(++this->epoch, this->now);
	this->batch.clear();
	this->batch_at = -1;
	this->retired_at = -1;
	this->workers_told_at = 0;
}

void CellWorld::KillOwner()
{
	// An append under way may be in the log or not
	if (this->batch_at >= 0 && this->random.Chance(50))
		for (const KeyedRecord &record : this->batch)
			this->log[record.key] = record.value;
	this->cell.reset();
	this->batch_at = -1;
	this->owner_back_at = this->now + cOwnerGapMs;
	++this->takeovers;
}

void CellWorld::ReplaceOwner()
{
	this->KillOwner();
	this->StartOwner();
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
		entry.address = {"127.0.0.1", 1};
		entry.capacity = worker.capacity;
		entry.draining = worker.draining;
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
		this->KillOwner();
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

void CellWorld::EndLife(WorldWorker &ioWorker)
{
	ioWorker.crashed = true;
	ioWorker.running.clear();
	const std::string next = "w" + std::to_string(this->next_worker++);
	this->workers.emplace(next, WorldWorker(next, {cCpu, 32768, 0}, ioWorker.slow));
}

void CellWorld::Crash(WorldWorker &ioWorker, bool inCloses, Millis inBackMs)
{
	for (const auto &[id, work] : ioWorker.running)
		if (work.crashes_at >= 0 && this->now >= work.crashes_at)
			++this->crashes_under[id.task];
	ioWorker.crashed = true;
	ioWorker.running.clear();
	ioWorker.closes = inCloses;
	ioWorker.back_at = this->now + inBackMs;
	ioWorker.listed_until = this->now + cEntryStaysMs;
}

uint32 CellWorld::CrashesUnder(const TaskId &inTask) const
{
	auto found = this->crashes_under.find(inTask);
	return found == this->crashes_under.end() ? 0 : found->second;
}

std::string CellWorld::GivenUp() const
{
	std::string given_up;
	for (const auto &[id, spec] : this->specs)
		if (this->Shown(id).phase == EJobPhase::Failed && !this->crash_after_ms.contains(id))
			given_up += "given up: " + id + '\n';
	return given_up;
}

void CellWorld::CrashByRuns()
{
	std::vector<std::string> crashing;
	std::vector<std::string> back;
	for (const auto &[id, worker] : this->workers)
	{
		for (const auto &[run, work] : worker.running)
			if (work.crashes_at >= 0 && this->now >= work.crashes_at && (crashing.empty() || crashing.back() != id))
				crashing.push_back(id);
		if (worker.crashed && this->now == worker.back_at)
			back.push_back(id);
	}
	for (const std::string &id : crashing)
	{
		const Millis back_ms =
			this->back_after_ms > 0 ? this->back_after_ms : cStepMs * (50 + static_cast<Millis>(this->random.Below(300)));
		this->Crash(this->workers.at(id), true, back_ms);
	}
	for (const std::string &id : back)
	{
		const WorldWorker &old = this->workers.at(id);
		const std::string next = "w" + std::to_string(this->next_worker++);
		WorldWorker life(next, old.capacity, old.slow);
		life.rack = old.rack;
		this->workers.emplace(next, std::move(life));
	}
}

std::optional<OrderAnswer> CellWorld::AnswerOfGone(const WorldWorker &inWorker) const
{
	OrderAnswer answer;
	if (inWorker.back_at >= 0 && this->now >= inWorker.back_at)
		answer.result = EOrderResult::OtherLife;
	else if (inWorker.closes || !inWorker.crashed)
		answer = OrderAnswer{EOrderResult::NotSent, -1, {}, {}, false, true};
	else
		return std::nullopt;
	return answer;
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
	if (!ioWorker.unlisted && this->Hits(this->trouble.unlist))
	{
		ioWorker.unlisted = true;
		ioWorker.relisted_at = this->now + 100 + static_cast<Millis>(this->random.Below(3000));
		if (this->random.Chance(50))
			this->trust_until = this->now + 2000;
	}
	if (this->Hits(this->trouble.shrink))
	{
		const bool is_whole = ioWorker.capacity.cpu_milli == cCpu;
		if (is_whole)
		{
			ioWorker.room_before = ioWorker.capacity;
			ioWorker.shrunk_at = this->now;
		}
		ioWorker.capacity.cpu_milli = is_whole ? cCpu / 4 + this->UpTo(cCpu / 2) : cCpu;
	}
	if (this->Hits(this->trouble.slow_worker))
		ioWorker.slow_until = this->now + 5000;
	if (this->trouble.slow_worker > 0)
		ioWorker.slow_factor = this->now < ioWorker.slow_until ? cSlowTimes : 1;
}

Resources WorldWorker::BindingRoom(Millis inNow) const
{
	return this->shrunk_at >= 0 && inNow < this->shrunk_at + cContactMs + cBeatMs ? this->room_before : this->capacity;
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
	this->now += cStepMs;
	this->MakeTrouble();
	this->TakeDown();
	this->CrashByRuns();
	for (auto &[id, worker] : this->workers)
	{
		this->Pass(worker);
		this->CheckCanceled(worker);
	}
	if (this->cell == nullptr && this->now >= this->owner_back_at)
		this->StartOwner();
	std::vector<Parcel> due;
	for (size_t i = 0; i < this->parcels.size();)
	{
		// What comes while the owner stands still waits for it
		const bool waits = this->parcels[i].is_answer && this->Stands();
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
		this->ReplaceOwner();
	else if (woke && this->cell != nullptr)
		this->cell->Plan(this->now, cWallAhead + this->now);
	if (woke)
		this->stalled_until = 0;
	for (Parcel &parcel : due)
	{
		if (parcel.is_answer)
		{
			const bool first = this->open_orders.erase({parcel.owner, parcel.order.serial}) > 0;
			if (first && this->cell != nullptr && parcel.owner == this->epoch)
				this->cell->OnAnswer(parcel.order, parcel.answer, parcel.sent_at, this->now);
			continue;
		}
		WorldWorker &worker = this->workers.at(parcel.order.worker);
		const bool cut = worker.crashed || this->now < worker.cut_until;
		Parcel back = parcel;
		back.is_answer = true;
		back.at = this->now + 1 + static_cast<Millis>(this->random.Below(15));
		if (!cut)
			back.answer = this->CarryOut(worker, parcel.order);
		const bool is_reset = cut && worker.cut_closes;
		const std::optional<OrderAnswer> gone = worker.crashed || is_reset ? this->AnswerOfGone(worker) : std::nullopt;
		back.answer = gone.value_or(back.answer);
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
	this->ReplaceOwner();
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
			this->batch_at = this->now + (this->random.Chance(this->trouble.slow_log) ? 1000 : 10) + this->UpTo(this->trouble.log_ms);
	}
}

void CellWorld::Send(const Order &inOrder)
{
	Parcel parcel;
	parcel.order = inOrder;
	parcel.sent_at = this->now;
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

void CellWorld::Pass(WorldWorker &ioWorker)
{
	if (ioWorker.crashed)
		return;
	const bool lapsed = ioWorker.Clock(this->now) > ioWorker.until;
	std::vector<std::pair<RunId, ERunEnd>> over;
	for (const auto &[id, work] : ioWorker.running)
	{
		if (lapsed)
			over.emplace_back(id, ERunEnd::Lapsed);
		else if (work.stops_at >= 0 && this->now >= work.stops_at)
			over.emplace_back(id, ERunEnd::Stopped);
		else if (work.ends_at >= 0 && this->now >= work.ends_at)
			over.emplace_back(id, work.fails ? ERunEnd::Failed : ERunEnd::Done);
	}
	for (const auto &[id, end] : over)
		this->End(ioWorker, id, end);
	if (lapsed)
		ioWorker.void_below = ioWorker.next_number;
}

void CellWorld::End(WorldWorker &ioWorker, const RunId &inRun, ERunEnd inEnd)
{
	ioWorker.running.erase(inRun);
	if (inEnd == ERunEnd::Done)
		this->done_ever.insert(inRun.task);
	this->ended_at[{ioWorker.id, ioWorker.next_number}] = this->now;
	ioWorker.ended.push_back({ioWorker.next_number++, inRun.task, inRun.run, inEnd, ""});
	uint32 &highest = ioWorker.highest_over[inRun.task];
	highest = std::max(highest, inRun.run);
}

OrderAnswer CellWorld::CarryOut(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	if (inOrder.token < ioWorker.token)
	{
		answer.result = EOrderResult::StaleToken;
		return answer;
	}
	ioWorker.token = inOrder.token;
	if (inOrder.until_ms >= 0)
		ioWorker.until = std::max(ioWorker.until, inOrder.until_ms);
	const RunId id{inOrder.task, inOrder.run};
	answer.result = EOrderResult::Done;
	switch (inOrder.kind)
	{
	case EOrder::Start: return this->CarryOutStart(ioWorker, inOrder);
	case EOrder::Stop:
	{
		uint32 &highest = ioWorker.highest_over[inOrder.task];
		highest = std::max(highest, inOrder.run);
		auto running = ioWorker.running.find(id);
		Millis takes = this->stop_takes;
		if (this->Hits(this->trouble.slow_stop))
			takes = 400 + static_cast<Millis>(this->random.Below(500));
		if (running != ioWorker.running.end() && takes > 0 && running->second.stops_at < 0)
			running->second.stops_at = this->now + takes;
		else if (running != ioWorker.running.end() && running->second.stops_at < 0)
			this->End(ioWorker, id, ERunEnd::Stopped);
		break;
	}
	case EOrder::Hold: return this->Look(ioWorker, inOrder);
	case EOrder::Pace: break;
	}
	return answer;
}

void CellWorld::Note(const WorldWorker &inWorker, const EndedRow &inRow)
{
	if (inRow.end == ERunEnd::Failed)
		++this->failures_noted[inRow.task];
	if (inRow.end != ERunEnd::Done)
		return;
	this->done_noted.insert(inRow.task);
	// It binds from the end on, also where the note comes later
	const StepSpec &step = this->specs.at(inRow.task.job).steps[inRow.task.step];
	if (!step.may_copy && this->last_start[inRow.task] > this->ended_at[{inWorker.id, inRow.number}])
		this->Break("started after an end done, noted later: " + TaskText(inRow.task) + " on " + inWorker.id);
}

OrderAnswer CellWorld::Look(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.result = EOrderResult::Done;
	for (const EndedRow &row : ioWorker.ended)
		if (row.number >= ioWorker.void_below && row.number <= inOrder.last_seen)
			this->Note(ioWorker, row);
	std::erase_if(ioWorker.ended, [&](const EndedRow &inRow) { return inRow.number <= inOrder.last_seen; });
	for (const auto &[run, work] : ioWorker.running)
	{
		const Millis whole = std::max<Millis>(1, work.ends_at - work.began_at);
		const int64 percent = work.ends_at < 0 ? 100 : (this->now - work.began_at) * 100 / whole;
		answer.running.push_back({run.task, run.run, "", percent, 0});
	}
	answer.ended = ioWorker.ended;
	answer.partial = this->trouble.ends_page > 0 && answer.ended.size() >= this->trouble.ends_page;
	if (answer.partial)
		answer.ended.resize(this->trouble.ends_page);
	for (const EndedRow &row : answer.ended)
		if (this->trouble.listing_counts && row.end == ERunEnd::Done && row.number >= ioWorker.void_below)
			this->listed_done.emplace(row.task, this->now);
	return answer;
}

OrderAnswer CellWorld::CarryOutStart(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.result = EOrderResult::Done;
	const RunId id{inOrder.task, inOrder.run};
	if (ioWorker.running.contains(id))
		return answer;
	auto over = ioWorker.highest_over.find(inOrder.task);
	if (over != ioWorker.highest_over.end() && inOrder.run <= over->second)
	{
		answer.result = EOrderResult::StaleRun;
		return answer;
	}
	if (inOrder.until_ms <= ioWorker.Clock(this->now))
	{
		answer.result = EOrderResult::TooLate;
		return answer;
	}
	this->CheckStart(ioWorker, inOrder);
	++this->starts;
	this->starts_after_cancel += this->canceled.contains(inOrder.task.job) ? 1 : 0;
	this->last_start[inOrder.task] = this->now;
	const StepSpec &step = this->specs.at(inOrder.task.job).steps[inOrder.task.step];
	WorldWorker::Work work;
	work.room = step.need;
	work.began_at = this->now;
	const Millis takes = this->run_ms.contains(inOrder.task.job)
							 ? this->run_ms.at(inOrder.task.job)
							 : (200 + static_cast<Millis>(this->random.Below(2000))) * ioWorker.slow_factor;
	work.ends_at = step.lasting ? -1 : this->now + takes;
	work.fails = this->random.Chance(this->trouble.failing);
	auto crashes = this->crash_after_ms.find(inOrder.task.job);
	work.crashes_at = crashes == this->crash_after_ms.end() ? -1 : this->now + crashes->second;
	ioWorker.running.emplace(id, work);
	return answer;
}

void CellWorld::CheckCanceled(WorldWorker &ioWorker)
{
	// An owner that stands still tells nobody, and one that has never seen a worker's entry does not know its address
	const bool has_address = !this->needs_address || ioWorker.shown_to == this->epoch;
	if (this->cell == nullptr || this->Stands() || this->now < ioWorker.cut_until || !has_address)
		ioWorker.contact_since = std::max(ioWorker.contact_since, this->now);
	const Millis stop = std::max(this->slow_stops ? cSlowStopMs : cStopMs, this->stop_takes);
	for (auto &[id, work] : ioWorker.running)
	{
		auto canceled = this->canceled.find(id.task.job);
		if (canceled == this->canceled.end() || ioWorker.crashed || work.blamed)
			continue;
		const Millis due = std::max({canceled->second + cCancelMs, work.began_at + cContactMs, ioWorker.contact_since + cContactMs});
		if (this->now <= due + stop + cStopSlackMs)
			continue;
		work.blamed = true;
		this->Break("runs on after its job's cancel at " + std::to_string(canceled->second) + ": " + TaskText(id.task) + " run " +
					std::to_string(id.run) + " on " + ioWorker.id + ", begun at " + std::to_string(work.began_at));
	}
}

void CellWorld::CheckStart(const WorldWorker &inWorker, const Order &inOrder)
{
	const std::string what = TaskText(inOrder.task) + " run " + std::to_string(inOrder.run) + " on " + inWorker.id;
	const JobSpec &spec = this->specs.at(inOrder.task.job);
	const StepSpec &step = spec.steps[inOrder.task.step];
	// Room
	Resources used = step.need;
	uint32 beside = 1;
	for (const auto &[id, work] : inWorker.running)
	{
		used.Add(work.room);
		beside += id.task.job == inOrder.task.job && id.task.step == inOrder.task.step ? 1 : 0;
	}
	if (!used.FitsInto(inWorker.BindingRoom(this->now)))
		this->Break("no room for " + what);
	if (step.max_per_worker > 0 && beside > step.max_per_worker)
		this->Break("too many beside each other: " + what);
	// One run at a time
	for (const auto &[id, worker] : this->workers)
		for (const auto &[run, work] : worker.running)
			if (run.task == inOrder.task && !worker.crashed && !step.may_copy)
				this->Break("two runs at once: " + what);
	if (this->done_noted.contains(inOrder.task))
		this->Break("start after done: " + what);
	auto listed = this->listed_done.find(inOrder.task);
	if (!step.may_copy && listed != this->listed_done.end() && this->now > listed->second + cListedMs)
		this->Break("start after an end done was listed: " + what);
	if (!step.lasting && this->failures_noted[inOrder.task] >= spec.max_attempts)
		this->Break("attempts used up: " + what);
	if (this->CrashesUnder(inOrder.task) >= cCrashesBorne && ++this->starts_after_three[inOrder.task] >= cStartsTooMany)
		this->Break("crashes its workers, and started again: " + what);
	// Steps in order
	for (uint32 before : step.after)
		for (uint32 index = 0; index < spec.steps[before].count; ++index)
			if (!this->done_ever.contains(TaskId{inOrder.task.job, inOrder.task.round, before, index}))
				this->Break("step out of order: " + what);
	if (inOrder.payload != spec.payload)
		this->Break("another payload: " + what);
}

} // namespace Loomreach::Jobs
