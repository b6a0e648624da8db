// Log records of a cell: applying them at take-over, writing them in appends, and answering callers from what the log contains.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Ownership/LogTypes.h>
#include <Loomreach/Schedule/CancelDetails.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

// Keys of a cell's log. Per-job and per-worker keys are one letter followed by the id. Versions that do not know a key skip it.
static constexpr char cSpecKey = 'j';
static constexpr char cStateKey = 's';
static constexpr char cCrashKey = 'x';     ///< Job: its tasks' crash counts, once a worker has crashed under one.
static constexpr char cCrashCaseKey = 'r'; ///< Job: possible causes of these crashes. Unknown to earlier versions.
/// Job: the same where they are many. Unknown to earlier versions, which then know no causes of the crashes counted.
static constexpr char cSharedCaseKey = 'y';
/// Job: which crashes of runs that are still recorded these counts include. Unknown to earlier versions, which count them again.
static constexpr char cCountedCrashKey = 'd';
static constexpr char cLocationKey = 'w';    ///< Worker: its location.
static constexpr char cIncarnationKey = 'b'; ///< Worker: the incarnation that runs were placed on. Unknown to earlier versions.
static constexpr char cDrainGrantKey = 'p';  ///< Worker: length of its drain grant. Unknown to earlier versions.
/// Worker: the longest lease that it grants by itself, if it may have granted that. Unknown to earlier versions.
static constexpr char cLongestLeaseKey = 'm';
static constexpr char cPlacementKey = 'q';   ///< Queue: its placement. Unknown to earlier versions, as the next two.
static constexpr char cJobQueueKey = 'n';    ///< Job: key of its queue. Unknown to earlier versions, which go by the queue's name.
static constexpr char cHeldKey = 'h';        ///< Job: records that wait until other cells have been asked.
static constexpr char cRedirectedKey = 'o';  ///< Number: a record on its way to another cell's inbox.
static constexpr char cEarlyCancelKey = 'e'; ///< Job: cancellations before its submission. Unknown to earlier versions.
static constexpr char cTeamKeysKey = 'a';    ///< Team: hashes of its keys. Unknown to earlier versions.
static constexpr char cOneCancelKey = 'k';   ///< Job: the same as earlier versions wrote it.
static constexpr std::string_view cCursorKey = "c";
static constexpr std::string_view cTimesKey = "t";
static constexpr std::string_view cLeaseKey = "l";
/// Unknown to earlier versions. What they leave is out of date: it lists runs that have had an answer, and none of theirs.
static constexpr std::string_view cUnansweredKey = "u";
/// More unanswered starts are not listed one by one.
static constexpr size_t cMaxUnansweredStarts = 300;
/// Learned run times are logged at this interval, along with other records.
static constexpr int64 cRunTimesWriteMs = 3000;
/// Combines the hashes of several records.
static constexpr uint64 cHashFactor = 31;
/// A repeat of a submission may arrive this long after the first: appends are carried out seconds late, and the inbox keeps 20 s of
/// history.
static constexpr Millis cMaxRepeatDelayMs = 30000;
/// Interval for sweeping ended jobs.
static constexpr int64 cEndedSweepMs = 5000;

namespace
{

/// An early cancellation as earlier versions wrote it.
struct OneEarlyCancel
{
	std::string queue;
	std::string team;
	int64 wall_ms = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->queue, this->team, this->wall_ms);
	}
};

} // namespace

bool Cell::Restore(std::string_view inKey, std::string_view inValue)
{
	if (inKey == cCursorKey)
	{
		const std::optional<uint64> next = DecodeValue<uint64>(inValue);
		if (!next.has_value())
			return false;
		this->inbox_next = *next;
		this->inbox_logged = *next;
		return true;
	}
	if (inKey == cTimesKey)
	{
		std::optional<RunTimes> times = DecodeValue<RunTimes>(inValue);
		if (times.has_value())
			this->run_times = std::move(*times);
		return times.has_value();
	}
	if (inKey == cLeaseKey)
	{
		const std::optional<Millis> lease = DecodeValue<Millis>(inValue);
		this->leases.Restore(lease.value_or(0));
		return lease.has_value();
	}
	if (inKey == cUnansweredKey)
		return this->RestoreUnansweredStarts(inValue);
	if (inKey.size() < 2)
		return true;
	const std::string id(inKey.substr(1));
	if (inKey[0] == cLocationKey)
		return this->RestoreLocation(id, inValue);
	if (inKey[0] == cIncarnationKey)
		return this->RestoreIncarnation(id, inValue);
	if (inKey[0] == cDrainGrantKey)
		return this->RestoreDrainGrant(id, inValue);
	if (inKey[0] == cLongestLeaseKey)
		return this->RestoreLongestLease(id, inValue);
	if (inKey[0] == cPlacementKey)
		return this->placements.RestorePlacement(inValue);
	if (inKey[0] == cHeldKey)
		return this->placements.RestoreHeld(id, inValue);
	if (inKey[0] == cRedirectedKey)
		return this->placements.RestoreRedirected(id, inValue);
	if (inKey[0] == cEarlyCancelKey)
		return this->RestoreEarlyCancels(id, inValue);
	if (inKey[0] == cTeamKeysKey)
		return this->RestoreTeamKeys(id, inValue);
	if (inKey[0] == cOneCancelKey)
		return this->RestoreOneEarlyCancel(id, inValue);
	if (inKey[0] == cSharedCaseKey)
		return this->RestoreSharedCases(id, inValue);
	if (inKey[0] == cCountedCrashKey)
		return this->RestoreCountedCrashes(id, inValue);
	if (inKey[0] == cJobQueueKey)
		return this->RestoreJobQueue(id, inValue);
	// An empty value removes the job
	if (inValue.empty())
	{
		this->jobs.erase(id);
		return true;
	}
	if (inKey[0] == cSpecKey)
	{
		std::optional<JobSpec> spec = DecodeValue<JobSpec>(inValue);
		if (!spec.has_value())
			return false;
		this->jobs[id].spec = std::move(*spec);
		this->jobs[id].spec_logged = true;
	}
	if (inKey[0] == cCrashKey)
	{
		std::optional<CrashCounts> crashes = DecodeValue<CrashCounts>(inValue);
		if (!crashes.has_value())
			return false;
		this->jobs[id].crashes = std::move(*crashes);
		this->jobs[id].crashes_logged = true;
	}
	if (inKey[0] == cCrashCaseKey)
	{
		std::optional<CrashCasesByTask> cases = DecodeValue<CrashCasesByTask>(inValue);
		if (!cases.has_value())
			return false;
		this->jobs[id].crash_cases = std::move(*cases);
	}
	if (inKey[0] == cStateKey)
	{
		std::optional<JobRecord> record = DecodeValue<JobRecord>(inValue);
		if (!record.has_value())
			return false;
		this->jobs[id].record = std::move(*record);
	}
	return true;
}

bool Cell::RestoreSharedCases(const std::string &inJob, std::string_view inValue)
{
	// The record is removed along with its job
	if (inValue.empty())
		return true;
	std::optional<SharedCrashCases> cases = DecodeValue<SharedCrashCases>(inValue);
	if (!cases.has_value())
		return false;
	CellJob &job = this->jobs[inJob];
	job.shared_crash_cases = std::move(*cases);
	job.shared_cases_logged = true;
	return true;
}

bool Cell::RestoreCountedCrashes(const std::string &inJob, std::string_view inValue)
{
	// The record is removed along with its job
	if (inValue.empty())
		return true;
	std::optional<std::vector<CountedCrash>> crashes = DecodeValue<std::vector<CountedCrash>>(inValue);
	if (!crashes.has_value())
		return false;
	CellJob &job = this->jobs[inJob];
	job.counted_crashes = std::move(*crashes);
	job.counted_crashes_logged = true;
	return true;
}

bool Cell::RestoreUnansweredStarts(std::string_view inValue)
{
	std::optional<UnansweredStarts> starts = DecodeValue<UnansweredStarts>(inValue);
	if (!starts.has_value())
		return false;
	this->inherited_starts = std::move(*starts);
	this->written_starts = inValue;
	return true;
}

bool Cell::RestoreJobQueue(const std::string &inJob, std::string_view inValue)
{
	// The record is removed along with its job
	if (inValue.empty())
		return true;
	const std::optional<QueueKey> queue = DecodeValue<QueueKey>(inValue);
	if (queue.has_value())
		this->jobs[inJob].queue = *queue;
	return queue.has_value();
}

bool Cell::RestoreLocation(const std::string &inWorker, std::string_view inValue)
{
	if (inValue.empty())
	{
		// A drain grant may have been logged since
		auto found = this->workers.find(inWorker);
		if (found != this->workers.end() && found->second.logged_grant_ms == 0)
			this->workers.erase(found);
		return true;
	}
	std::optional<WorkerLocation> place = DecodeValue<WorkerLocation>(inValue);
	if (!place.has_value())
		return false;
	CellWorker &worker = this->workers[inWorker];
	worker.entry.id = inWorker;
	worker.entry.address = place->address;
	worker.entry.availability_zone = place->availability_zone;
	worker.listed = false;
	worker.logged_location = std::move(place);
	return true;
}

bool Cell::RestoreIncarnation(const std::string &inWorker, std::string_view inValue)
{
	// The location is written and removed in the same appends
	if (inValue.empty())
		return true;
	const std::optional<int64> born = DecodeValue<int64>(inValue);
	if (!born.has_value())
		return false;
	CellWorker &worker = this->workers[inWorker];
	worker.entry.id = inWorker;
	worker.listed = false;
	worker.started_ms = *born;
	worker.logged_started_ms = *born;
	return true;
}

bool Cell::RestoreLongestLease(const std::string &inWorker, std::string_view inValue)
{
	if (inValue.empty())
		return true;
	const std::optional<Millis> lease = DecodeValue<Millis>(inValue);
	if (!lease.has_value())
		return false;
	CellWorker &worker = this->workers[inWorker];
	worker.entry.id = inWorker;
	worker.listed = false;
	worker.logged_longest_lease_ms = *lease;
	return true;
}

bool Cell::RestoreDrainGrant(const std::string &inWorker, std::string_view inValue)
{
	if (inValue.empty())
		return true;
	const std::optional<Millis> duration = DecodeValue<Millis>(inValue);
	if (!duration.has_value())
		return false;
	CellWorker &worker = this->workers[inWorker];
	worker.entry.id = inWorker;
	worker.listed = false;
	worker.drain_grant_ms = *duration;
	worker.appending_grant_ms = *duration;
	worker.logged_grant_ms = *duration;
	return true;
}

bool Cell::RestoreEarlyCancels(const std::string &inJob, std::string_view inValue)
{
	if (inValue.empty())
	{
		this->early_cancels.erase(inJob);
		return true;
	}
	std::optional<EarlyCancels> cancels = DecodeValue<EarlyCancels>(inValue);
	if (cancels.has_value())
		this->early_cancels[inJob] = std::move(*cancels);
	return cancels.has_value();
}

bool Cell::RestoreOneEarlyCancel(const std::string &inJob, std::string_view inValue)
{
	if (inValue.empty())
		return true;
	std::optional<OneEarlyCancel> cancel = DecodeValue<OneEarlyCancel>(inValue);
	if (!cancel.has_value())
		return false;
	// A record under the newer key, which may be read before or after, includes it
	this->early_cancels.try_emplace(inJob, EarlyCancels{{std::move(cancel->queue), std::move(cancel->team), cancel->wall_ms}});
	return true;
}

bool Cell::RestoreTeamKeys(const std::string &inTeam, std::string_view inValue)
{
	std::optional<std::set<uint64>> hashes = DecodeValue<std::set<uint64>>(inValue);
	if (hashes.has_value())
		this->team_keys[inTeam] = std::move(*hashes);
	return hashes.has_value();
}

void Cell::Begin(uint64 inEpoch, Millis inNow, uint32 inCell)
{
	this->epoch = inEpoch;
	this->now = inNow;
	this->run_events.Begin(inCell, inEpoch);
	this->replicator.Begin(inCell, inEpoch);
	this->leases.Begin(this->tuning.lease_ms, this->tuning.max_lease_ms, inNow);
	// A previous owner may have learned of the new incarnation just now
	for (auto &[id, worker] : this->workers)
	{
		worker.leases_pending_until = inNow + cMaxOrderDelayMs;
		if (worker.logged_longest_lease_ms == 0)
			continue;
		const Millis lease = std::max(worker.logged_longest_lease_ms, this->tuning.worker_lease_cap_ms);
		worker.longest_lease_until = inNow + LongestLease(lease);
		worker.longest_lease_cause = ELongestLease::Logged;
		// Until it has seen this owner's token, it carries out starts for the incarnation that it replaced
		worker.replaced = true;
		LogEvent(ELogLevel::Info, "longest_lease_assumed")
			.Field("worker", id)
			.Field("lease_ms", lease)
			.Field("born_ms", worker.logged_started_ms)
			.Field("cell", inCell)
			.Field("epoch", inEpoch);
	}
	for (auto it = this->jobs.begin(); it != this->jobs.end();)
	{
		CellJob &job = it->second;
		// Both keys are written in one append, so a job without its spec was read in the middle of its removal
		if (!job.spec_logged || job.record.steps.size() != job.spec.steps.size() * job.spec.Rounds())
		{
			LogEvent(ELogLevel::Warning, "job_incomplete").Field("request", it->first);
			it = this->jobs.erase(it);
			continue;
		}
		// An owner of an earlier version leaves the record of shared cases as it was; its own record is the newer one
		const SharedCrashCases shared = std::exchange(job.shared_crash_cases, {});
		MergeCrashCases(job.crashes, job.crash_cases.empty() ? UnshareCrashCases(shared) : job.crash_cases);
		job.crash_cases.clear();
		job.logged_phase = job.record.phase;
		job.appending_phase = job.logged_phase;
		job.arrived_at = inNow;
		this->InheritRuns(job, inNow);
		if (!IsFinal(job.record.phase))
		{
			this->active.insert(it->first);
			this->jobs_to_plan.insert(it->first);
		}
		++it;
	}
	std::set<std::pair<std::string, QueueKey>> queues;
	for (const auto &[id, job] : this->jobs)
		queues.insert({job.spec.queue, job.queue});
	this->placements.Begin(inCell, queues, this->catalogue.get(), inNow);
	// A previous owner may have issued the grants just now
	for (auto &[id, worker] : this->workers)
		if (worker.logged_grant_ms > 0)
		{
			worker.drain_until = inNow + worker.logged_grant_ms;
			worker.drain_grant_until = worker.drain_until;
		}
	this->LogInheritedStarts();
	// With runs to extend, the lease length is logged at once, since only this owner knows it otherwise; later changes go with other
	// records
	const bool has_runs =
		std::any_of(this->workers.begin(), this->workers.end(), [](const auto &inWorker) { return !inWorker.second.runs.empty(); });
	this->unwritten_changes = has_runs && !this->leases.IsLogged();
}

void Cell::LogInheritedStarts() const
{
	size_t count = 0;
	for (const auto &[id, worker] : this->workers)
		count += static_cast<size_t>(
			std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto &inRun) { return inRun.second.start_pending_until > 0; }));
	if (count > 0)
		LogEvent(ELogLevel::Info, "starts_unanswered_inherited")
			.Field("runs", count)
			.Field("any", this->inherited_starts.any ? 1 : 0)
			.Field("cell", this->run_events.Cell())
			.Field("epoch", this->epoch);
}

void Cell::InheritRuns(CellJob &ioJob, Millis inNow)
{
	ioJob.volatile_state.resize(ioJob.record.steps.size());
	ioJob.seen.resize(ioJob.record.steps.size());
	const std::vector<CountedCrash> counted_crashes = std::exchange(ioJob.counted_crashes, {});
	for (size_t unit = 0; unit < ioJob.record.steps.size(); ++unit)
	{
		const StepSpec &step = ioJob.StepOf(unit);
		std::vector<TaskRecord> &tasks = ioJob.record.steps[unit].tasks;
		ioJob.volatile_state[unit].resize(tasks.size());
		for (uint32 index = 0; index < tasks.size(); ++index)
			for (const RunRecord &run : tasks[index].runs)
			{
				CellWorker &worker = this->workers[run.worker];
				worker.entry.id = run.worker;
				worker.listed = false;
				worker.unlisted_at = inNow;
				// A previous owner may have extended the lease just now
				worker.lease_expires_at = std::max(worker.longest_lease_until, inNow + LongestLease(this->leases.LongestGranted(inNow)));
				const size_t steps = ioJob.spec.steps.size();
				const RunId id{{ioJob.spec.id, static_cast<uint32>(unit / steps), static_cast<uint32>(unit % steps), index}, run.run};
				Run inherited = NewRun(ioJob.spec, step, ERunState::Inherited, inNow);
				inherited.inherited = true;
				// A previous owner may have sent the start just now
				if (this->inherited_starts.Contains(id))
					inherited.start_pending_until = inNow + cMaxOrderDelayMs;
				const auto counted = std::find_if(counted_crashes.begin(), counted_crashes.end(),
												  [&](const CountedCrash &inCrash)
												  { return inCrash.unit == unit && inCrash.task == index && inCrash.run == run.run; });
				if (counted != counted_crashes.end())
				{
					inherited.counted_crash = counted->started_ms;
					inherited.crash_counted = true;
				}
				this->AddUsage(worker, inherited);
				worker.runs.emplace(id, std::move(inherited));
			}
	}
}

void Cell::SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inNow, Millis inAssumePresentUntil)
{
	std::set<std::string> present;
	for (const WorkerEntry &entry : inWorkers)
	{
		present.insert(entry.id);
		const auto [found, is_unknown] = this->workers.try_emplace(entry.id);
		CellWorker &worker = found->second;
		// The worker may have been known before. It may have seen the tokens of later incarnations, and orders for its previous incarnation
		// may still arrive, which it must refuse
		if (is_unknown)
			worker.incarnation_number = ++this->incarnations_begun;
		const bool is_new = worker.entry.pool.empty();
		// An entry of a previous incarnation says nothing about the current one
		if (!this->UpdateIncarnation(worker, entry, inNow))
			continue;
		const bool drains_now = entry.draining && !worker.entry.draining;
		worker.entry = entry;
		worker.listed = true;
		if (is_new)
			worker.next_poll_at = inNow;
		if (is_new || drains_now)
			LogEvent(ELogLevel::Info, is_new ? "worker_found" : "worker_drains")
				.Field("worker", entry.id)
				.Field("pool", entry.pool)
				.Field("cpu_milli", entry.capacity.cpu_milli)
				.Field("rack", entry.rack)
				.Field("born_ms", entry.started_ms)
				.Field("clock_ms", entry.clock_ms);
	}
	for (auto it = this->workers.begin(); it != this->workers.end();)
	{
		CellWorker &worker = it->second;
		if (worker.listed && !present.contains(it->first))
		{
			worker.listed = false;
			worker.unlisted_at = inNow;
			worker.assumed_present_until = inAssumePresentUntil;
			LogEvent(ELogLevel::Info, "worker_unlisted")
				.Field("worker", it->first)
				.Field("runs", worker.runs.size())
				.Field("trusted_ms", std::max<Millis>(inAssumePresentUntil - inNow, 0));
		}
		// A worker that left is removed once it has no runs. Drain and removal times are kept, since its entry may return before they have
		// passed, and so is what orders may still make it grant, which holds for whatever is started there after that
		const Millis leases_pending_until = worker.started_ms == cStartTimeUnknown ? 0 : worker.leases_pending_until;
		const bool is_retained = inNow < std::max({worker.drain_until, worker.drain_grant_until, worker.removed_until,
												   worker.longest_lease_until, leases_pending_until});
		// Until its ends are in the log, a successor needs them
		const bool remove = !worker.IsPresent(inNow) && worker.IsIdleAndLogged() && !worker.poll_in_flight && !is_retained;
		if (remove && (worker.logged_location.has_value() || worker.appending_grant_ms > 0 || worker.logged_longest_lease_ms > 0))
			this->removed_workers.push_back(it->first);
		if (remove && worker.logged_longest_lease_ms > 0)
			this->LogLongestLeaseRecord(worker, "longest_lease_removed", "the worker has left and has no runs");
		it = remove ? this->workers.erase(it) : std::next(it);
	}
}

void Cell::AddUsage(CellWorker &ioWorker, const Run &inRun)
{
	ioWorker.used.Add(inRun.reserved);
	this->teams.Add(inRun.team, inRun.requested);
}

void Cell::SubtractUsage(CellWorker &ioWorker, const Run &inRun)
{
	ioWorker.used.Subtract(inRun.reserved);
	this->teams.Subtract(inRun.team, inRun.requested);
}

void Cell::SetCatalogue(std::shared_ptr<const Catalogue> inCatalogue)
{
	this->catalogue = std::move(inCatalogue);
	if (this->catalogue == nullptr)
		return;
	this->teams.SetTeams(*this->catalogue);
	for (const auto &[team, hashes] : this->team_keys)
		this->NoteTeamKeys(team);
	// Before the cell begins, what its log says of the placements is not known
	if (this->epoch > 0)
		this->placements.SetCatalogue(*this->catalogue, this->now);
}

void Cell::SetEvacuated(const std::set<std::string> &inZones, Millis inNow)
{
	// Workers of a zone that returns to service may be cold, so others are preferred for a while
	for (auto &[id, worker] : this->workers)
		if (this->IsEvacuated(worker) && !inZones.contains(worker.entry.availability_zone))
			worker.slow_until = std::max(worker.slow_until, inNow + this->tuning.slow_ms);
	if (!std::includes(inZones.begin(), inZones.end(), this->evacuated_zones.begin(), this->evacuated_zones.end()))
		this->zone_reopened_at = inNow;
	this->evacuated_zones = inZones;
}

CellJob *Cell::FindJob(const std::string &inId)
{
	auto found = this->jobs.find(inId);
	return found == this->jobs.end() ? nullptr : &found->second;
}

TaskRecord *Cell::FindTask(const TaskId &inTask)
{
	CellJob *job = this->FindJob(inTask.job);
	if (job == nullptr || inTask.step >= job->spec.steps.size() || inTask.round >= job->spec.Rounds())
		return nullptr;
	std::vector<TaskRecord> &tasks = job->record.steps[job->Unit(inTask.round, inTask.step)].tasks;
	return inTask.index < tasks.size() ? &tasks[inTask.index] : nullptr;
}

VolatileTaskState *Cell::FindVolatileState(const TaskId &inTask)
{
	if (this->FindTask(inTask) == nullptr)
		return nullptr;
	CellJob *job = this->FindJob(inTask.job);
	return &job->volatile_state[job->Unit(inTask.round, inTask.step)][inTask.index];
}

void Cell::MarkChanged(CellJob &ioJob)
{
	this->dirty.insert(ioJob.spec.id);
	ioJob.ranked_at = -1;
	if (IsFinal(ioJob.record.phase))
	{
		this->active.erase(ioJob.spec.id);
		this->jobs_to_plan.erase(ioJob.spec.id);
	}
	else
	{
		this->active.insert(ioJob.spec.id);
		this->jobs_to_plan.insert(ioJob.spec.id);
	}
	this->unwritten_changes = true;
}

/// The caller's run time estimates of the steps, for the log line.
static std::string EstimatesText(const JobSpec &inSpec)
{
	std::string text;
	for (const StepSpec &step : inSpec.steps)
		text += (text.empty() ? "" : ",") + std::to_string(step.estimate_ms);
	return text;
}

void Cell::Ingest(const InboxRecord &inRecord, uint64 inOffset, Millis inNow, int64 inWallNow)
{
	// Reading resumes at the logged position, so a record may be read twice
	if (inOffset < this->inbox_next)
		return;
	this->inbox_next = inOffset + 1;
	this->unwritten_changes = true;
	if (inRecord.kind == EInbox::Ends)
		return this->IngestEnds(inRecord.ends, inNow);
	if (this->FindJob(inRecord.spec.id) == nullptr && this->placements.OnArrival(inRecord, inNow) != EArrival::Take)
		return;
	this->Apply(inRecord, inNow, inWallNow);
}

void Cell::ApplyCleared(int64 inWallNow)
{
	for (const InboxRecord &record : this->placements.TakeCleared())
	{
		this->Apply(record, this->now, inWallNow);
		this->cleared_in_series = true;
	}
}

void Cell::NoteTeamKeys(const std::string &inTeam)
{
	if (this->catalogue == nullptr || inTeam.empty())
		return;
	std::set<uint64> &known = this->team_keys[inTeam];
	const size_t before = known.size();
	known.merge(this->catalogue->KeyHashesOf(inTeam));
	if (known.size() > before)
		this->unlogged_team_keys.insert(inTeam);
}

bool Cell::MayCancel(const JobSpec &inJob, const InboxRecord &inRecord) const
{
	if (!IsOtherTeam(inJob.team, inRecord.spec.team))
		return true;
	auto keys = this->team_keys.find(inJob.team);
	return keys != this->team_keys.end() && keys->second.contains(DetailsOf(inRecord).key_hash);
}

ECancelOutcome Cell::CancelOutcomeOf(const CellJob *inJob, const InboxRecord &inRecord) const
{
	if (inJob == nullptr)
		return ECancelOutcome::Unknown;
	if (!this->MayCancel(inJob->spec, inRecord))
		return ECancelOutcome::OtherTeam;
	return IsFinal(inJob->record.phase) ? ECancelOutcome::Ended : ECancelOutcome::Canceled;
}

void Cell::Cancel(const InboxRecord &inRecord, int64 inWallNow, Millis inNow)
{
	CellJob *known = this->FindJob(inRecord.spec.id);
	const ECancelOutcome outcome = this->CancelOutcomeOf(known, inRecord);
	++this->totals.cancels[static_cast<size_t>(outcome)];
	const int64 accepted_wall_ms = inRecord.spec.accepted_wall_ms;
	LogEvent(ELogLevel::Info, "cancel")
		.Field("request", inRecord.spec.id)
		.Field("outcome", NameOf(cCancelOutcomeNames, outcome))
		.Field("age_ms", accepted_wall_ms == 0 ? -1 : inWallNow - accepted_wall_ms)
		.Field("job_age_ms", known == nullptr ? -1 : inNow - known->arrived_at)
		.Field("phase", known == nullptr ? "unknown" : NameOf(cJobPhaseNames, known->record.phase))
		.Field("inbox_next", this->inbox_next)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	// The submission may still be on its way: from a host that was paused, or from another cell
	if (known == nullptr)
		this->RememberCancel(inRecord, inWallNow);
	if (outcome != ECancelOutcome::Canceled)
		return;
	known->record.ended_wall_ms = inWallNow;
	this->CloseJob(*known, EJobPhase::Canceled, "caller");
	this->StopAll(*known, "canceled", inNow);
}

void Cell::RememberCancel(const InboxRecord &inRecord, int64 inWallNow)
{
	const EarlyCancel cancel{inRecord.spec.queue, inRecord.spec.team, inWallNow, DetailsOf(inRecord).key_hash};
	EarlyCancels &cancels = this->early_cancels[inRecord.spec.id];
	auto found =
		std::find_if(cancels.begin(), cancels.end(),
					 [&cancel](const EarlyCancel &inOther) { return inOther.team == cancel.team && inOther.key_hash == cancel.key_hash; });
	if (found == cancels.end())
		cancels.push_back(cancel);
	else
		*found = cancel;
	this->unlogged_cancels.insert(inRecord.spec.id);
}

void Cell::Apply(const InboxRecord &inRecord, Millis inNow, int64 inWallNow)
{
	if (inRecord.kind == EInbox::Cancel)
		return this->Cancel(inRecord, inWallNow, inNow);
	const std::string &id = inRecord.spec.id;
	// A job id is accepted once, however often it is submitted
	if (this->FindJob(id) != nullptr)
	{
		LogEvent(ELogLevel::Info, "job_repeated").Field("request", id).Field("inbox_next", this->inbox_next);
		return;
	}
	CellJob &job = this->jobs[id];
	job.spec = inRecord.spec;
	job.queue = inRecord.queue_key;
	job.record = NewRecord(job.spec);
	job.volatile_state.resize(job.record.steps.size());
	job.seen.resize(job.record.steps.size());
	for (size_t unit = 0; unit < job.volatile_state.size(); ++unit)
		job.volatile_state[unit].resize(job.record.steps[unit].tasks.size());
	job.arrived_at = inNow;
	this->NoteTeamKeys(job.spec.team);
	this->arrivals[job.spec.pool].AddJob(inNow, this->WorkLeft(job));
	this->MarkChanged(job);
	LogEvent(ELogLevel::Info, "job_taken")
		.Field("request", id)
		.Field("queue", job.spec.queue)
		.Field("pool", job.spec.pool)
		.Field("team", job.spec.team)
		.Field("steps", job.spec.steps.size())
		.Field("tasks", job.spec.steps[0].count)
		.Field("cpu_milli", job.spec.steps[0].requested.cpu_milli)
		.Field("memory_mb", job.spec.steps[0].requested.memory_mb)
		.Field("estimates_ms", EstimatesText(job.spec))
		.Field("due_ms", this->DueWall(job) - job.spec.accepted_wall_ms)
		.Field("lasting", job.spec.steps[0].long_running ? 1 : 0)
		.Field("fills", job.spec.steps.back().best_effort ? 1 : 0)
		.Field("target_ms", job.spec.steps[0].latency_target_ms)
		.Field("may_miss", job.spec.steps[0].limits_unavailable ? static_cast<int64>(job.spec.steps[0].max_unavailable) : -1)
		.Field("inbox_next", this->inbox_next)
		.Field("age_ms", inWallNow - job.spec.accepted_wall_ms);
	if (auto early = this->early_cancels.find(id); early != this->early_cancels.end())
		for (const EarlyCancel &cancel : early->second)
			this->Cancel(CancelRecord(id, cancel), inWallNow, inNow);
}

bool Cell::IsForgotten(const CellJob &inJob, int64 inWallNow) const
{
	// The wall clock may have been set forward
	const bool may_arrive_again = this->now - inJob.arrived_at < cMaxRepeatDelayMs;
	return IsFinal(inJob.logged_phase) && !may_arrive_again && inWallNow - inJob.record.ended_wall_ms > this->tuning.keep_ended_ms;
}

void Cell::RemoveEndedJobs(int64 inWallNow, std::vector<KeyedRecord> &outBatch)
{
	if (inWallNow - this->ended_swept_wall_ms < cEndedSweepMs)
		return;
	this->ended_swept_wall_ms = inWallNow;
	for (auto it = this->jobs.begin(); it != this->jobs.end();)
	{
		const CellJob &job = it->second;
		const bool in_use =
			this->dirty.contains(it->first) || this->jobs_to_write.contains(it->first) || this->in_batch.contains(it->first);
		if (in_use || !this->IsForgotten(job, inWallNow))
		{
			++it;
			continue;
		}
		outBatch.push_back({cSpecKey + it->first, ""});
		outBatch.push_back({cStateKey + it->first, ""});
		if (job.queue != 0)
			outBatch.push_back({cJobQueueKey + it->first, ""});
		if (job.crashes_logged)
			for (const char key : {cCrashKey, cCrashCaseKey})
				outBatch.push_back({key + it->first, ""});
		if (job.shared_cases_logged)
			outBatch.push_back({cSharedCaseKey + it->first, ""});
		if (job.counted_crashes_logged)
			outBatch.push_back({cCountedCrashKey + it->first, ""});
		it = this->jobs.erase(it);
	}
}

void Cell::AddEarlyCancelRecords(int64 inWallNow, std::vector<KeyedRecord> &outBatch)
{
	for (const std::string &id : std::exchange(this->unlogged_cancels, {}))
		outBatch.push_back({cEarlyCancelKey + id, EncodeValue(this->early_cancels.at(id))});
	if (outBatch.empty())
		return;
	const auto is_old = [&](const EarlyCancel &inCancel) { return inWallNow - inCancel.wall_ms > this->tuning.keep_ended_ms; };
	for (auto it = this->early_cancels.begin(); it != this->early_cancels.end();)
	{
		const bool old = std::all_of(it->second.begin(), it->second.end(), is_old);
		if (old)
			for (const char key : {cEarlyCancelKey, cOneCancelKey})
				outBatch.push_back({key + it->first, ""});
		it = old ? this->early_cancels.erase(it) : std::next(it);
	}
}

void Cell::AddTeamKeyRecords(std::vector<KeyedRecord> &outBatch)
{
	if (outBatch.empty())
		return;
	for (const std::string &team : std::exchange(this->unlogged_team_keys, {}))
		outBatch.push_back({cTeamKeysKey + team, EncodeValue(this->team_keys.at(team))});
}

void Cell::BeginAppendSeries()
{
	this->jobs_to_write = std::exchange(this->dirty, {});
	this->placements.BeginAppendSeries();
	this->cleared_in_series = false;
	this->inbox_to_write = this->inbox_next;
	this->replicator.BeginWriting();
	for (auto &[id, worker] : this->workers)
	{
		worker.series_seq = worker.recorded_seq;
		worker.previous_ends.series_count = worker.previous_ends.rows.size();
	}
}

std::vector<CountedCrash> Cell::CountedCrashesOf(const CellJob &inJob) const
{
	std::vector<CountedCrash> counted;
	const size_t steps = inJob.spec.steps.size();
	for (size_t unit = 0; unit < inJob.record.steps.size(); ++unit)
		for (uint32 index = 0; index < inJob.record.steps[unit].tasks.size(); ++index)
			for (const RunRecord &record : inJob.record.steps[unit].tasks[index].runs)
			{
				const TaskId task{inJob.spec.id, static_cast<uint32>(unit / steps), static_cast<uint32>(unit % steps), index};
				const auto worker = this->workers.find(record.worker);
				if (worker == this->workers.end())
					continue;
				const auto run = worker->second.runs.find({task, record.run});
				if (run != worker->second.runs.end() && run->second.counted_crash.has_value())
					counted.push_back({static_cast<uint32>(unit), index, record.run, *run->second.counted_crash});
			}
	return counted;
}

size_t Cell::AddCrashRecords(CellJob &ioJob, std::vector<KeyedRecord> &outBatch) const
{
	ioJob.crashes_logged = ioJob.crashes_logged || !ioJob.crashes.empty();
	if (!ioJob.crashes_logged)
		return 0;
	const std::string &id = ioJob.spec.id;
	// An empty value of either of the first two records would remove the job
	const bool share = UnsharedCaseBytes(ioJob.crashes) > cMaxUnsharedCaseBytes;
	std::vector<KeyedRecord> records = {{cCrashKey + id, EncodeValue(ioJob.crashes)},
										{cCrashCaseKey + id, EncodeValue(share ? CrashCasesByTask{} : ExtractCrashCases(ioJob.crashes))}};
	const std::vector<CountedCrash> counted = this->CountedCrashesOf(ioJob);
	ioJob.counted_crashes_logged = ioJob.counted_crashes_logged || !counted.empty();
	if (ioJob.counted_crashes_logged)
		records.push_back({cCountedCrashKey + id, EncodeValue(counted)});
	ioJob.shared_cases_logged = ioJob.shared_cases_logged || share;
	if (ioJob.shared_cases_logged)
	{
		bool complete = true;
		const SharedCrashCases shared = share ? ShareCrashCases(ioJob.crashes, complete) : SharedCrashCases{};
		records.push_back({cSharedCaseKey + id, EncodeValue(shared)});
		if (!complete)
			LogEvent(ELogLevel::Warning, "crash_cases_cut")
				.Field("request", id)
				.Field("tasks", ioJob.crashes.size())
				.Field("tasks_kept", shared.tasks.size())
				.Field("limit", cMaxCrashCaseBytes);
	}
	uint64 hash = 0;
	size_t bytes = 0;
	for (const KeyedRecord &record : records)
	{
		hash = hash * cHashFactor + HashBytes(record.value);
		bytes += record.value.size();
	}
	// Most changes of a job are no crashes
	if (std::exchange(ioJob.crashes_hash, hash) == hash)
		return 0;
	outBatch.insert(outBatch.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
	return bytes;
}

std::string Cell::EncodeState(CellJob &ioJob, int64 inWallNow)
{
	std::string state = EncodeValue(ioJob.record);
	if (!ExceedsRecordLimit({cStateKey + ioJob.spec.id, state, 0}))
		return state;
	if (!IsFinal(ioJob.record.phase))
	{
		LogEvent(ELogLevel::Error, "job_too_long")
			.Field("request", ioJob.spec.id)
			.Field("bytes", state.size())
			.Field("limit", cMaxRecordBytes);
		++this->totals.jobs_too_long;
		ioJob.record.ended_wall_ms = inWallNow;
		this->CloseJob(ioJob, EJobPhase::Failed, "its state exceeds the longest record of the log");
		this->StopAll(ioJob, "job failed", this->now);
	}
	// Of a job that has ended only the phase is needed. Runs without a record are stopped
	JobRecord ended{ioJob.record.phase, ioJob.record.begun, ioJob.record.ended_wall_ms, {}};
	ended.steps.resize(ioJob.record.steps.size());
	return EncodeValue(ended);
}

void Cell::AddJobRecords(int64 inWallNow, std::vector<KeyedRecord> &outBatch)
{
	this->in_batch.clear();
	size_t bytes = 0;
	while (!this->jobs_to_write.empty() && bytes < this->tuning.batch_bytes)
	{
		const std::string id = std::move(this->jobs_to_write.extract(this->jobs_to_write.begin()).value());
		this->in_batch.insert(id);
		CellJob &job = *this->FindJob(id);
		if (IsFinal(job.record.phase) && job.record.ended_wall_ms == 0)
			job.record.ended_wall_ms = inWallNow;
		if (!job.spec_logged)
		{
			outBatch.push_back({cSpecKey + id, EncodeValue(job.spec)});
			bytes += outBatch.back().value.size();
			if (job.queue != 0)
				outBatch.push_back({cJobQueueKey + id, EncodeValue(job.queue)});
		}
		job.spec_appending = !job.spec_logged;
		bytes += this->AddCrashRecords(job, outBatch);
		outBatch.push_back({cStateKey + id, this->EncodeState(job, inWallNow)});
		bytes += outBatch.back().value.size();
		job.appending_phase = job.record.phase;
	}
}

void Cell::AddLocationRecords(std::vector<KeyedRecord> &outBatch)
{
	for (const std::string &id : std::exchange(this->removed_workers, {}))
		if (!this->workers.contains(id))
			for (const char key : {cLocationKey, cIncarnationKey, cDrainGrantKey, cLongestLeaseKey})
				outBatch.push_back({key + id, ""});
	for (auto &[id, worker] : this->workers)
	{
		if (worker.runs.empty() || worker.entry.address.port == 0)
			continue;
		// The next incarnation may have another address
		if (worker.logged_location != worker.Location())
		{
			worker.logged_location = worker.Location();
			outBatch.push_back({cLocationKey + id, EncodeValue(*worker.logged_location)});
		}
		// While ends of a previous incarnation may still be submitted, a successor must wait for them too
		const bool awaits_ends =
			std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &inRun) { return inRun.second.predecessor_wait_until > 0; });
		if (!awaits_ends && std::exchange(worker.logged_started_ms, worker.started_ms) != worker.started_ms)
			outBatch.push_back({cIncarnationKey + id, EncodeValue(worker.started_ms)});
	}
}

void Cell::AddLongestLeaseRecords(std::vector<KeyedRecord> &outBatch)
{
	const bool written_anyway = !outBatch.empty();
	for (auto &[id, worker] : this->workers)
	{
		const bool may_last = this->now < worker.longest_lease_until;
		const bool is_new = may_last && worker.logged_longest_lease_ms == 0 && !worker.runs.empty();
		const bool is_over = !may_last && worker.logged_longest_lease_ms > 0 && written_anyway;
		if (!is_new && !is_over)
			continue;
		worker.logged_longest_lease_ms = is_new ? this->tuning.worker_lease_cap_ms : 0;
		this->LogLongestLeaseRecord(worker, is_new ? "longest_lease_logged" : "longest_lease_removed",
									is_new ? NameOf(cLongestLeaseNames, worker.longest_lease_cause) : "it has expired");
		outBatch.push_back({cLongestLeaseKey + id, is_new ? EncodeValue(worker.logged_longest_lease_ms) : ""});
	}
}

void Cell::AddUnansweredStarts(std::vector<KeyedRecord> &outBatch)
{
	if (outBatch.empty())
		return;
	UnansweredStarts unanswered;
	size_t count = 0;
	for (const auto &[worker_id, worker] : this->workers)
	{
		if (worker.started_ms == cStartTimeUnknown)
			continue;
		for (const auto &[id, run] : worker.runs)
			if (!IsDispatched(run.state) || this->MayRunUnheard(worker, run, this->now))
			{
				unanswered.starts[id.task.job].push_back({id.task.round, id.task.step, id.task.index, id.run});
				++count;
			}
	}
	if (count > cMaxUnansweredStarts)
		unanswered = UnansweredStarts{true, {}};
	std::string value = EncodeValue(unanswered);
	if (value == this->written_starts)
		return;
	this->written_starts = value;
	outBatch.push_back({std::string(cUnansweredKey), std::move(value)});
}

void Cell::LogLongestLeaseRecord(const CellWorker &inWorker, std::string_view inEvent, std::string_view inWhy) const
{
	LogEvent(ELogLevel::Info, inEvent)
		.Field("worker", inWorker.entry.id)
		.Field("why", inWhy)
		.Field("longest_left_ms", inWorker.longest_lease_until - this->now)
		.Field("runs", inWorker.runs.size())
		.Field("born_ms", inWorker.started_ms)
		.Field("logged_born_ms", inWorker.logged_started_ms)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::AddDrainGrantRecords(std::vector<KeyedRecord> &outBatch)
{
	const bool written_anyway = !outBatch.empty();
	for (auto &[id, worker] : this->workers)
	{
		const bool over = this->now >= std::max(worker.drain_until, worker.drain_grant_until);
		if (over && written_anyway)
			worker.drain_grant_ms = 0;
		if (worker.drain_grant_ms == worker.appending_grant_ms)
			continue;
		outBatch.push_back({cDrainGrantKey + id, worker.drain_grant_ms > 0 ? EncodeValue(worker.drain_grant_ms) : ""});
		worker.appending_grant_ms = worker.drain_grant_ms;
		worker.logged_grant_ms = std::min(worker.logged_grant_ms, worker.drain_grant_ms);
	}
}

std::vector<KeyedRecord> Cell::TakeBatch(int64 inWallNow)
{
	LOOM_INVARIANT(!this->batch_under_way, "one append at a time, or records could pass one another");
	std::vector<KeyedRecord> batch;
	// Changes that exceed one append are written as a series. Ends and the inbox position count as logged only with its last append
	const bool begins = this->jobs_to_write.empty();
	// An answer may have cleared records since the last planning pass
	this->ApplyCleared(inWallNow);
	if (begins)
		this->BeginAppendSeries();
	this->AddJobRecords(inWallNow, batch);
	bool whole = this->jobs_to_write.empty();
	// The inbox position must not pass records that are only held or redirected before the log has these
	whole = this->placements.AddRecords(this->tuning.batch_bytes, whole, batch) && whole;
	this->AddEarlyCancelRecords(inWallNow, batch);
	this->AddTeamKeyRecords(batch);
	if (!batch.empty())
		this->AddLocationRecords(batch);
	this->AddLongestLeaseRecords(batch);
	this->AddDrainGrantRecords(batch);
	this->RemoveEndedJobs(inWallNow, batch);
	// Records that are no longer held, and whose jobs are not written yet, must be read again by a successor
	const uint64 inbox_reached = whole && !this->cleared_in_series ? this->inbox_to_write : this->inbox_logged;
	if (inbox_reached != this->inbox_logged)
		batch.push_back({std::string(cCursorKey), EncodeValue(this->inbox_to_write)});
	if (!batch.empty() && inWallNow - this->run_times_written_wall_ms >= cRunTimesWriteMs)
	{
		this->run_times_written_wall_ms = inWallNow;
		batch.push_back({std::string(cTimesKey), EncodeValue(this->run_times)});
	}
	if (const std::optional<Millis> lease = this->leases.LeaseToLog(this->now))
	{
		this->leases.OnWriting(*lease);
		batch.push_back({std::string(cLeaseKey), EncodeValue(*lease)});
	}
	this->AddUnansweredStarts(batch);
	this->inbox_writing = inbox_reached;
	// Further changes may have been made during the series
	this->unwritten_changes = !begins || !whole;
	if (whole)
		this->replicator.OnWriting();
	if (batch.empty())
		this->replicator.OnLogged();
	for (auto &[id, worker] : this->workers)
	{
		if (whole)
		{
			worker.appending_seq = worker.series_seq;
			worker.previous_ends.appending_count = std::exchange(worker.previous_ends.series_count, 0);
		}
		// Ends that changed no record need no append
		if (batch.empty())
			this->OnEndsLogged(worker);
		for (auto &[run_id, run] : worker.runs)
			if (run.state == ERunState::Planned && this->in_batch.contains(run_id.task.job))
				run.state = ERunState::Writing;
	}
	this->batch_under_way = !batch.empty();
	this->batch_at = this->now;
	this->batch_records = batch.size();
	this->run_events.FlushAppend(0, 0);
	return batch;
}

void Cell::OnEndsLogged(CellWorker &ioWorker)
{
	std::vector<EndedRun> &previous = ioWorker.previous_ends.rows;
	previous.erase(previous.begin(),
				   previous.begin() + static_cast<std::ptrdiff_t>(std::exchange(ioWorker.previous_ends.appending_count, 0)));
	if (ioWorker.appending_seq <= ioWorker.logged_seq)
		return;
	ioWorker.ends_logged_at = this->now;
	this->run_events.AddPersisted(ioWorker.entry.id, ioWorker.logged_seq + 1, ioWorker.appending_seq);
	ioWorker.logged_seq = ioWorker.appending_seq;
	std::erase_if(ioWorker.unlogged_ends, [&ioWorker](const EndedRun &inRow) { return inRow.sequence <= ioWorker.logged_seq; });
}

void Cell::OnAppended(Millis inNow)
{
	this->now = inNow;
	this->batch_under_way = false;
	this->leases.OnLogged();
	this->replicator.OnLogged();
	this->placements.OnAppended();
	this->inbox_logged = this->inbox_writing;
	for (const std::string &id : std::exchange(this->in_batch, {}))
	{
		CellJob &job = *this->FindJob(id);
		job.spec_logged = job.spec_logged || job.spec_appending;
		if (job.logged_phase != job.appending_phase)
			LogEvent(ELogLevel::Info, "job_shown")
				.Field("request", id)
				.Field("phase", NameOf(cJobPhaseNames, job.appending_phase))
				.Field("epoch", this->epoch);
		job.logged_phase = job.appending_phase;
	}
	for (auto &[id, worker] : this->workers)
	{
		worker.logged_grant_ms = worker.appending_grant_ms;
		if (worker.logged_seq < worker.appending_seq)
			worker.next_poll_at = inNow;
		this->OnEndsLogged(worker);
		for (auto &[run_id, run] : worker.runs)
			if (run.state == ERunState::Writing)
			{
				run.state = ERunState::Logged;
				run.since = inNow;
				this->to_start.push_back(run_id);
				this->start_workers[run_id] = id;
			}
	}
	this->run_events.FlushAppend(inNow - this->batch_at, this->batch_records);
}

bool Cell::IsOfQueue(const CellJob &inJob, std::string_view inQueue, QueueKey inKey) const
{
	return inJob.spec.queue == inQueue || (inKey != 0 && this->QueueOf(inJob) == inKey);
}

QueueKey Cell::QueueOf(const CellJob &inJob) const { return inJob.queue != 0 ? inJob.queue : this->placements.KeyOfName(inJob.spec.queue); }

bool Cell::MayBeOfQueue(const CellJob &inJob, QueueKey inKey) const
{
	return this->QueueOf(inJob) == inKey || (inJob.queue == 0 && !this->placements.IsKnownName(inJob.spec.queue));
}

JobAnswer Cell::Query(std::string_view inQueue, std::string_view inId, QueueKey inKey) const
{
	JobAnswer answer;
	auto found = this->jobs.find(std::string(inId));
	if (found == this->jobs.end() || !this->IsOfQueue(found->second, inQueue, inKey))
		return answer;
	answer.known = true;
	answer.team = found->second.spec.team;
	answer.phase = found->second.logged_phase;
	if (answer.phase == EJobPhase::Queued && found->second.record.begun)
		answer.phase = EJobPhase::Running;
	return answer;
}

uint32 Cell::Waiting(std::string_view inQueue, QueueKey inKey) const
{
	uint32 waiting = this->placements.CountUndecided(inKey);
	for (const std::string &id : this->active)
	{
		const CellJob &job = this->jobs.at(id);
		waiting += !job.record.begun && this->IsOfQueue(job, inQueue, inKey) ? 1 : 0;
	}
	return waiting;
}

MoveAnswer Cell::OnQueueMoved(const MoveQuestion &inQuestion, Millis inNow, int64 inWallNow)
{
	// Jobs that this cell has been cleared to take are its own
	this->now = inNow;
	this->ApplyCleared(inWallNow);
	const auto is_of_queue = [this, &inQuestion](const CellJob &inJob) { return this->MayBeOfQueue(inJob, inQuestion.site.queue); };
	MoveAnswer answer;
	for (const std::string &id : inQuestion.jobs)
		if (const CellJob *job = this->FindJob(id); job != nullptr && is_of_queue(*job))
			answer.known.push_back(id);
		else if (auto early = this->early_cancels.find(id); early != this->early_cancels.end())
			answer.canceled[id] = early->second;
	const bool has_jobs =
		std::any_of(this->jobs.begin(), this->jobs.end(),
					[&](const auto &inJob) { return !this->IsForgotten(inJob.second, inWallNow) && is_of_queue(inJob.second); });
	answer.holds_jobs = has_jobs;
	this->placements.Answer(inQuestion, answer, inNow);
	return answer;
}

bool Cell::CanHandOver(Millis inNow) const
{
	for (const auto &[id, worker] : this->workers)
	{
		// A worker may leave before a successor polls it, and a successor does not know until when drain grants are in force. An unlisted
		// worker that is answering a poll now must be heard by this owner first
		const bool is_answering = worker.poll_in_flight && !worker.listed;
		const bool is_ready = worker.AreEndsLogged() && inNow >= worker.drain_grant_until && !is_answering;
		if (!is_ready)
			return false;
	}
	return true;
}

CellCounts Cell::Counts() const
{
	CellCounts figures = this->totals;
	figures.jobs = this->jobs.size();
	figures.active = this->active.size();
	for (const auto &[id, worker] : this->workers)
	{
		figures.workers += worker.listed ? 1 : 0;
		figures.runs += worker.runs.size();
	}
	return figures;
}

} // namespace Loomreach::Jobs
