// Decides from a task's recorded crashes whether it is proved to crash its workers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CrashEvidence.h>

namespace Loomreach::Jobs
{

/// Crashes right after the start that prove a task to be the cause if it is the only suspect at two of them. One crash may be coincidence.
static constexpr uint32 cProvingCrashes = 2;
/// The same if coincidence is likely, or if other suspects remain at some of the crashes.
static constexpr uint32 cProvingCrashesInDoubt = 3;

/// After a task has crashed three workers it may be started at most twice more.
static constexpr uint32 cMaxCrashes = 5;

bool ExceedsCrashLimit(const TaskCrashes &inCrashes) { return inCrashes.Total() >= cMaxCrashes; }

CrashSummary SummarizeCrashes(const TaskCrashes &inCrashes, const SuspectStateLookup &inJudge)
{
	CrashSummary weight;
	weight.blamed = inCrashes.blamed;
	weight.after_start = inCrashes.after_start;
	weight.bystander = inCrashes.bystander;
	for (const CrashCase &crash : inCrashes.cases)
	{
		bool is_sole = true;
		bool is_explained = false;
		for (const CrashSuspect &suspect : crash.suspects)
		{
			const ESuspectState state = inJudge(suspect);
			is_sole = is_sole && state == ESuspectState::Cleared;
			is_explained = is_explained || state == ESuspectState::Proved;
		}
		if (!is_explained)
		{
			weight.sole_suspect += crash.blamed && !crash.chance && is_sole ? 1 : 0;
			weight.sole_suspect_after_start += crash.after_start && is_sole ? 1 : 0;
			continue;
		}
		++weight.explained;
		weight.after_start -= crash.after_start ? 1 : 0;
		--(crash.blamed ? weight.blamed : weight.bystander);
	}
	return weight;
}

bool IsCrashCauseProved(const CrashSummary &inWeight, const ChanceIndicators &inIndicators)
{
	const bool in_doubt =
		inIndicators.other_workers_crashed || inIndicators.step_task_survived || inWeight.sole_suspect_after_start < cProvingCrashes;
	return inWeight.after_start >= (in_doubt ? cProvingCrashesInDoubt : cProvingCrashes);
}

} // namespace Loomreach::Jobs
