// Evaluates the crashes at which a task was running, given what is known by now about the other suspects. Pure functions.
//
// A crashing worker ends many runs, and at most one of those that had just started caused the crash. So a single crash proves nothing
// against any one of them. Later information decides:
//  * a suspect that has run past its start on another worker was not the cause;
//  * a suspect that is proved to crash its workers was the cause, so all others are cleared of that crash.

#pragma once

#include <Loomreach/Schedule/TaskCrashes.h>

namespace Loomreach::Jobs
{

/// What is known by now about another suspect of a crash.
enum class ESuspectState : uint8
{
	Undecided, ///< Undecided.
	Cleared,   ///< It has run past its start or has finished its work.
	Proved     ///< Its job was failed because a task of it crashes its workers.
};

/// Looks up the state of another suspect.
using SuspectStateLookup = std::function<ESuspectState(const CrashSuspect &)>;

/// Counts of a task's crashes, without those that another suspect is proved to have caused.
struct CrashSummary
{
	uint32 blamed = 0;                   ///< The task may have caused the crash.
	uint32 after_start = 0;              ///< Of `blamed`: right after the start of the task's run.
	uint32 bystander = 0;                ///< Something else is the more likely cause.
	uint32 sole_suspect = 0;             ///< Of `blamed`: no other suspect is left, and coincidence is unlikely.
	uint32 sole_suspect_after_start = 0; ///< Of `after_start`: no other suspect is left.
	uint32 explained = 0;                ///< Crashes left out because another suspect is proved to have caused them.

	uint32 Total() const { return this->blamed + this->bystander; }
};

/// Counts a task's crashes by what is known of the other suspects.
CrashSummary SummarizeCrashes(const TaskCrashes &inCrashes, const SuspectStateLookup &inJudge);

/// Reasons to take a crash for coincidence although the only suspect had just started.
struct ChanceIndicators
{
	bool other_workers_crashed = false; ///< Workers on which nothing had just started have crashed recently.
	bool step_task_survived = false;    ///< Another task of the same step, which runs the same program, has run past its start.
};

/// Whether these crashes prove that a task crashes its workers. `inIndicators`: as of the last of them.
bool IsCrashCauseProved(const CrashSummary &inWeight, const ChanceIndicators &inIndicators);

/// Whether a task was running at so many crashes that it may not be started again, whatever caused them.
bool ExceedsCrashLimit(const TaskCrashes &inCrashes);

} // namespace Loomreach::Jobs
