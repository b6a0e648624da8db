// Workers that crashed while a task ran there, as a cell's log keeps them.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Tasks of a step, which run the same program, that may have caused a crash instead.
struct CrashRival
{
	std::string job;
	uint64 unit = 0; ///< Number of the step's record.

	bool operator==(const CrashRival &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->job, this->unit);
	}
};

/// One crash that a task was at.
struct CrashCase
{
	bool blamed = false;  ///< As counted in TaskCrashes,
	bool at_once = false; ///< likewise.
	bool chance = false;  ///< Other workers went at that moment of whose loss no task can be the cause.
	std::vector<CrashRival> rivals;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->blamed, this->at_once, this->chance, this->rivals);
	}
};

/// Workers that crashed while a task ran there. Invariant: each case is one of those counted; of others it is not known what else was
/// there.
struct TaskCrashes
{
	uint32 blamed = 0;  ///< The task may have done it.
	uint32 at_once = 0; ///< Of these, the ones right after its start, with nothing that speaks for chance.
	uint32 beside = 0;  ///< Something that had started later is likelier to have done it.
	std::vector<CrashCase> cases;
	bool proved = false; ///< Its job was given up for it.

	uint32 Total() const { return this->blamed + this->beside; }
	/// The counts alone: `cases` and `proved` have a record of their own, which earlier versions pass over.
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->blamed, this->at_once, this->beside);
	}
};

/// The same for the tasks of a job, by number of the step's record and of the task, where there were any.
using CrashCounts = std::map<std::pair<uint64, uint32>, TaskCrashes>;

/// What the log keeps of a task's crashes beside their counts.
struct CrashCases
{
	std::vector<CrashCase> cases;
	bool proved = false;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cases, this->proved);
	}
};

using CrashCasesByTask = std::map<std::pair<uint64, uint32>, CrashCases>;

/// What the log keeps beside the counts.
CrashCasesByTask CasesOf(const CrashCounts &inCounts);
/// Joins to the counts what the log kept beside them. An owner of an earlier version may have counted on, or removed counts, without it.
void TakeCases(CrashCounts &ioCounts, const CrashCasesByTask &inCases);

} // namespace Loomreach::Jobs
