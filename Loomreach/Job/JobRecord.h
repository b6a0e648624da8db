// The state of one job, as its cell's log keeps it: the newest record of a job is its state.

#pragma once

#include <Loomreach/Job/JobSpec.h>

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach::Jobs
{

/// Where a job stands.
enum class EJobPhase : uint8
{
	Queued,
	Running,
	Completed,
	Failed,
	Canceled
};

/// The words for it in answers and logs.
inline constexpr std::array cJobPhaseNames = {
	EnumName<EJobPhase>{EJobPhase::Queued, "queued"},       EnumName<EJobPhase>{EJobPhase::Running, "running"},
	EnumName<EJobPhase>{EJobPhase::Completed, "completed"}, EnumName<EJobPhase>{EJobPhase::Failed, "failed"},
	EnumName<EJobPhase>{EJobPhase::Canceled, "canceled"},
};

/// Whether nothing more happens to a job in this phase.
constexpr bool IsFinal(EJobPhase inPhase) { return inPhase >= EJobPhase::Completed; }

/// A run of a task that may exist on a worker. Written to the log before the worker is told.
struct RunRecord
{
	uint32 run = 0;     ///< Counts a task's starts from 1 and always rises.
	std::string worker; ///< The life of the worker that was told.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->run, this->worker);
	}
};

/// The state of one task.
struct TaskRecord
{
	bool done = false;
	uint32 last_run = 0;         ///< Highest run number ever written.
	uint32 failures = 0;         ///< Runs that ended as failed; counted once each.
	uint32 failed_run = 0;       ///< Gang only: the highest run whose failure has been counted.
	std::string checkpoint;      ///< The newest that was reported.
	std::vector<RunRecord> runs; ///< Runs that may exist. Invariant: at most one, unless the step may be copied.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->done, this->last_run, this->failures, this->failed_run, this->checkpoint, this->runs);
	}
};

/// The tasks of one step in one round.
struct StepRecord
{
	std::vector<TaskRecord> tasks;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->tasks);
	}
};

/// The mutable state of one job.
struct JobRecord
{
	EJobPhase phase = EJobPhase::Queued;
	bool begun = false;            ///< Whether any task has ever been started.
	int64 ended_wall_ms = 0;       ///< Time of day at which the phase became final.
	std::vector<StepRecord> steps; ///< Round by round: round x number of steps + step.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->phase, this->begun, this->ended_wall_ms, this->steps);
	}
};

/// Which task: job, round, step, index.
struct TaskId
{
	std::string job;
	uint32 round = 0;
	uint32 step = 0;
	uint32 index = 0;

	auto operator<=>(const TaskId &) const = default;
	bool operator==(const TaskId &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->job, this->round, this->step, this->index);
	}
};

/// An empty record for an accepted job.
JobRecord NewRecord(const JobSpec &inSpec);

/// Checks a submission: counts, order of steps, sizes. Leaves bad-request.
bool CheckSpec(const JobSpec &inSpec);

} // namespace Loomreach::Jobs
