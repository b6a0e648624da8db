// The simulated workers: orders, runs and crashes, and the checks of the platform's rules.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskText.h>
#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// A reduced capacity binds starts after `cContactMs` and one heartbeat.
static constexpr Millis cHeartbeatMs = 1500;
/// A crashed worker's entry stays listed for three heartbeats of 1.5 s.
static constexpr Millis cEntryLifetimeMs = 4500;
/// Once this many workers have crashed under a task, its third start from then on is a violation.
static constexpr uint32 cCrashLimit = 3;
static constexpr uint32 cFirstForbiddenStart = 3;
/// Another incarnation answers at a released address after this time (`addrReuseS`).
static constexpr Millis cAddressReuseMs = 2000;
/// A listed end counts as recorded after this time.
static constexpr Millis cRecordAfterListedMs = 100;
/// A start may reach a zone this long after its evacuation: the longest pause of an owner that keeps its cell.
static constexpr Millis cEvacuationDeadlineMs = 1500;
/// Runs of a cancelled job must have ended this long after the cancel (`cancel_ms`), or `cContactMs` after their start if they began later,
/// plus the time of a stop (0.4 s or 0.9 s). The slack covers two messages and two steps of the simulation.
static constexpr Millis cCancelDeadlineMs = 3000;
static constexpr Millis cContactMs = 3000;
static constexpr Millis cStopMs = 400;
static constexpr Millis cSlowStopMs = 900;
static constexpr Millis cStopSlackMs = 50;
/// A worker shortens a longer lease to this (`maxHoldMs`).
static constexpr Millis cMaxLeaseMs = 10000;
/// Bound of an incarnation's clock offset.
static constexpr uint64 cMaxClockBaseMs = 8'000'000;
/// Bounds of the delay after which a worker starts again under its id; half of the delays are short.
static constexpr uint64 cShortRestartDelayMs = 300;
static constexpr uint64 cLongRestartDelayMs = 5000;

/// A checkpoint of a run; it begins with the name of its task.
static std::string CheckpointOf(const RunId &inRun, Millis inProgress)
{
	return TaskText(inRun.task) + '/' + std::to_string(inRun.run) + '/' + std::to_string(inProgress);
}

Resources SimulatedWorker::BindingCapacity(Millis inNow) const
{
	return this->shrunk_at >= 0 && inNow < this->shrunk_at + cContactMs + cHeartbeatMs ? this->capacity_before : this->capacity;
}

void CellSimulation::Crash(SimulatedWorker &ioWorker, bool inCloses, Millis inBackMs)
{
	for (const auto &[id, work] : ioWorker.running)
		if (work.crashes_at >= 0 && this->now >= work.crashes_at)
			++this->crashes_by_task[id.task];
	ioWorker.crashed = true;
	ioWorker.running.clear();
	ioWorker.closes_connections = inCloses;
	ioWorker.next_incarnation_at = this->now + inBackMs;
	ioWorker.listed_until = this->now + cEntryLifetimeMs;
}

void CellSimulation::Restart(SimulatedWorker &ioWorker, bool inCloses, Millis inBackMs)
{
	this->Crash(ioWorker, inCloses, inBackMs);
	ioWorker.keeps_id = true;
}

void CellSimulation::StartNextIncarnation(SimulatedWorker &ioWorker)
{
	SimulatedWorker replacement(ioWorker.id, {cWorkerCpuMilli, 32768, 0}, ioWorker.clock_slow_per_mille);
	replacement.rack = ioWorker.rack;
	replacement.started_at = this->now;
	replacement.clock_base = static_cast<Millis>(this->restart_random.Below(cMaxClockBaseMs));
	replacement.contact_since = this->now;
	const bool moves = this->faults.moved_restart > 0 && this->leave_random.Chance(this->faults.moved_restart);
	replacement.port = moves ? this->next_port++ : ioWorker.port;
	if (this->faults.unlisted_restart_ms > 0)
	{
		replacement.unlisted = true;
		replacement.relisted_at = this->now + this->faults.unlisted_restart_ms;
		replacement.former_listed_until = ioWorker.listed_until;
		replacement.former_started_at = ioWorker.started_at;
	}
	ioWorker = std::move(replacement);
}

uint32 CellSimulation::CrashesCausedBy(const TaskId &inTask) const
{
	auto found = this->crashes_by_task.find(inTask);
	return found == this->crashes_by_task.end() ? 0 : found->second;
}

std::string CellSimulation::Violations() const
{
	std::string text;
	for (const std::string &line : this->violations)
		text += line + '\n';
	return text;
}

bool CellSimulation::HasCrashingTask(const std::string &inJob) const
{
	return this->crash_after_ms.contains(inJob) || std::any_of(this->task_crash_after_ms.begin(), this->task_crash_after_ms.end(),
															   [&inJob](const auto &inCrashing) { return inCrashing.first.job == inJob; });
}

std::string CellSimulation::WronglyFailedJobs() const
{
	std::string wrongly_failed;
	for (const auto &[id, spec] : this->specs)
		if (this->QueryJob(id).phase == EJobPhase::Failed && !this->HasCrashingTask(id))
			wrongly_failed += "given up: " + id + '\n';
	return wrongly_failed;
}

void CellSimulation::CrashWorkersByRuns()
{
	std::vector<std::string> crashing;
	std::vector<std::string> back;
	for (const auto &[id, worker] : this->workers)
	{
		for (const auto &[run, work] : worker.running)
			if (work.crashes_at >= 0 && this->now >= work.crashes_at && (crashing.empty() || crashing.back() != id))
				crashing.push_back(id);
		if (worker.crashed && this->now == worker.next_incarnation_at)
			back.push_back(id);
	}
	for (const std::string &id : crashing)
	{
		const Millis back_ms =
			this->back_after_ms > 0 ? this->back_after_ms : cSimulationStepMs * (50 + static_cast<Millis>(this->random.Below(300)));
		this->Crash(this->workers.at(id), true, back_ms);
		this->workers.at(id).keeps_id = this->crashed_keep_ids;
	}
	for (const std::string &id : back)
	{
		SimulatedWorker &old = this->workers.at(id);
		if (old.keeps_id)
		{
			this->StartNextIncarnation(old);
			continue;
		}
		const std::string next = "w" + std::to_string(this->next_worker++);
		SimulatedWorker replacement(next, old.capacity, old.clock_slow_per_mille);
		replacement.rack = old.rack;
		this->workers.emplace(next, std::move(replacement));
	}
}

std::optional<OrderAnswer> CellSimulation::AnswerOfEndedProcess(const SimulatedWorker &inWorker) const
{
	OrderAnswer answer;
	const bool is_next = inWorker.next_incarnation_at >= 0 && this->now >= inWorker.next_incarnation_at;
	if (is_next || (inWorker.address_reused_at >= 0 && this->now >= inWorker.address_reused_at))
		answer.result = EOrderResult::OtherIncarnation;
	else if (inWorker.closes_connections || !inWorker.crashed)
		answer = OrderAnswer{EOrderResult::NotSent, -1, {}, {}, false, true};
	else
		return std::nullopt;
	return answer;
}

void CellSimulation::EndIncarnation(SimulatedWorker &ioWorker)
{
	ioWorker.crashed = true;
	ioWorker.running.clear();
	if (this->faults.address_reuse)
		ioWorker.address_reused_at = this->now + cAddressReuseMs;
	if (this->faults.return_same_id > 0 && this->restart_random.Chance(this->faults.return_same_id))
	{
		this->Restart(ioWorker, true, this->DrawRestartDelay());
		// A worker that leaves by plan removes its entry
		ioWorker.listed_until = -1;
		return;
	}
	const std::string next = "w" + std::to_string(this->next_worker++);
	this->workers.emplace(next, SimulatedWorker(next, {cWorkerCpuMilli, 32768, 0}, ioWorker.clock_slow_per_mille));
}

void CellSimulation::AdvanceWorker(SimulatedWorker &ioWorker)
{
	if (ioWorker.crashed)
		return;
	const bool lapsed = ioWorker.Clock(this->now) > ioWorker.lease_until;
	std::vector<std::pair<RunId, ERunEnd>> over;
	for (const auto &[id, work] : ioWorker.running)
	{
		if (lapsed)
			over.emplace_back(id, ERunEnd::LeaseExpired);
		else if (work.stops_at >= 0 && this->now >= work.stops_at)
			over.emplace_back(id, ERunEnd::Stopped);
		else if (work.ends_at >= 0 && this->now >= work.ends_at)
			over.emplace_back(id, work.fails ? ERunEnd::Failed : ERunEnd::Done);
	}
	for (const auto &[id, end] : over)
		this->EndRun(ioWorker, id, end);
	if (lapsed)
		ioWorker.expired_below = ioWorker.next_sequence;
}

void CellSimulation::EndRun(SimulatedWorker &ioWorker, const RunId &inRun, ERunEnd inEnd)
{
	ioWorker.running.erase(inRun);
	if (inEnd == ERunEnd::Done)
		this->done_ever.insert(inRun.task);
	this->ended_at[{ioWorker.IncarnationName(), ioWorker.next_sequence}] = this->now;
	const std::string checkpoint = this->saves_progress ? CheckpointOf(inRun, this->now) : "";
	ioWorker.ended.push_back({ioWorker.next_sequence++, inRun.task, inRun.run, inEnd, checkpoint});
	uint32 &highest = ioWorker.highest_ended_run[inRun.task];
	highest = std::max(highest, inRun.run);
}

OrderAnswer CellSimulation::Execute(SimulatedWorker &ioWorker, const Order &inOrder)
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
		ioWorker.lease_until = std::max(ioWorker.lease_until, std::min(inOrder.until_ms, answer.clock_ms + cMaxLeaseMs));
	const RunId id{inOrder.task, inOrder.run};
	answer.result = EOrderResult::Done;
	switch (inOrder.kind)
	{
	case EOrder::Start: return this->ExecuteStart(ioWorker, inOrder);
	case EOrder::Stop:
	{
		uint32 &highest = ioWorker.highest_ended_run[inOrder.task];
		highest = std::max(highest, inOrder.run);
		auto running = ioWorker.running.find(id);
		Millis takes = this->stop_duration_ms;
		if (this->DrawFault(this->faults.slow_stop))
			takes = 400 + static_cast<Millis>(this->random.Below(500));
		if (running != ioWorker.running.end() && takes > 0 && running->second.stops_at < 0)
			running->second.stops_at = this->now + takes;
		else if (running != ioWorker.running.end() && running->second.stops_at < 0)
			this->EndRun(ioWorker, id, ERunEnd::Stopped);
		break;
	}
	case EOrder::Poll: return this->Poll(ioWorker, inOrder);
	case EOrder::Throttle: break;
	}
	return answer;
}

void CellSimulation::RecordEnd(const SimulatedWorker &inWorker, const EndedRun &inRow)
{
	if (inRow.end == ERunEnd::Failed)
		++this->failures_recorded[inRow.task];
	if (inRow.end != ERunEnd::Done)
		return;
	this->done_recorded.insert(inRow.task);
	// The end binds from the time of the end, even if it is recorded later
	const StepSpec &step = this->specs.at(inRow.task.job).steps[inRow.task.step];
	if (!step.may_copy && this->last_start[inRow.task] > this->ended_at[{inWorker.IncarnationName(), inRow.sequence}])
		this->AddViolation("started after an end done, noted later: " + TaskText(inRow.task) + " on " + inWorker.id +
						   this->last_start_misdelivery[inRow.task]);
}

std::string CellSimulation::DescribeListedEnd(const ListedEnd &inEnd) const
{
	auto ended = this->owner_exits.find(inEnd.owner);
	return "listed at " + std::to_string(inEnd.at) + ", " +
		   (inEnd.read_at < 0 ? "never read" : "read at " + std::to_string(inEnd.read_at)) + ", its owner " +
		   (ended == this->owner_exits.end() ? "is at work" : ended->second);
}

bool CellSimulation::CountsAsRecorded(const ListedEnd &inEnd) const
{
	auto ended = this->owner_exits.find(inEnd.owner);
	const bool killed = ended != this->owner_exits.end() && ended->second.starts_with(cOwnerKilled);
	const bool excused = this->unread_end_excused && killed && inEnd.read_at < 0;
	return !excused && this->now > inEnd.at + cRecordAfterListedMs;
}

void CellSimulation::MarkRead(const PendingMessage &inAnswer)
{
	for (const EndedRun &row : inAnswer.answer.ended)
	{
		auto listed = this->listed_done.find(row.task);
		if (listed != this->listed_done.end() && listed->second.owner == inAnswer.owner && listed->second.read_at < 0)
			listed->second.read_at = this->now;
	}
}

OrderAnswer CellSimulation::Poll(SimulatedWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.started_ms = ioWorker.started_at;
	answer.result = EOrderResult::Done;
	for (const EndedRun &row : ioWorker.ended)
		if (row.sequence >= ioWorker.expired_below && row.sequence <= inOrder.acknowledged_end)
			this->RecordEnd(ioWorker, row);
	std::erase_if(ioWorker.ended, [&](const EndedRun &inRow) { return inRow.sequence <= inOrder.acknowledged_end; });
	for (const auto &[run, work] : ioWorker.running)
	{
		const Millis whole = std::max<Millis>(1, work.ends_at - work.began_at);
		const int64 percent = work.ends_at < 0 ? 100 : (this->now - work.began_at) * 100 / whole;
		answer.running.push_back({run.task, run.run, this->saves_progress ? CheckpointOf(run, this->now - work.began_at) : "", percent, 0});
	}
	answer.ended = ioWorker.ended;
	answer.partial = this->faults.poll_page_size > 0 && answer.ended.size() >= this->faults.poll_page_size;
	if (answer.partial)
		answer.ended.resize(this->faults.poll_page_size);
	for (const EndedRun &row : answer.ended)
		if (this->faults.listed_end_counts && row.end == ERunEnd::Done && row.sequence >= ioWorker.expired_below)
			this->listed_done.emplace(row.task, ListedEnd{this->now, EpochOf(inOrder.token), -1});
	return answer;
}

Millis CellSimulation::DrawRestartDelay()
{
	const uint64 most = this->restart_random.Chance(50) ? cShortRestartDelayMs : cLongRestartDelayMs;
	return cSimulationStepMs * static_cast<Millis>(2 + this->restart_random.Below(most / cSimulationStepMs));
}

void CellSimulation::AnswerWaitingPolls(SimulatedWorker &ioWorker)
{
	for (size_t i = 0; i < this->waiting.size();)
	{
		const WaitingPoll &waiting_poll = this->waiting[i];
		const bool here = waiting_poll.poll.order.worker == ioWorker.id;
		const auto is_new_end = [&waiting_poll](const EndedRun &inRow)
		{ return inRow.sequence > waiting_poll.poll.order.acknowledged_end; };
		const bool has_new_end = std::any_of(ioWorker.ended.begin(), ioWorker.ended.end(), is_new_end);
		const bool lost = ioWorker.crashed || ioWorker.IncarnationName() != waiting_poll.incarnation;
		if (!here || (!lost && !has_new_end && this->now < waiting_poll.until))
		{
			++i;
			continue;
		}
		PendingMessage reply = waiting_poll.poll;
		reply.is_answer = true;
		reply.at = this->now + 1 + static_cast<Millis>(this->restart_random.Below(15));
		if (lost)
			reply.answer = OrderAnswer{EOrderResult::Unknown, -1, {}, {}, false, true};
		else
			reply.answer = this->Poll(ioWorker, reply.order);
		// An unresponsive host does not answer waiting polls either
		if (!lost || ioWorker.closes_connections || !ioWorker.crashed)
			this->messages.push_back(std::move(reply));
		this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(i));
	}
}

OrderAnswer CellSimulation::ExecuteStart(SimulatedWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.result = EOrderResult::Done;
	const RunId id{inOrder.task, inOrder.run};
	if (ioWorker.running.contains(id))
		return answer;
	auto over = ioWorker.highest_ended_run.find(inOrder.task);
	if (over != ioWorker.highest_ended_run.end() && inOrder.run <= over->second)
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
	this->last_start_misdelivery[inOrder.task] = this->DescribeMisdelivery(ioWorker);
	const StepSpec &step = this->specs.at(inOrder.task.job).steps[inOrder.task.step];
	SimulatedWorker::Work work;
	work.reserved = step.requested;
	work.began_at = this->now;
	work.misdelivery = this->DescribeMisdelivery(ioWorker);
	const Millis takes = this->run_ms.contains(inOrder.task.job)
							 ? this->run_ms.at(inOrder.task.job)
							 : (200 + static_cast<Millis>(this->random.Below(2000))) * ioWorker.slow_factor;
	work.ends_at = step.long_running ? -1 : this->now + takes;
	work.fails = this->random.Chance(this->faults.failed_run);
	auto crashes = this->crash_after_ms.find(inOrder.task.job);
	work.crashes_at = crashes == this->crash_after_ms.end() ? -1 : this->now + crashes->second;
	auto task_crashes = this->task_crash_after_ms.find(inOrder.task);
	work.crashes_at = task_crashes == this->task_crash_after_ms.end() ? work.crashes_at : this->now + task_crashes->second;
	ioWorker.running.emplace(id, work);
	return answer;
}

void CellSimulation::CheckCanceled(SimulatedWorker &ioWorker)
{
	// A paused owner sends nothing, and one that has never seen a worker's entry does not know its address
	const bool has_address = !this->needs_address || ioWorker.listed_to_epoch == this->epoch;
	if (this->cell == nullptr || this->IsOwnerPaused() || this->now < ioWorker.unreachable_until || !has_address)
		ioWorker.contact_since = std::max(ioWorker.contact_since, this->now);
	const Millis stop = std::max(this->slow_stops ? cSlowStopMs : cStopMs, this->stop_duration_ms);
	for (auto &[id, work] : ioWorker.running)
	{
		auto canceled = this->canceled.find(id.task.job);
		if (canceled == this->canceled.end() || ioWorker.crashed || work.reported)
			continue;
		const Millis due =
			std::max({canceled->second + cCancelDeadlineMs, work.began_at + cContactMs, ioWorker.contact_since + cContactMs});
		if (this->now <= due + stop + cStopSlackMs)
			continue;
		work.reported = true;
		this->AddViolation("runs on after its job's cancel at " + std::to_string(canceled->second) + ": " + TaskText(id.task) + " run " +
						   std::to_string(id.run) + " on " + ioWorker.id + ", begun at " + std::to_string(work.began_at));
	}
}

std::string CellSimulation::DescribeMisdelivery(const SimulatedWorker &inWorker) const
{
	if (this->addressed_to == inWorker.IncarnationName())
		return "";
	return " (meant for " + this->addressed_to + ", carried out by " + inWorker.IncarnationName() + ')';
}

void CellSimulation::CheckStart(const SimulatedWorker &inWorker, const Order &inOrder)
{
	const std::string what =
		TaskText(inOrder.task) + " run " + std::to_string(inOrder.run) + " on " + inWorker.id + this->DescribeMisdelivery(inWorker);
	const JobSpec &spec = this->specs.at(inOrder.task.job);
	const StepSpec &step = spec.steps[inOrder.task.step];
	// Capacity
	Resources used = step.requested;
	uint32 beside = 1;
	std::string stray_runs;
	for (const auto &[id, work] : inWorker.running)
	{
		stray_runs += work.misdelivery;
		used.Add(work.reserved);
		beside += id.task.job == inOrder.task.job && id.task.step == inOrder.task.step ? 1 : 0;
	}
	auto closed = this->evacuated.find(inWorker.availability_zone);
	if (closed != this->evacuated.end() && this->now > closed->second + cEvacuationDeadlineMs)
		this->AddViolation("in a zone that was evacuated at " + std::to_string(closed->second) + ": " + what);
	if (!used.FitsInto(inWorker.BindingCapacity(this->now)))
		this->AddViolation("no room for " + what + stray_runs);
	if (step.max_per_worker > 0 && beside > step.max_per_worker)
		this->AddViolation("too many beside each other: " + what);
	// One run at a time
	for (const auto &[id, worker] : this->workers)
		for (const auto &[run, work] : worker.running)
			if (run.task == inOrder.task && !worker.crashed && !step.may_copy)
				this->AddViolation("two runs at once: " + what + work.misdelivery);
	if (this->done_recorded.contains(inOrder.task))
		this->AddViolation("start after done: " + what);
	auto listed = this->listed_done.find(inOrder.task);
	if (!step.may_copy && listed != this->listed_done.end() && this->CountsAsRecorded(listed->second))
		this->AddViolation("start after an end done was listed: " + what + " (" + this->DescribeListedEnd(listed->second) + ")");
	if (!step.long_running && this->failures_recorded[inOrder.task] >= spec.max_attempts)
		this->AddViolation("attempts used up: " + what);
	// Binds owners in contact: neither they nor the store were disturbed for `cContactMs`
	const bool in_touch = this->now - this->disturbed_at >= cContactMs;
	if (in_touch && this->CrashesCausedBy(inOrder.task) >= cCrashLimit && ++this->starts_over_limit[inOrder.task] >= cFirstForbiddenStart)
		this->AddViolation("crashes its workers, and started again: " + what);
	// Order of the steps
	for (uint32 before : step.after)
		for (uint32 index = 0; index < spec.steps[before].count; ++index)
			if (!this->done_ever.contains(TaskId{inOrder.task.job, inOrder.task.round, before, index}))
				this->AddViolation("step out of order: " + what);
	if (inOrder.payload != spec.payload)
		this->AddViolation("another payload: " + what);
	if (!inOrder.checkpoint.empty() && !inOrder.checkpoint.starts_with(TaskText(inOrder.task) + '/'))
		this->AddViolation("another task's checkpoint " + inOrder.checkpoint + ": " + what);
}

} // namespace Loomreach::Jobs
