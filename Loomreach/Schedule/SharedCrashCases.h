// Crash cases of a job in a layout that grows with the number of runs at a crash. All runs of a step at one crash have the same other
// suspects, so with a list for each of them a record would grow with the square of that number.

#pragma once

#include <Loomreach/Schedule/TaskCrashes.h>

namespace Loomreach::Jobs
{

/// A case that refers to a list of suspects.
struct SharedCrashCase
{
	static constexpr uint32 cNotKept = 0xffffffff; ///< Value of `suspects`: there were some, which the record has no room for.

	bool blamed = false; ///< This member and the next two: see CrashCase.
	bool after_start = false;
	bool chance = false;
	uint32 suspects = cNotKept; ///< Index of the list.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->blamed, this->after_start, this->chance, this->suspects);
	}
};

/// Cases of one task.
struct SharedTaskCases
{
	std::vector<SharedCrashCase> cases;
	bool proved = false; ///< See TaskCrashes.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cases, this->proved);
	}
};

/// The record of a job. Invariants: an index of a case is cNotKept or below the number of lists; the encoding has at most
/// cMaxCrashCaseBytes.
struct SharedCrashCases
{
	std::vector<std::vector<CrashSuspect>> lists;
	std::map<CrashCounts::key_type, SharedTaskCases> tasks; ///< Tasks without an entry have no known cases.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->lists, this->tasks);
	}
};

/// Puts the cases of a job into the shared layout. Where they exceed cMaxCrashCaseBytes, lists of suspects are left out first, then
/// tasks; a proved task is never left out. `outComplete`: nothing was left out.
SharedCrashCases ShareCrashCases(const CrashCounts &inCounts, bool &outComplete);
/// Restores the cases. A list that is not kept becomes one unknown suspect.
CrashCasesByTask UnshareCrashCases(const SharedCrashCases &inShared);

} // namespace Loomreach::Jobs
