// What the crashes that a task was at say against it, once it is known what became of the other tasks that may have been their cause.
//
// A worker that crashes takes many runs with it, and of those that had just started at most one did it. So a crash is no proof against any
// of them by itself. Two things decide it later: a rival that has outlived its start elsewhere was not the cause, and one that is proved to
// crash its workers was, which clears all others of that crash. Pure.

#pragma once

#include <Loomreach/Schedule/TaskCrashes.h>

namespace Loomreach::Jobs
{

/// What is known of a rival now.
enum class ERival : uint8
{
	Open,    ///< Nothing that decides it.
	Cleared, ///< It has outlived its start, or has done its work.
	Proved   ///< Its job was given up because it crashes its workers.
};

using RivalJudge = std::function<ERival(const CrashRival &)>;

/// What the crashes of a task weigh: those that a proved rival explains are left out.
struct CrashWeight
{
	uint32 blamed = 0;
	uint32 at_once = 0;
	uint32 beside = 0;
	uint32 clear = 0;     ///< Of `blamed`: nothing else can have been the cause, as far as is known.
	uint32 sole = 0;      ///< Of `clear`: right after its start.
	uint32 explained = 0; ///< Left out.

	uint32 Total() const { return this->blamed + this->beside; }
};

/// Weighs the crashes of a task.
CrashWeight WeighCrashes(const TaskCrashes &inCrashes, const RivalJudge &inJudge);

/// What speaks for chance when a task that was alone has crashed its worker right after its start.
struct CrashDoubts
{
	bool workers_crash = false; ///< Workers have crashed of late with nothing just started there.
	bool unit_is_sound = false; ///< Another task of the same step has outlived its start: they run the same program.
};

/// Whether crashes of this weight, the last of them as told above, prove that a task crashes its workers.
bool IsCrasherProved(const CrashWeight &inWeight, const CrashDoubts &inDoubts);

/// Whether a task has been at so many crashes that it may not be started again, whatever caused them.
bool IsMoreThanBorne(const TaskCrashes &inCrashes);

} // namespace Loomreach::Jobs
