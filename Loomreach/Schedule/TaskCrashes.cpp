// Splits crash records into counts and cases for the log, and merges them on restore.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskCrashes.h>

namespace Loomreach::Jobs
{

CrashCasesByTask ExtractCrashCases(const CrashCounts &inCounts)
{
	CrashCasesByTask cases;
	for (const auto &[task, crashes] : inCounts)
		cases[task] = {crashes.cases, crashes.proved};
	return cases;
}

void MergeCrashCases(CrashCounts &ioCounts, const CrashCasesByTask &inCases)
{
	for (const auto &[task, cases] : inCases)
	{
		auto counted = ioCounts.find(task);
		if (counted == ioCounts.end())
			continue;
		TaskCrashes &crashes = counted->second;
		const auto blamed = static_cast<uint32>(
			std::count_if(cases.cases.begin(), cases.cases.end(), [](const CrashCase &inCase) { return inCase.blamed; }));
		const auto after_start = static_cast<uint32>(
			std::count_if(cases.cases.begin(), cases.cases.end(), [](const CrashCase &inCase) { return inCase.after_start; }));
		// Counts that were reset after these cases were written do not include them
		const bool fits =
			blamed <= crashes.blamed && after_start <= crashes.after_start && cases.cases.size() - blamed <= crashes.bystander;
		if (!fits)
			continue;
		crashes.cases = cases.cases;
		crashes.proved = cases.proved;
	}
}

} // namespace Loomreach::Jobs
