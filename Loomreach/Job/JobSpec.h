// A job as a caller submits it: steps, each with a number of identical tasks. Immutable once accepted.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Resources that a task requests or a worker has.
struct Resources
{
	int64 cpu_milli = 0; ///< Thousandths of a core.
	int64 memory_mb = 0;
	int64 accelerators = 0;

	bool operator==(const Resources &) const = default;
	/// Whether these resources fit into `inFree`.
	bool FitsInto(const Resources &inFree) const
	{
		return this->cpu_milli <= inFree.cpu_milli && this->memory_mb <= inFree.memory_mb && this->accelerators <= inFree.accelerators;
	}
	void Add(const Resources &inOther)
	{
		this->cpu_milli += inOther.cpu_milli;
		this->memory_mb += inOther.memory_mb;
		this->accelerators += inOther.accelerators;
	}
	void Subtract(const Resources &inOther)
	{
		this->cpu_milli -= inOther.cpu_milli;
		this->memory_mb -= inOther.memory_mb;
		this->accelerators -= inOther.accelerators;
	}
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cpu_milli, this->memory_mb, this->accelerators);
	}
};

/// One step of a job.
struct StepSpec
{
	uint32 count = 0;          ///< Number of tasks; at least 1.
	Resources requested;       ///< Requested resources of each task.
	Millis estimate_ms = 0;    ///< The caller's estimate of a task's run time; often far off.
	std::vector<uint32> after; ///< Earlier steps whose tasks must all be done before this step starts.
	bool checkpoints = false;  ///< Tasks report checkpoints of their progress.
	bool gang = false;         ///< Tasks run only all together.
	bool one_rack = false;     ///< Tasks are slower when spread over more than one rack.
	bool may_copy = false;     ///< Copies of a task may run at the same time.
	bool long_running = false; ///< Long-running: tasks run until the job is cancelled.
	/// Best-effort: tasks use processor time that others leave idle; only their memory and accelerators are reserved.
	bool best_effort = false;
	std::string needs_label;         ///< Label that the worker must have; empty: any worker.
	std::string data_rack;           ///< Rack of the data; tasks are slower on other racks. Empty: none.
	std::string image;               ///< Tasks of the same image behave alike.
	uint32 max_per_worker = 0;       ///< Maximum number of tasks of the step on one worker; 0: no limit.
	uint32 max_unavailable = 0;      ///< Maximum number of long-running tasks that the system itself may make unavailable at the same time.
	bool limits_unavailable = false; ///< Whether `max_unavailable` was set.
	Millis latency_target_ms = 0;    ///< Target for the tail latency of the task's own answers; 0: none.

	/// Resources that one task reserves on its worker. Best-effort tasks reserve no processor time: they use what others leave idle.
	Resources Reserved() const
	{
		Resources room = this->requested;
		if (this->best_effort)
			room.cpu_milli = 0;
		return room;
	}

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->count, this->requested, this->estimate_ms, this->after, this->checkpoints, this->gang, this->one_rack,
				  this->may_copy, this->long_running, this->best_effort, this->needs_label, this->data_rack, this->image,
				  this->max_per_worker, this->max_unavailable, this->limits_unavailable, this->latency_target_ms);
	}
};

/// One job as accepted, with the settings that its queue had at that time.
struct JobSpec
{
	std::string id; ///< 16 hex digits, chosen by the caller.
	std::string queue;
	std::string pool;    ///< Pool that runs the job. It stays the same when the queue moves to another pool.
	std::string team;    ///< Team that owns the job; empty: none.
	std::string payload; ///< Passed to every task uninterpreted.
	std::vector<StepSpec> steps;
	uint32 round_count = 0;  ///< Number of rounds, each running all steps; 0: one round, immediately.
	int64 first_wall_ms = 0; ///< Wall-clock time at which round 0 is due, ms since 1970.
	int64 interval_ms = 0;   ///< Between the due times of two rounds.
	uint32 max_attempts = 1; ///< The job fails after this many failed runs of a task.
	uint32 priority = 0;     ///< 0 is the highest.
	double stretch = 1.0;    ///< Objective for the run time of the job: stretch x longest chain of steps + `target_ms`.
	Millis target_ms = 0;
	bool advised = false;       ///< Only workers that the adviser names may run the job.
	int64 accepted_wall_ms = 0; ///< Wall-clock time at which the entry host accepted the job, ms since 1970.

	/// Number of rounds.
	uint32 Rounds() const { return std::max<uint32>(this->round_count, 1); }
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->queue, this->pool, this->team, this->payload, this->steps, this->round_count, this->first_wall_ms,
				  this->interval_ms, this->max_attempts, this->priority, this->stretch, this->target_ms, this->advised,
				  this->accepted_wall_ms);
	}
};

/// Whether a job belongs to another team than the caller, who then must not access it. Callers through an open queue have no team.
inline bool IsOtherTeam(std::string_view inJobTeam, std::string_view inCallerTeam)
{
	return !inJobTeam.empty() && !inCallerTeam.empty() && inJobTeam != inCallerTeam;
}

} // namespace Loomreach::Jobs
