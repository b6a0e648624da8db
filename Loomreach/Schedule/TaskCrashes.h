// Worker crashes during runs of a task, as stored in a cell's log.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Most suspects that are kept of one crash. With as many candidates a crash says little about any one of them.
inline constexpr size_t cMaxCrashSuspects = 256;
/// Most bytes of the crash cases in one record of a job. Rewritten with each crash of the job.
inline constexpr size_t cMaxCrashCaseBytes = 65'536;
/// Crash cases up to this size are stored in the layout that earlier versions read.
inline constexpr size_t cMaxUnsharedCaseBytes = 16'384;

/// Another suspect of a crash: a task. Others of its step may run well although they run the same program.
struct CrashSuspect
{
	std::string job;
	uint32 unit = 0;            ///< Index of the step's record.
	std::optional<uint32> task; ///< Not set in records of earlier versions: any task of the step.

	auto operator<=>(const CrashSuspect &) const = default;
	bool operator==(const CrashSuspect &) const = default;
	/// Stands for suspects that are not kept. No job has an empty id, so the suspect is never cleared.
	static CrashSuspect Unknown() { return {}; }
	/// The task is in the upper half of the number, plus one. Earlier versions read the whole as a step that does not exist, and take the
	/// suspect for undecided.
	template <class Archive>
	void save(Archive &ioArchive) const
	{
		const uint64 upper = this->task.has_value() ? uint64{*this->task} + 1 : 0;
		ioArchive(this->job, this->unit | (upper << cTaskShift));
	}
	template <class Archive>
	void load(Archive &ioArchive)
	{
		uint64 number = 0;
		ioArchive(this->job, number);
		this->unit = static_cast<uint32>(number);
		this->task = number >> cTaskShift == 0 ? std::nullopt : std::optional(static_cast<uint32>((number >> cTaskShift) - 1));
	}

private:
	static constexpr int cTaskShift = 32;
};

/// One worker crash during a run of a task.
struct CrashCase
{
	bool blamed = false;                ///< Whether the task may have caused the crash; otherwise it is counted as a bystander.
	bool after_start = false;           ///< Whether the crash came right after the start of the task's run, with no sign of coincidence.
	bool chance = false;                ///< Other workers were lost at the same time, and no task can have caused their loss.
	std::vector<CrashSuspect> suspects; ///< Other suspects, cMaxCrashSuspects at most.

	bool operator==(const CrashCase &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->blamed, this->after_start, this->chance, this->suspects);
	}
};

/// Worker crashes during runs of one task. Invariant: each case is included in the counts. For a counted crash without a case the other
/// suspects are not known.
struct TaskCrashes
{
	uint32 blamed = 0;      ///< The task may have caused the crash.
	uint32 after_start = 0; ///< Of `blamed`: right after the start of the task's run, with no sign of coincidence.
	uint32 bystander = 0;   ///< A run that had started later is the more likely cause, or the crash says nothing about the task.
	std::vector<CrashCase> cases;
	bool proved = false; ///< Its job was failed because the task crashes its workers.

	uint32 Total() const { return this->blamed + this->bystander; }
	/// Only the counts: `cases` and `proved` are in a record of their own, which earlier versions skip.
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->blamed, this->after_start, this->bystander);
	}
};

/// Crashes of a job's tasks, by index of the step's record and of the task; only tasks with crashes.
using CrashCounts = std::map<std::pair<uint64, uint32>, TaskCrashes>;

/// The part of a task's crashes that is stored apart from the counts.
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

/// Cases of a job's tasks, keyed as the counts are.
using CrashCasesByTask = std::map<std::pair<uint64, uint32>, CrashCases>;

/// A crash that is included in the counts, of a run that the log still places on the worker. The run names the worker, since a run number
/// is used once; the run and the incarnation that ended identify the crash. Each owner that finds it again must leave the counts as they
/// are.
struct CountedCrash
{
	uint32 unit = 0; ///< Index of the step's record.
	uint32 task = 0;
	uint32 run = 0;
	int64 started_ms = 0; ///< Start time of the incarnation that ended.

	bool operator==(const CountedCrash &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->unit, this->task, this->run, this->started_ms);
	}
};

/// The part that is stored apart from the counts.
CrashCasesByTask ExtractCrashCases(const CrashCounts &inCounts);
/// Merges stored cases into the counts. Cases that the counts do not include are ignored: an owner of an earlier version, which does not
/// know the cases, may have changed or removed the counts since.
void MergeCrashCases(CrashCounts &ioCounts, const CrashCasesByTask &inCases);
/// Size of the cases as a record of CrashCasesByTask, an upper bound.
size_t UnsharedCaseBytes(const CrashCounts &inCounts);

} // namespace Loomreach::Jobs
