// Decisions of a cell: what starts where, what is moved away, what is paced.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// Pacing holds the tail between these shares of its target: above the first, others slow down; below the second, they speed up.
static constexpr int64 cTailHighPercent = 75;
static constexpr int64 cTailLowPercent = 50;
static constexpr int64 cPaceCutPercent = 50; ///< Multiplicative decrease.
static constexpr int64 cPaceStep = 10;       ///< Additive increase, points.
static constexpr int64 cFullPace = 100;
/// Weights of the placement score: a rack with the data halves the run time, so it outweighs any balance of load.
static constexpr double cDataRackWeight = 10.0;
static constexpr double cNeighbourWeight = 2.0; ///< For each serving neighbour of a task that serves or fills.
/// A job that ends later than this many times its objective earns nothing (the users' rule).
static constexpr int64 cObjectivesLate = 3;
/// A step whose time should be over has this part of it left.
static constexpr Millis cLeastLeft = 5;
/// Weight of a task's run time against what was expected of its step: tasks of a step differ by a quarter of their mean, steps by half.
static constexpr Millis cSeenWeight = 3;
/// Each second of a core that a job still needs puts it this much later in the order.
static constexpr int64 cKeyMsPerCoreSecond = 30;
static constexpr double cFreeShareWeight = 1.0;
static constexpr double cLastingTogetherWeight = 0.5;
static constexpr double cSameRackWeight = 1.5;
static constexpr double cSameZoneWeight = 0.5;
/// A run is far slower than expected after this many times the expected run time, and if what is left at its pace is worth this many fresh
/// runs: run times of one kind spread by half their mean, so twice the mean alone says little.
static constexpr Millis cStragglerTimes = 2;
static constexpr Millis cStragglerGain = 2;
static constexpr Millis cStragglerLeastMs = 400;
static constexpr uint32 cMostSlowRuns = 1;
static constexpr Millis cProgressFreshMs = 200;
/// For each run on a worker that may be lost by a trial: fewest first, whatever else speaks for it.
static constexpr double cTrialWeight = 20.0;
/// A worker that is avoided for its speed stands behind all others with room.
static constexpr double cSlowWeight = 5.0;

/// A job's place in the order is worked out anew this often, and whenever the job changes.
static constexpr Millis cRateEveryMs = 100;

/// A job's place in the order of planning.
struct PlanPlace
{
	EHope hope = EHope::InTime;
	uint32 priority = 0;
	int64 key = 0; ///< When it is due, later for larger jobs.
	CellJob *job = nullptr;

	bool operator<(const PlanPlace &inOther) const
	{
		return std::tie(this->hope, this->priority, this->key) < std::tie(inOther.hope, inOther.priority, inOther.key);
	}
};

EHope Cell::HopeOf(const CellJob &inJob, int64 inWallNow) const
{
	if (inJob.spec.steps[0].lasting)
		return EHope::InTime;
	const int64 due = this->DueWall(inJob);
	const int64 from = inJob.spec.accepted_wall_ms;
	const int64 done_at = inWallNow + this->ChainLeft(inJob);
	if (done_at <= due)
		return EHope::InTime;
	return done_at <= from + cObjectivesLate * (due - from) ? EHope::Late : EHope::None;
}

int64 Cell::WorkLeft(const CellJob &inJob) const
{
	int64 work = 0;
	for (size_t unit = 0; unit < inJob.record.steps.size(); ++unit)
	{
		const StepSpec &step = inJob.StepOf(unit);
		if (step.lasting)
			continue;
		int64 left = 0;
		for (const TaskRecord &task : inJob.record.steps[unit].tasks)
			left += task.done ? 0 : 1;
		work += left * step.need.cpu_milli * this->ExpectRun(inJob, unit) / 1000;
	}
	return work;
}

Millis Cell::ChainLeft(const CellJob &inJob) const
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
	// Lasting jobs earn from the first second
	const int64 from = inJob.spec.times > 0 ? std::max(inJob.spec.first_wall_ms, inJob.spec.accepted_wall_ms) : inJob.spec.accepted_wall_ms;
	if (inJob.spec.steps[0].lasting)
		return from;
	std::vector<Millis> ends(inJob.spec.steps.size(), 0);
	Millis longest = 0;
	for (size_t i = 0; i < ends.size(); ++i)
	{
		Millis begin = 0;
		for (uint32 before : inJob.spec.steps[i].after)
			begin = std::max(begin, ends[before]);
		ends[i] = begin + this->StepSpan(inJob, i);
		longest = std::max(longest, ends[i]);
	}
	return from + inJob.spec.target_ms + static_cast<int64>(static_cast<double>(longest) * inJob.spec.stretch);
}

void Cell::Plan(Millis inNow, int64 inWallNow)
{
	this->now = inNow;
	this->trial_racks.clear();
	for (auto &[id, worker] : this->workers)
	{
		this->PlanLapsed(worker, inNow);
		this->PlanTrials(worker);
		this->PlanDraining(worker, inNow);
		this->PlanVacating(worker, inNow);
		this->PlanPaces(worker, inNow);
		this->PlanStragglers(worker, inNow);
	}
	this->JudgeAwaiting(inNow);
	this->PlanJobs(inNow, inWallNow);
}

void Cell::Rate(CellJob &ioJob, Millis inNow, int64 inWallNow) const
{
	// Over a whole queue this is most of a planning's work, and moves slowly
	if (ioJob.rated_at >= 0 && inNow - ioJob.rated_at < cRateEveryMs)
		return;
	ioJob.rated_at = inNow;
	ioJob.hope = this->HopeOf(ioJob, inWallNow);
	ioJob.due_key = this->DueWall(ioJob) + this->WorkLeft(ioJob) * cKeyMsPerCoreSecond / 1000;
}

bool Cell::HasWaiting(const CellJob &inJob, int64 inWallNow) const
{
	for (size_t unit = 0; unit < inJob.record.steps.size(); ++unit)
	{
		// A time that has not come yet comes without any other change
		if (!this->IsDue(inJob, unit, inWallNow))
		{
			if (inJob.spec.times > 0)
				return true;
			continue;
		}
		for (const TaskRecord &task : inJob.record.steps[unit].tasks)
			if (!task.done && task.runs.empty())
				return true;
	}
	return false;
}

void Cell::PlanJobs(Millis inNow, int64 inWallNow)
{
	std::vector<PlanPlace> order;
	this->rejects.clear();
	this->short_teams.clear();
	if (!this->inbox_fresh)
		return;
	for (const std::string &id : this->unsettled)
	{
		CellJob &job = *this->FindJob(id);
		this->Rate(job, inNow, inWallNow);
		order.push_back({job.hope, job.spec.priority, job.due_key, &job});
	}
	std::sort(order.begin(), order.end());
	for (const PlanPlace &place : order)
	{
		this->PlanJob(*place.job, inNow, inWallNow);
		if (!this->HasWaiting(*place.job, inWallNow))
			this->unsettled.erase(place.job->spec.id);
	}
}

bool Cell::IsDue(const CellJob &inJob, size_t inUnit, int64 inWallNow) const
{
	const size_t steps = inJob.spec.steps.size();
	const size_t round = inUnit / steps;
	if (inJob.spec.times > 0 && inWallNow < inJob.spec.first_wall_ms + static_cast<int64>(round) * inJob.spec.interval_ms)
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

bool Cell::HasTeamRoom(const CellJob &inJob, size_t inUnit, int64 inTasks, Millis inNow)
{
	Resources need = inJob.StepOf(inUnit).need;
	need = {need.cpu_milli * inTasks, need.memory_mb * inTasks, need.accelerators * inTasks};
	if (this->teams.HasRoom(inJob.spec.team, need, inNow))
		return true;
	this->short_teams.insert(inJob.spec.team);
	return false;
}

void Cell::PlanUnit(CellJob &ioJob, size_t inUnit, Millis inNow)
{
	std::vector<TaskRecord> &tasks = ioJob.record.steps[inUnit].tasks;
	std::optional<std::map<std::string, uint32>> on_worker;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		const TaskRecord &task = tasks[index];
		const bool waits = !task.done && task.runs.empty() && ioJob.memory[inUnit][index].not_before <= inNow;
		if (!waits)
			continue;
		if (!this->HasTeamRoom(ioJob, inUnit, 1, inNow))
			return;
		if (!on_worker.has_value())
			on_worker = this->CountByWorker(ioJob, inUnit);
		CellWorker *worker = this->ChooseWorker(ioJob, inUnit, index, inNow, *on_worker);
		if (worker == nullptr && Cell::TrialOf(ioJob, inUnit, index, inNow) != ETrial::None)
		{
			this->ReserveForTrial(ioJob, inUnit, index, inNow);
			this->AskAdvice(ioJob, inUnit, inNow);
			continue;
		}
		// A straggler keeps away from one worker that is good enough for its like
		if (worker == nullptr && inNow < ioJob.memory[inUnit][index].slow_until)
			continue;
		// What one task of the step does not find, its like will not find either
		if (worker == nullptr)
			return this->AskAdvice(ioJob, inUnit, inNow);
		++(*on_worker)[worker->entry.id];
		this->AddRun(ioJob, inUnit, index, task.last_run + 1, *worker, inNow);
	}
}

void Cell::PlanGang(CellJob &ioJob, size_t inUnit, Millis inNow)
{
	std::vector<TaskRecord> &tasks = ioJob.record.steps[inUnit].tasks;
	uint32 last_run = 0;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		// All members or none: earlier runs must be over everywhere
		const bool free = !tasks[index].done && tasks[index].runs.empty() && ioJob.memory[inUnit][index].not_before <= inNow;
		if (!free)
			return;
		last_run = std::max(last_run, tasks[index].last_run);
	}
	if (!this->HasTeamRoom(ioJob, inUnit, static_cast<int64>(tasks.size()), inNow))
		return;
	// Room is taken member by member, and given back if one finds none
	std::map<std::string, uint32> on_worker;
	std::vector<CellWorker *> places;
	const StepSpec &step = ioJob.StepOf(inUnit);
	const Resources room = step.Room();
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		CellWorker *worker = this->ChooseWorker(ioJob, inUnit, index, inNow, on_worker);
		if (worker == nullptr && Cell::TrialOf(ioJob, inUnit, index, inNow) != ETrial::None)
			this->ReserveForTrial(ioJob, inUnit, index, inNow);
		if (worker == nullptr)
			break;
		worker->used.Add(room);
		++on_worker[worker->entry.id];
		places.push_back(worker);
	}
	for (CellWorker *worker : places)
		worker->used.Subtract(room);
	if (places.size() < tasks.size())
		return this->AskAdvice(ioJob, inUnit, inNow);
	for (uint32 index = 0; index < tasks.size(); ++index)
		this->AddRun(ioJob, inUnit, index, last_run + 1, *places[index], inNow);
}

bool Cell::CanTake(const CellWorker &inWorker, Millis inNow) const
{
	if (!inWorker.IsPresent(inNow) || inWorker.gone || inWorker.entry.draining || !inWorker.reachable || inWorker.clock_ms < 0)
		return false;
	if (inWorker.doubted || inWorker.unknown_runs > 0 || this->IsEvacuated(inWorker))
		return false;
	// What the list says of its room, its kind and its rack is of its former life
	if (IsBornAfter(inWorker.born_ms, inWorker.entry.born_ms))
		return false;
	if (inNow < inWorker.refuse_until || inNow < inWorker.vacate_until || inNow < inWorker.quarantine_until || inNow < inWorker.left_until)
		return false;
	// After quarantine one trial at a time
	return inWorker.failures_in_row < cFailuresToQuarantine || inWorker.runs.empty();
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
	// Work is packed, so that hosts come free for other pools and for maintenance
	double score = inWorker.slow_until > this->now ? -cSlowWeight : 0.0;
	score -= cFreeShareWeight * static_cast<double>(inWorker.Free().cpu_milli) / cores;
	if (!step.data_rack.empty() && inWorker.entry.rack == step.data_rack)
		score += cDataRackWeight;
	const bool shares = step.target_ms > 0 || step.fills;
	if (!step.lasting && !shares)
		return score;
	for (const auto &[id, run] : inWorker.runs)
	{
		// Tasks that serve suffer from neighbours that fill or serve; others that last are best kept on few hosts
		if (shares && (run.serves || run.fills))
			score -= cNeighbourWeight;
		else if (run.lasting && !shares)
			score += cLastingTogetherWeight;
	}
	// The loss of a rack or a zone should take few tasks of one step
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
	const TaskMemory &memory = inJob.memory[inUnit][inTask];
	const std::string &failed_on = memory.last_worker;
	const Resources room = step.Room();
	// Something as small has been tried for this pool already
	for (const PlanReject &reject : this->rejects)
		if (reject.pool == inJob.spec.pool && reject.room.FitsInto(room))
			return nullptr;
	const ETrial trial = Cell::TrialOf(inJob, inUnit, inTask, inNow);
	CellWorker *best = nullptr;
	bool any_fits = false;
	double best_score = 0.0;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != inJob.spec.pool || !this->CanTake(worker, inNow) || !room.FitsInto(worker.Free()))
			continue;
		any_fits = true;
		// Stopped there to be started elsewhere, it waits until another worker has room
		if (id == memory.slow_worker && inNow < memory.slow_until)
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
		// Where little else runs, little is lost if it crashes this worker too
		if (trial != ETrial::None)
			score -= cTrialWeight * static_cast<double>(worker.runs.size());
		// Where it failed before, others go first
		if (id == failed_on)
			score -= cDataRackWeight * 2;
		if (best != nullptr && score <= best_score)
			continue;
		best = &worker;
		best_score = score;
	}
	if (!any_fits)
		this->rejects.push_back({inJob.spec.pool, room});
	return best;
}

void Cell::AddRun(CellJob &ioJob, size_t inUnit, uint32 inTask, uint32 inRun, CellWorker &ioWorker, Millis inNow)
{
	const StepSpec &step = ioJob.StepOf(inUnit);
	const size_t steps = ioJob.spec.steps.size();
	const RunId id{{ioJob.spec.id, static_cast<uint32>(inUnit / steps), static_cast<uint32>(inUnit % steps), inTask}, inRun};
	Run run = RunOf(ioJob.spec, step, ERunState::Planned, inNow);
	LOOM_INVARIANT(run.room.FitsInto(ioWorker.Free()), "a worker is never told to run more than it has room for");
	LOOM_INVARIANT(this->teams.HasRoom(run.team, run.need, inNow), "a team never has more running than its share here");
	TaskRecord &task = ioJob.record.steps[inUnit].tasks[inTask];
	LOOM_INVARIANT(inRun > task.last_run, "run numbers always rise");
	LOOM_INVARIANT(task.runs.empty() || step.may_copy, "a task has one run at a time");
	if (ioJob.spec.advised)
		run.ticket = ioJob.advice[inUnit].tickets[ioWorker.entry.id].text;
	run.trial = Cell::TrialOf(ioJob, inUnit, inTask, inNow);
	ioJob.memory[inUnit][inTask].trial_since = -1;
	if (run.trial != ETrial::None)
	{
		++ioWorker.open_trials;
		ioWorker.calm_until = 0;
		this->trial_racks.insert(ioWorker.entry.rack);
	}
	ioJob.seen[inUnit].NotePlanned(inNow);
	task.last_run = inRun;
	task.runs.push_back({inRun, ioWorker.entry.id});
	this->CountRun(ioWorker, run);
	ioWorker.runs.emplace(id, std::move(run));
	this->Touch(ioJob);
	this->planned += (this->planned.empty() ? "" : " ") + std::to_string(inTask) + "." + std::to_string(inRun) + "@" + ioWorker.entry.id;
	this->planned_age = std::max(this->planned_age, inNow - ioWorker.last_answer_at);
}

void Cell::LogPlanned(const CellJob &inJob, size_t inUnit)
{
	if (this->planned.empty())
		return;
	const size_t steps = inJob.spec.steps.size();
	LogEvent(ELogLevel::Info, "runs_planned")
		.Field("request", inJob.spec.id)
		.Field("round", inUnit / steps)
		.Field("step", inUnit % steps)
		.Field("runs", std::exchange(this->planned, {}))
		.Field("oldest_news_ms", std::exchange(this->planned_age, 0))
		.Field("copies", inJob.StepOf(inUnit).may_copy ? 1 : 0)
		.Field("lasting", inJob.StepOf(inUnit).lasting ? 1 : 0)
		.Field("cell", this->trail.Cell())
		.Field("epoch", this->epoch);
}

void Cell::PlanLapsed(CellWorker &ioWorker, Millis inNow)
{
	if (ioWorker.runs.empty() || inNow < ioWorker.lease_over_at)
		return;
	std::vector<RunId> lapsed;
	for (const auto &[id, run] : ioWorker.runs)
		if (IsTold(run.state))
			lapsed.push_back(id);
	// Closed since its last answer, its process has gone; a silent one may have been cut off, and runs on
	if ((ioWorker.closed_at >= 0 || ioWorker.gone) && !lapsed.empty())
		this->BlameCrash(ioWorker, inNow);
	// Nothing was extended since: wherever the worker is, its leases are over
	for (const RunId &id : lapsed)
		this->EndRun(ioWorker, id, ERunEnd::Lapsed, "", "lease over without an answer", inNow);
}

Millis Cell::ExpectRun(const CellJob &inJob, size_t inUnit) const
{
	const Millis before = this->run_times.Expect(inJob.spec, inJob.StepOf(inUnit));
	const StepSeen &seen = inJob.seen[inUnit];
	if (seen.Count() == 0)
		return before;
	// Tasks of one step are alike: each that has ended tells more than all that was known before
	const Millis weight = cSeenWeight * static_cast<Millis>(seen.Count());
	return (before + weight * seen.Mean()) / (1 + weight);
}

Millis Cell::UsualRun(const CellJob &inJob, size_t inUnit) const
{
	return std::max(this->ExpectRun(inJob, inUnit), this->run_times.Expect(inJob.spec, inJob.StepOf(inUnit)));
}

Millis Cell::StepSpan(const CellJob &inJob, size_t inUnit) const
{
	const size_t tasks = inJob.record.steps[inUnit].tasks.size();
	const StepSeen &seen = inJob.seen[inUnit];
	if (seen.Count() == tasks)
		return seen.Longest();
	return std::max(seen.Longest(), this->run_times.Longest(inJob.spec, this->ExpectRun(inJob, inUnit), tasks));
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
	const Millis span = this->StepSpan(inJob, inUnit);
	const Millis planned_at = inJob.seen[inUnit].PlannedAt();
	if (waits || planned_at < 0)
		return span;
	// All of it is under way; what takes longer than expected is not known to be nearly done
	return std::max(span - (this->now - planned_at), span / cLeastLeft);
}

void Cell::PlanStragglers(CellWorker &ioWorker, Millis inNow)
{
	// Only progress that was just reported counts, and each report once
	if (ioWorker.judged_at == ioWorker.last_answer_at || inNow - ioWorker.last_answer_at > cProgressFreshMs)
		return;
	ioWorker.judged_at = ioWorker.last_answer_at;
	std::vector<RunId> slow;
	for (const auto &[id, run] : ioWorker.runs)
	{
		const CellJob *job = this->FindJob(id.task.job);
		const bool candidate =
			run.state == ERunState::Confirmed && !run.lasting && run.percent >= 0 && run.confirmed_at >= 0 && job != nullptr;
		if (!candidate || job->spec.steps[id.task.step].gang)
			continue;
		const Millis expected = this->UsualRun(*job, job->Unit(id.task.round, id.task.step));
		const Millis elapsed = run.progress_at - run.confirmed_at;
		if (elapsed < expected * cStragglerTimes || elapsed < cStragglerLeastMs)
			continue;
		// What is left at its pace, against a fresh start elsewhere
		const Millis left = elapsed * (100 - run.percent) / std::max<int64>(run.percent, 1);
		if (left > expected * cStragglerGain + cStragglerLeastMs)
			slow.push_back(id);
	}
	for (const RunId &id : slow)
	{
		const CellJob &job = *this->FindJob(id.task.job);
		const size_t unit = job.Unit(id.task.round, id.task.step);
		const CellWorker *other = this->ChooseWorker(job, unit, id.task.index, inNow, this->CountByWorker(job, unit));
		TaskMemory &memory = *this->FindMemory(id.task);
		// One that is slow on another worker too is long by itself: stopped again and again it would never end
		const bool may_help = other != nullptr && other != &ioWorker && other->slow_until <= inNow && memory.slow_runs < cMostSlowRuns;
		if (!may_help)
			continue;
		++memory.slow_runs;
		memory.slow_worker = ioWorker.entry.id;
		memory.slow_until = inNow + this->tuning.slow_ms;
		this->StopRun(ioWorker, id, "far slower than expected", inNow);
	}
}

void Cell::PlanPaces(CellWorker &ioWorker, Millis inNow)
{
	// One decision an answer of the worker
	if (ioWorker.paced_at >= ioWorker.last_answer_at || ioWorker.runs.empty())
		return;
	ioWorker.paced_at = ioWorker.last_answer_at;
	int64 worst = 0;
	bool serves = false;
	bool fills = false;
	for (const auto &[id, run] : ioWorker.runs)
	{
		fills = fills || run.fills;
		if (!run.serves || run.state != ERunState::Confirmed)
			continue;
		serves = true;
		const CellJob *job = this->FindJob(id.task.job);
		const Millis target = job == nullptr ? 0 : job->spec.steps[id.task.step].target_ms;
		worst = target <= 0 ? worst : std::max(worst, run.figure * 100 / target);
	}
	if (!fills)
		return;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (!run.fills || run.state != ERunState::Confirmed || run.pace_sent)
			continue;
		int64 pace = run.pace;
		if (serves && worst > cTailHighPercent)
			pace = pace * cPaceCutPercent / 100;
		else if (!serves || worst < cTailLowPercent)
			pace = std::min(cFullPace, pace + cPaceStep);
		if (pace == run.pace)
			continue;
		run.pace = pace;
		run.pace_sent = true;
		Order order = this->NewOrder(EOrder::Pace, ioWorker, inNow);
		order.task = id.task;
		order.run = id.run;
		order.percent = pace;
		this->paces.push_back(std::move(order));
	}
}

} // namespace Loomreach::Jobs
