// What a caller submits: a job of steps, each a number of like tasks. Immutable once accepted.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// What a task asks for, and what a worker has.
struct Resources
{
	int64 cpu_milli = 0; ///< Thousandths of a core.
	int64 memory_mb = 0;
	int64 accelerators = 0;

	bool operator==(const Resources &) const = default;
	/// Whether this much fits into what is free.
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
	uint32 count = 0;           ///< Tasks; at least 1.
	Resources need;             ///< Of each task.
	Millis estimate_ms = 0;     ///< The caller's guess of a task's run time; often far off.
	std::vector<uint32> after;  ///< Earlier steps whose tasks must all be done first.
	bool checkpoints = false;   ///< Tasks save their progress.
	bool gang = false;          ///< Tasks run only together.
	bool one_rack = false;      ///< Tasks are slower when on more than one rack.
	bool may_copy = false;      ///< Copies of a task may run side by side.
	bool lasting = false;       ///< Tasks run until the job is cancelled.
	bool fills = false;         ///< Tasks use processor time that others leave; only their memory counts.
	std::string needs_label;    ///< A label that the worker must have; empty: any.
	std::string data_rack;      ///< Tasks are slower on other racks; empty: none.
	std::string image;          ///< Tasks of one image behave alike.
	uint32 max_per_worker = 0;  ///< Tasks of the step on one worker; 0: no limit.
	uint32 may_miss = 0;        ///< Lasting tasks that may be away at once through our own doing.
	bool limits_misses = false; ///< Whether `may_miss` was given.
	Millis target_ms = 0;       ///< The tail of the task's own answers is to stay below; 0: none.

	/// What one of its tasks takes of a worker's room: tasks that fill live on what others leave unused.
	Resources Room() const
	{
		Resources room = this->need;
		if (this->fills)
			room.cpu_milli = 0;
		return room;
	}

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->count, this->need, this->estimate_ms, this->after, this->checkpoints, this->gang, this->one_rack, this->may_copy,
				  this->lasting, this->fills, this->needs_label, this->data_rack, this->image, this->max_per_worker, this->may_miss,
				  this->limits_misses, this->target_ms);
	}
};

/// One job as it was accepted, with what its queue said then.
struct JobSpec
{
	std::string id;      ///< 16 hex digits, chosen by the caller.
	std::string queue;   ///< Name of the queue.
	std::string pool;    ///< The pool that runs it. Stays, even if the queue moves to another pool.
	std::string team;    ///< The team whose job it is; empty: nobody's.
	std::string payload; ///< Handed to every task unread.
	std::vector<StepSpec> steps;
	uint32 times = 0;        ///< How often the steps run; 0: once, at once.
	int64 first_wall_ms = 0; ///< Time of day at which time 0 is due, ms since 1970.
	int64 interval_ms = 0;   ///< Between two times.
	uint32 max_attempts = 1; ///< Failed runs of a task after which the job has failed.
	uint32 priority = 0;     ///< 0 goes first.
	double stretch = 1.0;    ///< Objective: stretch x longest chain + target.
	Millis target_ms = 0;
	bool advised = false;       ///< Only workers that the adviser names may run it.
	int64 accepted_wall_ms = 0; ///< Time of day at which the entry host took it.

	/// How often the steps run in all.
	uint32 Rounds() const { return std::max<uint32>(this->times, 1); }
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->queue, this->pool, this->team, this->payload, this->steps, this->times, this->first_wall_ms,
				  this->interval_ms, this->max_attempts, this->priority, this->stretch, this->target_ms, this->advised,
				  this->accepted_wall_ms);
	}
};

/// Whether a caller of one team is to leave a job alone: it is another's. Who calls through an open queue has no team.
inline bool IsOtherTeam(std::string_view inJobTeam, std::string_view inCallerTeam)
{
	return !inJobTeam.empty() && !inCallerTeam.empty() && inJobTeam != inCallerTeam;
}

} // namespace Loomreach::Jobs
