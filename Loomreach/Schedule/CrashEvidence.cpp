// Judges a task by the crashes that it was at.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CrashEvidence.h>

namespace Loomreach::Jobs
{

/// Crashes right after a task's start that prove it if nothing else can have been the cause of two of them: with one, chance would decide.
static constexpr uint32 cAtOnceProved = 2;
/// The same if something speaks for chance, or if the cause of the others is not known.
static constexpr uint32 cAtOnceInDoubt = 3;

/// The users bear three crashes by a task, and two starts more.
static constexpr uint32 cCrashesBorne = 5;

bool IsMoreThanBorne(const TaskCrashes &inCrashes) { return inCrashes.Total() >= cCrashesBorne; }

CrashWeight WeighCrashes(const TaskCrashes &inCrashes, const RivalJudge &inJudge)
{
	CrashWeight weight;
	weight.blamed = inCrashes.blamed;
	weight.at_once = inCrashes.at_once;
	weight.beside = inCrashes.beside;
	for (const CrashCase &crash : inCrashes.cases)
	{
		bool is_sole = true;
		bool is_explained = false;
		for (const CrashRival &rival : crash.rivals)
		{
			const ERival state = inJudge(rival);
			is_sole = is_sole && state == ERival::Cleared;
			is_explained = is_explained || state == ERival::Proved;
		}
		if (!is_explained)
		{
			weight.clear += crash.blamed && !crash.chance && is_sole ? 1 : 0;
			weight.sole += crash.at_once && is_sole ? 1 : 0;
			continue;
		}
		++weight.explained;
		weight.at_once -= crash.at_once ? 1 : 0;
		--(crash.blamed ? weight.blamed : weight.beside);
	}
	return weight;
}

bool IsCrasherProved(const CrashWeight &inWeight, const CrashDoubts &inDoubts)
{
	const bool in_doubt = inDoubts.workers_crash || inDoubts.unit_is_sound || inWeight.sole < cAtOnceProved;
	return inWeight.at_once >= (in_doubt ? cAtOnceInDoubt : cAtOnceProved);
}

} // namespace Loomreach::Jobs
