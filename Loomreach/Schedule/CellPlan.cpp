// Planning decisions of a cell: where runs are placed, which runs are moved away from slow workers, and which are throttled.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// Throttling keeps tail latency between these shares of its target: above the first best-effort runs slow down, below the second they
/// speed up.
static constexpr int64 cTailHighPercent = 75;
static constexpr int64 cTailLowPercent = 50;
static constexpr int64 cThrottleCutPercent = 50; ///< Multiplicative decrease.
static constexpr int64 cThrottleStep = 10;       ///< Additive increase, in percentage points.
/// Weights of the placement score. A rack with the task's data halves the run time and outweighs any load balance.
static constexpr double cDataRackWeight = 10.0;
static constexpr double cNeighbourWeight = 2.0; ///< Per latency-sensitive or best-effort neighbour of such a task.
/// Specified: a job that ends later than this many times its objective earns nothing.
static constexpr int64 cCreditObjectives = 3;
/// A step that has exceeded its expected time is assumed to need this fraction (1/n) of it still.
static constexpr Millis cOverdueDivisor = 5;
/// Weight of an observed run time against the prior estimate: run times within a step differ by a quarter of their mean, between steps by
/// half.
static constexpr Millis cObservedWeight = 3;
/// Each core-second of remaining work moves a job back by this much in the planning order.
static constexpr int64 cOrderMsPerCoreSecond = 30;
static constexpr double cFreeShareWeight = 1.0;
static constexpr double cLongRunningPackingWeight = 0.5;
static constexpr double cSameRackWeight = 1.5;
static constexpr double cSameZoneWeight = 0.5;
/// A run is a straggler after this many times the expected run time, if its remaining time at the current speed exceeds this many fresh
/// runs. Run times of one kind vary by half their mean, so twice the mean alone is weak evidence.
static constexpr Millis cStragglerTimes = 2;
static constexpr Millis cStragglerGain = 2;
static constexpr Millis cStragglerMinMs = 400;
static constexpr uint32 cMaxSlowRuns = 1;
static constexpr Millis cProgressFreshMs = 200;
/// Penalty per run that a trial run may crash along with the worker. Outweighs everything else.
static constexpr double cTrialWeight = 20.0;
/// Penalty of a slow worker. Ranks it behind all others with capacity.
static constexpr double cSlowWeight = 5.0;

/// A job's rank is recomputed at this interval, and whenever the job changes.
static constexpr Millis cRankIntervalMs = 100;

/// A task that has waited for its trial run for longer goes before all others. Otherwise jobs that can still be in time would keep it from
/// starting for as long as they arrive.
static constexpr Millis cTrialOverdueMs = 3000;

static constexpr Millis cLogDeferredMs = 1000; ///< Deferred jobs are logged at most this often.

EDeadlineOutlook Cell::OutlookOf(const CellJob &inJob, int64 inWallNow) const
{
	if (inJob.spec.steps[0].long_running)
		return EDeadlineOutlook::InTime;
	const int64 due = this->DueWall(inJob);
	const int64 from = inJob.spec.accepted_wall_ms;
	const int64 done_at = inWallNow + this->CriticalPathLeft(inJob);
	if (done_at <= due)
		return EDeadlineOutlook::InTime;
	return done_at <= from + cCreditObjectives * (due - from) ? EDeadlineOutlook::Late : EDeadlineOutlook::NoCredit;
}

int64 Cell::WorkLeft(const CellJob &inJob) const
{
	int64 work = 0;
	for (size_t unit = 0; unit < inJob.record.steps.size(); ++unit)
	{
		const StepSpec &step = inJob.StepOf(unit);
		if (step.long_running)
			continue;
		int64 left = 0;
		for (const TaskRecord &task : inJob.record.steps[unit].tasks)
			left += task.done ? 0 : 1;
		work += left * step.requested.cpu_milli * this->ExpectedRunMs(inJob, unit) / 1000;
	}
	return work;
}

Millis Cell::CriticalPathLeft(const CellJob &inJob) const
{
	const size_t steps = inJob.spec.steps.size();
	std::vector<Millis> ends(steps, 0);
	Millis longest = 0;
	for (size_t i = 0; i < steps; ++i)
	{
		Millis begin = 0;
		for (uint32 before : inJob.spec.steps[i].after)
			begin = std::max(begin, ends[before]);
		ends[i] = begin + this->StepLeft(inJob, i);
		longest = std::max(longest, ends[i]);
	}
	return longest;
}

int64 Cell::DueWall(const CellJob &inJob) const
{
	// Long-running jobs earn from their first second
	const int64 from =
		inJob.spec.round_count > 0 ? std::max(inJob.spec.first_wall_ms, inJob.spec.accepted_wall_ms) : inJob.spec.accepted_wall_ms;
	if (inJob.spec.steps[0].long_running)
		return from;
	std::vector<Millis> ends(inJob.spec.steps.size(), 0);
	Millis longest = 0;
	for (size_t i = 0; i < ends.size(); ++i)
	{
		Millis begin = 0;
		for (uint32 before : inJob.spec.steps[i].after)
			begin = std::max(begin, ends[before]);
		ends[i] = begin + this->StepDuration(inJob, i);
		longest = std::max(longest, ends[i]);
	}
	return from + inJob.spec.target_ms + static_cast<int64>(static_cast<double>(longest) * inJob.spec.stretch);
}

void Cell::Plan(Millis inNow, int64 inWallNow)
{
	this->now = inNow;
	this->ApplyCleared(inWallNow);
	this->trial_racks.clear();
	for (auto &[id, worker] : this->workers)
	{
		this->EndLapsedRuns(worker, inNow);
		this->UpdateTrials(worker);
		this->StopRunsOnLeavingWorker(worker, inNow);
		this->StopRunsOnDrainedWorker(worker, inNow);
		this->PlanThrottles(worker, inNow);
		this->PlanStragglers(worker, inNow);
	}
	this->DecideAwaiting(inNow);
	this->PlanJobs(inNow, inWallNow);
}

void Cell::UpdateRank(CellJob &ioJob, Millis inNow, int64 inWallNow) const
{
	// Over a long queue this dominates the planning time, and the result changes slowly
	if (ioJob.ranked_at >= 0 && inNow - ioJob.ranked_at < cRankIntervalMs)
		return;
	ioJob.ranked_at = inNow;
	ioJob.outlook = this->OutlookOf(ioJob, inWallNow);
	ioJob.due_wall_ms = this->DueWall(ioJob);
	ioJob.path_left_ms = this->CriticalPathLeft(ioJob);
	ioJob.work_left = this->WorkLeft(ioJob);
	ioJob.order_key = ioJob.due_wall_ms + ioJob.work_left * cOrderMsPerCoreSecond / 1000;
}

bool Cell::HasTasksToStart(const CellJob &inJob, int64 inWallNow) const
{
	for (size_t unit = 0; unit < inJob.record.steps.size(); ++unit)
	{
		// A scheduled start time arrives without any other change
		if (!this->IsDue(inJob, unit, inWallNow))
		{
			if (inJob.spec.round_count > 0)
				return true;
			continue;
		}
		for (const TaskRecord &task : inJob.record.steps[unit].tasks)
			if (!task.done && task.runs.empty())
				return true;
	}
	return false;
}

Millis Cell::TrialOverdueSince(const CellJob &inJob, Millis inNow)
{
	Millis oldest = WaitingJob::cNotOverdue;
	for (const auto &[key, crashes] : inJob.crashes)
	{
		const auto &[unit, index] = key;
		const TaskRecord &task = inJob.record.steps[unit].tasks[index];
		const VolatileTaskState &state = inJob.volatile_state[unit][index];
		const bool waits = state.trial_wanted_since >= 0 && state.not_before <= inNow && !task.done && task.runs.empty();
		// The crash that called for the trial run may have been explained meanwhile
		const bool is_overdue =
			waits && inNow - state.trial_wanted_since > cTrialOverdueMs && this->TrialOf(inJob, unit, index, inNow) != ETrial::None;
		oldest = is_overdue ? std::min(oldest, state.trial_wanted_since) : oldest;
	}
	return oldest;
}

std::map<std::string, PoolState, std::less<>> Cell::PoolStates(Millis inNow, int64 inWallNow)
{
	std::map<std::string, PoolState, std::less<>> pools;
	for (const std::string &name : this->short_pools)
		pools[name].is_short = true;
	if (pools.empty())
		return pools;
	for (const auto &[id, worker] : this->workers)
		if (auto pool = pools.find(worker.entry.pool); pool != pools.end() && this->CanAcceptRuns(worker, inNow))
			pool->second.cpu_milli += worker.entry.capacity.cpu_milli;
	for (const std::string &id : this->active)
	{
		if (this->jobs_to_plan.contains(id))
			continue;
		CellJob &job = *this->FindJob(id);
		auto pool = pools.find(job.spec.pool);
		if (pool == pools.end() || job.spec.steps[0].long_running)
			continue;
		this->UpdateRank(job, inNow, inWallNow);
		pool->second.started_work[job.spec.team] += job.work_left;
	}
	return pools;
}

/// Whether any task of a job has been started.
static bool HasStarted(const CellJob &inJob)
{
	for (const StepRecord &step : inJob.record.steps)
		for (const TaskRecord &task : step.tasks)
			if (task.done || task.last_run > 0)
				return true;
	return false;
}

WaitingJob Cell::DescribeWaiting(CellJob &ioJob, Millis inNow, int64 inWallNow)
{
	WaitingJob waiting;
	waiting.overdue_since = this->TrialOverdueSince(ioJob, inNow);
	waiting.outlook = ioJob.outlook;
	waiting.priority = ioJob.spec.priority;
	waiting.order_key = ioJob.order_key;
	waiting.job = &ioJob;
	waiting.pool = ioJob.spec.pool;
	waiting.team = ioJob.spec.team;
	waiting.has_deadline = !ioJob.spec.steps[0].long_running;
	waiting.deferrable = waiting.has_deadline && !HasStarted(ioJob);
	waiting.due_wall_ms = ioJob.due_wall_ms;
	waiting.earliest_end_wall_ms = inWallNow + ioJob.path_left_ms;
	waiting.work = ioJob.work_left;
	if (this->IsHeldBack(ioJob))
	{
		waiting.outlook = EDeadlineOutlook::Late;
		waiting.order_key = ioJob.spec.accepted_wall_ms;
	}
	return waiting;
}

std::vector<WaitingJob> Cell::OrderWaiting(Millis inNow, int64 inWallNow)
{
	std::vector<WaitingJob> order;
	order.reserve(this->jobs_to_plan.size());
	for (const std::string &id : this->jobs_to_plan)
	{
		CellJob &job = *this->FindJob(id);
		this->UpdateRank(job, inNow, inWallNow);
		order.push_back(this->DescribeWaiting(job, inNow, inWallNow));
	}
	const auto weight = [this](std::string_view inTeam)
	{
		const Team *team = this->catalogue == nullptr ? nullptr : this->catalogue->FindTeam(inTeam);
		return team == nullptr ? 0 : team->weight;
	};
	const size_t deferred = OrderWaitingJobs(order, this->PoolStates(inNow, inWallNow), weight, inWallNow);
	if (deferred > 0 && inNow - this->deferred_logged_at >= cLogDeferredMs)
	{
		this->deferred_logged_at = inNow;
		LogEvent(ELogLevel::Info, "jobs_deferred")
			.Field("deferred", deferred)
			.Field("waiting", order.size())
			.Field("cell", this->run_events.Cell());
	}
	return order;
}

size_t Cell::UnsentStartBytes()
{
	if (this->tuning.start_backlog_bytes == std::numeric_limits<size_t>::max())
		return 0;
	size_t bytes = 0;
	for (const auto &[id, worker] : this->workers)
		for (const auto &[run_id, run] : worker.runs)
			if (const CellJob *job = IsDispatched(run.state) ? nullptr : this->FindJob(run_id.task.job); job != nullptr)
				bytes += job->spec.payload.size() + cStartOverheadBytes;
	return bytes;
}

void Cell::PlanJobs(Millis inNow, int64 inWallNow)
{
	this->capacity_rejects.clear();
	this->teams_at_limit.clear();
	if (!this->inbox_fresh)
		return;
	const std::vector<WaitingJob> order = this->OrderWaiting(inNow, inWallNow);
	this->unsent_start_bytes = this->UnsentStartBytes();
	for (const WaitingJob &entry : order)
	{
		this->PlanJob(*entry.job, inNow, inWallNow);
		if (!this->HasTasksToStart(*entry.job, inWallNow))
			this->jobs_to_plan.erase(entry.job->spec.id);
	}
	if (!this->IsStartBacklogFull())
		this->starts_paused_since = -1;
	else if (this->starts_paused_since < 0)
		this->starts_paused_since = inNow;
	this->short_pools.clear();
	for (const PlanReject &reject : this->capacity_rejects)
		this->short_pools.emplace(reject.pool);
}

bool Cell::IsDue(const CellJob &inJob, size_t inUnit, int64 inWallNow) const
{
	const size_t steps = inJob.spec.steps.size();
	const size_t round = inUnit / steps;
	if (inJob.spec.round_count > 0 && inWallNow < inJob.spec.first_wall_ms + static_cast<int64>(round) * inJob.spec.interval_ms)
		return false;
	for (uint32 before : inJob.StepOf(inUnit).after)
		for (const TaskRecord &task : inJob.record.steps[round * steps + before].tasks)
			if (!task.done)
				return false;
	return true;
}

void Cell::PlanJob(CellJob &ioJob, Millis inNow, int64 inWallNow)
{
	for (size_t unit = 0; unit < ioJob.record.steps.size(); ++unit)
	{
		if (!this->IsDue(ioJob, unit, inWallNow))
			continue;
		if (ioJob.StepOf(unit).gang)
			this->PlanGang(ioJob, unit, inNow);
		else
			this->PlanUnit(ioJob, unit, inNow);
		this->LogPlanned(ioJob, unit);
	}
}

std::map<std::string, uint32> Cell::CountByWorker(const CellJob &inJob, size_t inUnit) const
{
	std::map<std::string, uint32> count;
	for (const TaskRecord &task : inJob.record.steps[inUnit].tasks)
		for (const RunRecord &run : task.runs)
			++count[run.worker];
	return count;
}

bool Cell::FitsTeamLimit(const CellJob &inJob, size_t inUnit, int64 inTasks, Millis inNow)
{
	Resources requested = inJob.StepOf(inUnit).requested;
	requested = {requested.cpu_milli * inTasks, requested.memory_mb * inTasks, requested.accelerators * inTasks};
	if (this->teams.HasCapacity(inJob.spec.team, requested, inNow))
		return true;
	this->teams_at_limit.insert(inJob.spec.team);
	return false;
}

void Cell::PlanUnit(CellJob &ioJob, size_t inUnit, Millis inNow)
{
	std::vector<TaskRecord> &tasks = ioJob.record.steps[inUnit].tasks;
	std::optional<std::map<std::string, uint32>> on_worker;
	size_t room = 0;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		const TaskRecord &task = tasks[index];
		const bool waits = !task.done && task.runs.empty() && ioJob.volatile_state[inUnit][index].not_before <= inNow;
		if (!waits)
			continue;
		if (this->IsStartBacklogFull() || !this->FitsTeamLimit(ioJob, inUnit, 1, inNow))
			return;
		if (!on_worker.has_value())
		{
			on_worker = this->CountByWorker(ioJob, inUnit);
			room = RoomForRuns(ioJob.spec, ioJob.record);
		}
		if (room == 0)
			return this->LogNoRoom(ioJob, inUnit);
		CellWorker *worker = this->ChooseWorker(ioJob, inUnit, index, inNow, *on_worker);
		if (worker == nullptr && Cell::TrialOf(ioJob, inUnit, index, inNow) != ETrial::None)
		{
			this->ReserveForTrial(ioJob, inUnit, index, inNow);
			this->LogTrialWait(ioJob, inUnit, index, inNow);
			this->AskAdvice(ioJob, inUnit, inNow);
			continue;
		}
		// Only this task avoids that worker; the others of the step may use it
		if (worker == nullptr && inNow < ioJob.volatile_state[inUnit][index].slow_until)
			continue;
		// Other tasks of the step will not find a worker either
		if (worker == nullptr)
			return this->AskAdvice(ioJob, inUnit, inNow);
		++(*on_worker)[worker->entry.id];
		this->AddRun(ioJob, inUnit, index, task.last_run + 1, *worker, inNow);
		--room;
	}
}

void Cell::LogNoRoom(CellJob &ioJob, size_t inUnit) const
{
	if (std::exchange(ioJob.no_room_logged, true))
		return;
	LogEvent(ELogLevel::Warning, "runs_limited")
		.Field("request", ioJob.spec.id)
		.Field("unit", inUnit)
		.Field("state_bytes", StateBytes(ioJob.record))
		.Field("limit", cMaxRecordBytes)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::PlanGang(CellJob &ioJob, size_t inUnit, Millis inNow)
{
	std::vector<TaskRecord> &tasks = ioJob.record.steps[inUnit].tasks;
	uint32 last_run = 0;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		// Gang members start together: all earlier runs must have ended everywhere
		const bool free = !tasks[index].done && tasks[index].runs.empty() && ioJob.volatile_state[inUnit][index].not_before <= inNow;
		if (!free)
			return;
		last_run = std::max(last_run, tasks[index].last_run);
	}
	if (this->IsStartBacklogFull() || !this->FitsTeamLimit(ioJob, inUnit, static_cast<int64>(tasks.size()), inNow))
		return;
	// Capacity is reserved member by member, and released if one finds none
	std::map<std::string, uint32> on_worker;
	std::vector<CellWorker *> places;
	const StepSpec &step = ioJob.StepOf(inUnit);
	const Resources reserved = step.Reserved();
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		CellWorker *worker = this->ChooseWorker(ioJob, inUnit, index, inNow, on_worker);
		if (worker == nullptr && Cell::TrialOf(ioJob, inUnit, index, inNow) != ETrial::None)
		{
			this->ReserveForTrial(ioJob, inUnit, index, inNow);
			this->LogTrialWait(ioJob, inUnit, index, inNow);
		}
		if (worker == nullptr)
			break;
		worker->used.Add(reserved);
		++on_worker[worker->entry.id];
		places.push_back(worker);
	}
	for (CellWorker *worker : places)
		worker->used.Subtract(reserved);
	if (places.size() < tasks.size())
		return this->AskAdvice(ioJob, inUnit, inNow);
	for (uint32 index = 0; index < tasks.size(); ++index)
		this->AddRun(ioJob, inUnit, index, last_run + 1, *places[index], inNow);
}

bool Cell::CanAcceptRuns(const CellWorker &inWorker, Millis inNow) const
{
	if (!inWorker.IsPresent(inNow) || inWorker.ended || inWorker.entry.draining || !inWorker.reachable || inWorker.clock_ms < 0)
		return false;
	if (inWorker.restart_suspected || inWorker.unsized_runs > 0 || this->IsEvacuated(inWorker))
		return false;
	// An order for its predecessor could still extend the lease of a run that is started now
	if (inWorker.replaced && !inWorker.token_seen)
		return false;
	// The listed capacity, kind and rack belong to a previous incarnation
	if (IsStartedAfter(inWorker.started_ms, inWorker.entry.started_ms))
		return false;
	if (inNow < inWorker.backoff_until || inNow < inWorker.drain_until || inNow < inWorker.quarantine_until ||
		inNow < inWorker.removed_until || this->IsHostDrained(inWorker, inNow))
		return false;
	// After quarantine, one run at a time
	return inWorker.consecutive_failures < cFailuresToQuarantine || inWorker.runs.empty();
}

bool Cell::MayRun(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit, Millis inNow)
{
	const std::string &label = inJob.StepOf(inUnit).needs_label;
	const std::vector<std::string> &labels = inWorker.entry.labels;
	if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())
		return false;
	return !inJob.spec.advised || Cell::HasTicket(inJob, inUnit, inWorker.entry.id, inNow);
}

double Cell::ScoreOf(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit) const
{
	const StepSpec &step = inJob.StepOf(inUnit);
	const double cores = std::max<double>(1.0, static_cast<double>(inWorker.entry.capacity.cpu_milli));
	// Runs are packed to free whole hosts for other pools and for maintenance
	double score = inWorker.slow_until > this->now ? -cSlowWeight : 0.0;
	score -= cFreeShareWeight * static_cast<double>(inWorker.Free().cpu_milli) / cores;
	if (!step.data_rack.empty() && inWorker.entry.rack == step.data_rack)
		score += cDataRackWeight;
	const bool affects_latency = step.latency_target_ms > 0 || step.best_effort;
	if (!step.long_running && !affects_latency)
		return score;
	for (const auto &[id, run] : inWorker.runs)
	{
		// Latency-sensitive tasks suffer from latency-sensitive or best-effort neighbours; other long-running tasks are packed
		if (affects_latency && (run.latency_sensitive || run.best_effort))
			score -= cNeighbourWeight;
		else if (run.long_running && !affects_latency)
			score += cLongRunningPackingWeight;
	}
	// Spreads the tasks of a step, so that losing a rack or a zone takes few of them
	for (const TaskRecord &task : inJob.record.steps[inUnit].tasks)
		for (const RunRecord &run : task.runs)
		{
			auto other = this->workers.find(run.worker);
			if (other == this->workers.end())
				continue;
			score -= other->second.entry.rack == inWorker.entry.rack ? cSameRackWeight : 0.0;
			score -= other->second.entry.availability_zone == inWorker.entry.availability_zone ? cSameZoneWeight : 0.0;
		}
	return score;
}

CellWorker *Cell::ChooseWorker(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow,
							   const std::map<std::string, uint32> &inOnWorker)
{
	const StepSpec &step = inJob.StepOf(inUnit);
	const VolatileTaskState &state = inJob.volatile_state[inUnit][inTask];
	const std::string &failed_on = state.last_failed_worker;
	const Resources reserved = step.Reserved();
	// A task that requested no more has found no worker in this pass
	for (const PlanReject &reject : this->capacity_rejects)
		if (reject.pool == inJob.spec.pool && reject.reserved.FitsInto(reserved))
			return nullptr;
	const ETrial trial = Cell::TrialOf(inJob, inUnit, inTask, inNow);
	CellWorker *best = nullptr;
	bool any_fits = false;
	double best_score = 0.0;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != inJob.spec.pool || !this->CanAcceptRuns(worker, inNow) || !reserved.FitsInto(worker.Free()))
			continue;
		any_fits = true;
		// It was stopped there as a straggler, and waits for another worker
		if (id == state.slow_worker && inNow < state.slow_until)
			continue;
		if (!this->AllowsStart(worker, trial, inNow))
			continue;
		if (!Cell::MayRun(worker, inJob, inUnit, inNow))
			continue;
		auto on_it = inOnWorker.find(id);
		const uint32 here = on_it == inOnWorker.end() ? 0 : on_it->second;
		if (step.max_per_worker > 0 && here >= step.max_per_worker)
			continue;
		double score = this->ScoreOf(worker, inJob, inUnit);
		// A crash in a trial run should take few other runs with it
		if (trial != ETrial::None)
			score -= cTrialWeight * static_cast<double>(worker.runs.size());
		// Other workers are preferred to the one where it failed
		if (id == failed_on)
			score -= cDataRackWeight * 2;
		if (best != nullptr && score <= best_score)
			continue;
		best = &worker;
		best_score = score;
	}
	if (!any_fits)
		this->capacity_rejects.push_back({inJob.spec.pool, reserved});
	return best;
}

void Cell::AddRun(CellJob &ioJob, size_t inUnit, uint32 inTask, uint32 inRun, CellWorker &ioWorker, Millis inNow)
{
	this->unsent_start_bytes += ioJob.spec.payload.size() + cStartOverheadBytes;
	const StepSpec &step = ioJob.StepOf(inUnit);
	const size_t steps = ioJob.spec.steps.size();
	const RunId id{{ioJob.spec.id, static_cast<uint32>(inUnit / steps), static_cast<uint32>(inUnit % steps), inTask}, inRun};
	Run run = NewRun(ioJob.spec, step, ERunState::Planned, inNow);
	LOOM_INVARIANT(run.reserved.FitsInto(ioWorker.Free()), "a worker is never told to run more than it has room for");
	LOOM_INVARIANT(this->teams.HasCapacity(run.team, run.requested, inNow), "a team never has more running than its share here");
	TaskRecord &task = ioJob.record.steps[inUnit].tasks[inTask];
	LOOM_INVARIANT(inRun > task.last_run, "run numbers of a task increase");
	LOOM_INVARIANT(task.runs.empty() || step.may_copy, "a task has one run at a time unless its step allows copies");
	if (ioJob.spec.advised)
		run.ticket = ioJob.advice[inUnit].tickets[ioWorker.entry.id].text;
	run.planned_for = ioWorker.incarnation_number;
	run.trial = Cell::TrialOf(ioJob, inUnit, inTask, inNow);
	ioJob.volatile_state[inUnit][inTask].trial_wanted_since = -1;
	if (run.trial != ETrial::None)
	{
		++ioWorker.open_trials;
		ioWorker.trial_reserved_until = 0;
		this->trial_racks.insert(ioWorker.entry.rack);
	}
	ioJob.seen[inUnit].NotePlanned(inNow);
	task.last_run = inRun;
	task.runs.push_back({inRun, ioWorker.entry.id});
	this->AddUsage(ioWorker, run);
	ioWorker.runs.emplace(id, std::move(run));
	this->MarkChanged(ioJob);
	this->planned_text +=
		(this->planned_text.empty() ? "" : " ") + std::to_string(inTask) + "." + std::to_string(inRun) + "@" + ioWorker.entry.id;
	this->planned_answer_age = std::max(this->planned_answer_age, inNow - ioWorker.last_answer_at);
}

void Cell::LogPlanned(const CellJob &inJob, size_t inUnit)
{
	if (this->planned_text.empty())
		return;
	const size_t steps = inJob.spec.steps.size();
	LogEvent(ELogLevel::Info, "runs_planned")
		.Field("request", inJob.spec.id)
		.Field("round", inUnit / steps)
		.Field("step", inUnit % steps)
		.Field("runs", std::exchange(this->planned_text, {}))
		.Field("oldest_news_ms", std::exchange(this->planned_answer_age, 0))
		.Field("copies", inJob.StepOf(inUnit).may_copy ? 1 : 0)
		.Field("lasting", inJob.StepOf(inUnit).long_running ? 1 : 0)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::EndLapsedRuns(CellWorker &ioWorker, Millis inNow)
{
	if (ioWorker.runs.empty() || inNow < ioWorker.lease_expires_at)
		return;
	std::vector<RunId> lapsed;
	std::vector<Run *> pending;
	bool is_new_loss = false;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (!IsDispatched(run.state))
			continue;
		if (this->MayRunUnheard(ioWorker, run, inNow))
		{
			pending.push_back(&run);
			continue;
		}
		lapsed.push_back(id);
		is_new_loss = is_new_loss || !run.IsCrashKnown(ioWorker.started_ms);
	}
	// Connections closed after the last answer show that the process has ended; an unresponsive worker may be partitioned and still run
	if ((ioWorker.connections_closed_at >= 0 || ioWorker.ended) && is_new_loss)
	{
		this->AttributeCrash(ioWorker, inNow);
		// Ended later, when the same crash must not count again
		for (Run *run : pending)
			run->crash_counted = true;
	}
	// Nothing has extended the leases, so they have expired wherever the worker is
	for (const RunId &id : lapsed)
		this->EndRun(ioWorker, id, ERunEnd::LeaseExpired, "", "lease expired without an answer", inNow);
}

Millis Cell::ExpectedRunMs(const CellJob &inJob, size_t inUnit) const
{
	const Millis before = this->run_times.Expect(inJob.spec, inJob.StepOf(inUnit));
	const StepRunTimes &seen = inJob.seen[inUnit];
	if (seen.Count() == 0)
		return before;
	// Tasks of one step are alike, so observed run times outweigh the prior estimate
	const Millis weight = cObservedWeight * static_cast<Millis>(seen.Count());
	return (before + weight * seen.Mean()) / (1 + weight);
}

Millis Cell::SlownessBaselineMs(const CellJob &inJob, size_t inUnit) const
{
	return std::max(this->ExpectedRunMs(inJob, inUnit), this->run_times.Expect(inJob.spec, inJob.StepOf(inUnit)));
}

Millis Cell::StepDuration(const CellJob &inJob, size_t inUnit) const
{
	const size_t tasks = inJob.record.steps[inUnit].tasks.size();
	const StepRunTimes &seen = inJob.seen[inUnit];
	if (seen.Count() == tasks)
		return seen.Longest();
	return std::max(seen.Longest(), this->run_times.ExpectLongest(inJob.spec, this->ExpectedRunMs(inJob, inUnit), tasks));
}

Millis Cell::StepLeft(const CellJob &inJob, size_t inUnit) const
{
	bool open = false;
	bool waits = false;
	for (const TaskRecord &task : inJob.record.steps[inUnit].tasks)
	{
		open = open || !task.done;
		waits = waits || (!task.done && task.runs.empty());
	}
	if (!open)
		return 0;
	const Millis span = this->StepDuration(inJob, inUnit);
	const Millis planned_at = inJob.seen[inUnit].PlannedAt();
	if (waits || planned_at < 0)
		return span;
	// All tasks are running. One that takes longer than expected is not known to be nearly done
	return std::max(span - (this->now - planned_at), span / cOverdueDivisor);
}

void Cell::PlanStragglers(CellWorker &ioWorker, Millis inNow)
{
	// Only fresh progress counts, and each report once
	if (ioWorker.stragglers_checked_at == ioWorker.last_answer_at || inNow - ioWorker.last_answer_at > cProgressFreshMs)
		return;
	ioWorker.stragglers_checked_at = ioWorker.last_answer_at;
	std::vector<RunId> slow;
	for (const auto &[id, run] : ioWorker.runs)
	{
		const CellJob *job = this->FindJob(id.task.job);
		const bool candidate =
			run.state == ERunState::Confirmed && !run.long_running && run.percent >= 0 && run.confirmed_at >= 0 && job != nullptr;
		if (!candidate || job->spec.steps[id.task.step].gang)
			continue;
		const Millis expected = this->SlownessBaselineMs(*job, job->Unit(id.task.round, id.task.step));
		const Millis elapsed = run.progress_at - run.confirmed_at;
		if (elapsed < expected * cStragglerTimes || elapsed < cStragglerMinMs)
			continue;
		// Remaining time at the current speed, compared with a fresh start elsewhere
		const Millis left = elapsed * (100 - run.percent) / std::max<int64>(run.percent, 1);
		if (left > expected * cStragglerGain + cStragglerMinMs)
			slow.push_back(id);
	}
	for (const RunId &id : slow)
	{
		const CellJob &job = *this->FindJob(id.task.job);
		const size_t unit = job.Unit(id.task.round, id.task.step);
		const CellWorker *other = this->ChooseWorker(job, unit, id.task.index, inNow, this->CountByWorker(job, unit));
		VolatileTaskState &state = *this->FindVolatileState(id.task);
		// A task that was slow on another worker too is long in itself. Stopping it again and again would keep it from ending
		const bool try_elsewhere = other != nullptr && other != &ioWorker && other->slow_until <= inNow && state.slow_runs < cMaxSlowRuns;
		if (!try_elsewhere)
			continue;
		++state.slow_runs;
		state.slow_worker = ioWorker.entry.id;
		state.slow_until = inNow + this->tuning.slow_ms;
		this->StopRun(ioWorker, id, "far slower than expected", inNow);
	}
}

void Cell::PlanThrottles(CellWorker &ioWorker, Millis inNow)
{
	// One decision per answer of the worker
	if (ioWorker.throttled_at >= ioWorker.last_answer_at || ioWorker.runs.empty())
		return;
	ioWorker.throttled_at = ioWorker.last_answer_at;
	int64 worst = 0;
	bool has_latency_sensitive = false;
	bool has_best_effort = false;
	for (const auto &[id, run] : ioWorker.runs)
	{
		has_best_effort = has_best_effort || run.best_effort;
		if (!run.latency_sensitive || run.state != ERunState::Confirmed)
			continue;
		has_latency_sensitive = true;
		const CellJob *job = this->FindJob(id.task.job);
		const Millis target = job == nullptr ? 0 : job->spec.steps[id.task.step].latency_target_ms;
		worst = target <= 0 ? worst : std::max(worst, run.measurement * 100 / target);
	}
	if (!has_best_effort)
		return;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (!run.best_effort || run.state != ERunState::Confirmed || run.throttle_in_flight)
			continue;
		int64 throttle = run.throttle_percent;
		if (has_latency_sensitive && worst > cTailHighPercent)
			throttle = throttle * cThrottleCutPercent / 100;
		else if (!has_latency_sensitive || worst < cTailLowPercent)
			throttle = std::min(cFullSpeedPercent, throttle + cThrottleStep);
		if (throttle == run.throttle_percent)
			continue;
		run.throttle_percent = throttle;
		run.throttle_in_flight = true;
		Order order = this->NewOrder(EOrder::Throttle, ioWorker, inNow);
		order.task = id.task;
		order.run = id.run;
		order.percent = throttle;
		this->throttle_orders.push_back(std::move(order));
	}
}

} // namespace Loomreach::Jobs
