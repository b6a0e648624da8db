// The state of one job as the log of its cell stores it: the newest record of a job is its state.

#pragma once

#include <Loomreach/Job/JobSpec.h>

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach::Jobs
{

/// Phase of a job.
enum class EJobPhase : uint8
{
	Queued,
	Running,
	Completed,
	Failed,
	Canceled
};

/// Names of the phases in answers and logs.
inline constexpr std::array cJobPhaseNames = {
	EnumName<EJobPhase>{EJobPhase::Queued, "queued"},       EnumName<EJobPhase>{EJobPhase::Running, "running"},
	EnumName<EJobPhase>{EJobPhase::Completed, "completed"}, EnumName<EJobPhase>{EJobPhase::Failed, "failed"},
	EnumName<EJobPhase>{EJobPhase::Canceled, "canceled"},
};

/// Whether the phase is final.
constexpr bool IsFinal(EJobPhase inPhase) { return inPhase >= EJobPhase::Completed; }

/// A run of a task that may exist on a worker. It is written to the log before it is dispatched.
struct RunRecord
{
	uint32 run = 0;     ///< Run number of the task, from 1, always increasing.
	std::string worker; ///< Incarnation of the worker to which the run was dispatched.

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
	uint32 failures = 0;         ///< Runs that ended as failed, each counted once.
	uint32 failed_run = 0;       ///< Gang only: highest run whose failure has been counted.
	std::string checkpoint;      ///< Newest reported checkpoint.
	std::vector<RunRecord> runs; ///< Runs that may exist. Invariant: at most one, unless the step allows copies.

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

/// The state of one job.
struct JobRecord
{
	EJobPhase phase = EJobPhase::Queued;
	bool begun = false;            ///< Whether any task has ever been started.
	int64 ended_wall_ms = 0;       ///< Wall-clock time at which the phase became final, ms since 1970.
	std::vector<StepRecord> steps; ///< One per round and step, at index: round x number of steps + step.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->phase, this->begun, this->ended_wall_ms, this->steps);
	}
};

/// Identifies a task.
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

/// Creates the initial record of an accepted job.
JobRecord NewRecord(const JobSpec &inSpec);

/// Size of the state's record in the log, with its key; an upper bound.
size_t StateBytes(const JobRecord &inRecord);
/// How many more runs the state can hold before its record exceeds the longest one that the log takes; at least one for a job that has
/// none. Checkpoints count for jobs of thousands of tasks only.
size_t RoomForRuns(const JobSpec &inSpec, const JobRecord &inRecord);

/// Checks a submission: counts, dependencies between steps, sizes. On failure returns false and sets the error to bad-request.
bool CheckSpec(const JobSpec &inSpec);

} // namespace Loomreach::Jobs
