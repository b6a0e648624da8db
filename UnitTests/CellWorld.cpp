// Plays the world.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskText.h>
#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

static constexpr Millis cStepMs = 10;
static constexpr Millis cTimeoutMs = 1000;
static constexpr Millis cOwnerGapMs = 2000;
static constexpr int64 cWallAhead = 1'700'000'000'000;
static constexpr int64 cCpu = 16000;

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

CellWorld::CellWorld(uint64 inSeed, const Trouble &inTrouble, size_t inWorkers) : random(inSeed), trouble(inTrouble)
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
	this->canceled.insert(inId);
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
	this->trouble = Trouble{};
	for (auto &[id, worker] : this->workers)
		worker.cut_until = 0;
}

void CellWorld::StartOwner()
{
	CellTuning tuning;
	tuning.most_lease_ms = tuning.lease_ms;
	this->cell = std::make_unique<Cell>(tuning);
	for (const auto &[key, value] : this->log)
		if (!this->cell->Restore(key, value))
			this->Break("damaged record " + key);
	this->cell->Begin(++this->epoch, this->now);
	this->batch.clear();
	this->batch_at = -1;
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
	for (const auto &[id, worker] : this->workers)
	{
		if (worker.crashed || worker.unlisted)
			continue;
		WorkerEntry entry;
		entry.id = id;
		entry.pool = "pool";
		entry.rack = "r";
		entry.address = {"127.0.0.1", 1};
		entry.capacity = worker.capacity;
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
	{
		WorldWorker &worker = this->workers.at(id);
		worker.crashed = true;
		worker.running.clear();
		const std::string next = "w" + std::to_string(this->next_worker++);
		this->workers.emplace(next, WorldWorker(next, {cCpu, 32768, 0}, worker.slow));
	}
}

void CellWorld::Step()
{
	this->now += cStepMs;
	this->MakeTrouble();
	for (auto &[id, worker] : this->workers)
		this->Pass(worker);
	if (this->cell == nullptr && this->now >= this->owner_back_at)
		this->StartOwner();
	std::vector<Parcel> due;
	for (size_t i = 0; i < this->parcels.size();)
	{
		if (this->parcels[i].at > this->now)
		{
			++i;
			continue;
		}
		due.push_back(this->parcels[i]);
		this->parcels[i] = this->parcels.back();
		this->parcels.pop_back();
	}
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
		if (!parcel.mute && !cut)
			this->parcels.push_back(back);
	}
	if (this->cell != nullptr)
		this->Drive();
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
	this->cell->Plan(this->now, cWallAhead + this->now);
	for (const Order &order : this->cell->TakeOrders(this->now))
		this->Send(order);
	if (this->batch_at < 0 && this->cell->HasNews())
	{
		this->batch = this->cell->TakeBatch(cWallAhead + this->now);
		if (!this->batch.empty())
			this->batch_at = this->now + (this->random.Chance(this->trouble.slow_log) ? 1000 : 10);
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
	const bool late = !lost && this->random.Chance(this->trouble.late_order);
	parcel.mute = late || this->random.Chance(this->trouble.lost_answer);
	if (late)
		parcel.at = this->now + 2000 + static_cast<Millis>(this->random.Below(10000));
	if (!lost)
		this->parcels.push_back(parcel);
	// Every order has one answer for the cell: the worker's, or that none came in time
	Parcel timeout = parcel;
	timeout.is_answer = true;
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
		if (running != ioWorker.running.end() && this->stop_takes > 0 && running->second.stops_at < 0)
			running->second.stops_at = this->now + this->stop_takes;
		else if (running != ioWorker.running.end() && running->second.stops_at < 0)
			this->End(ioWorker, id, ERunEnd::Stopped);
		break;
	}
	case EOrder::Hold:
		for (const EndedRow &row : ioWorker.ended)
			if (row.number < ioWorker.void_below)
				continue;
			else if (row.number <= inOrder.last_seen && row.end == ERunEnd::Done)
				this->done_noted.insert(row.task);
			else if (row.number <= inOrder.last_seen && row.end == ERunEnd::Failed)
				++this->failures_noted[row.task];
		std::erase_if(ioWorker.ended, [&](const EndedRow &inRow) { return inRow.number <= inOrder.last_seen; });
		for (const auto &[run, work] : ioWorker.running)
		{
			const Millis whole = std::max<Millis>(1, work.ends_at - work.began_at);
			const int64 percent = work.ends_at < 0 ? 100 : (this->now - work.began_at) * 100 / whole;
			answer.running.push_back({run.task, run.run, "", percent, 0});
		}
		answer.ended = ioWorker.ended;
		break;
	case EOrder::Pace: break;
	}
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
	const StepSpec &step = this->specs.at(inOrder.task.job).steps[inOrder.task.step];
	WorldWorker::Work work;
	work.room = step.need;
	work.began_at = this->now;
	const Millis takes = this->run_ms.contains(inOrder.task.job)
							 ? this->run_ms.at(inOrder.task.job)
							 : (200 + static_cast<Millis>(this->random.Below(2000))) * ioWorker.slow_factor;
	work.ends_at = step.lasting ? -1 : this->now + takes;
	work.fails = this->random.Chance(this->trouble.failing);
	ioWorker.running.emplace(id, work);
	return answer;
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
	if (!used.FitsInto(inWorker.capacity))
		this->Break("no room for " + what);
	if (step.max_per_worker > 0 && beside > step.max_per_worker)
		this->Break("too many beside each other: " + what);
	// One run at a time
	for (const auto &[id, worker] : this->workers)
		for (const auto &[run, work] : worker.running)
			if (run.task == inOrder.task && !worker.crashed)
				this->Break("two runs at once: " + what);
	if (this->done_noted.contains(inOrder.task))
		this->Break("start after done: " + what);
	if (!step.lasting && this->failures_noted[inOrder.task] >= spec.max_attempts)
		this->Break("attempts used up: " + what);
	// Steps in order
	for (uint32 before : step.after)
		for (uint32 index = 0; index < spec.steps[before].count; ++index)
			if (!this->done_ever.contains(TaskId{inOrder.task.job, inOrder.task.round, before, index}))
				this->Break("step out of order: " + what);
	if (inOrder.payload != spec.payload)
		this->Break("another payload: " + what);
}

} // namespace Loomreach::Jobs
