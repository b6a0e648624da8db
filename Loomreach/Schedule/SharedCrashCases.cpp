// Conversion of crash cases to and from the layout with shared lists of suspects.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/SharedCrashCases.h>

namespace Loomreach::Jobs
{

// Sizes in the encoding. A test compares them with it.
static constexpr size_t cHeadBytes = 24;         ///< Head of the archive and the numbers of lists and tasks.
static constexpr size_t cListBytes = 8;          ///< Of a list without its suspects.
static constexpr size_t cSuspectBytes = 16;      ///< Of a suspect without the id of its job.
static constexpr size_t cTaskBytes = 21;         ///< Of a task without its cases.
static constexpr size_t cSharedCaseBytes = 7;    ///< Of a case.
static constexpr size_t cUnsharedCaseBytes = 11; ///< Of a case in CrashCasesByTask, without its suspects.

static size_t SuspectBytes(const std::vector<CrashSuspect> &inSuspects)
{
	size_t bytes = 0;
	for (const CrashSuspect &suspect : inSuspects)
		bytes += cSuspectBytes + suspect.job.size();
	return bytes;
}

size_t UnsharedCaseBytes(const CrashCounts &inCounts)
{
	size_t bytes = cHeadBytes;
	for (const auto &[task, crashes] : inCounts)
	{
		bytes += cTaskBytes;
		for (const CrashCase &crash : crashes.cases)
			bytes += cUnsharedCaseBytes + SuspectBytes(crash.suspects);
	}
	return bytes;
}

namespace
{

/// Adds lists of suspects to a record, each once, as long as there is room.
class SuspectLists
{
public:
	SuspectLists(SharedCrashCases &ioShared, size_t inRoom) : shared(ioShared), room(inRoom) {}

	/// Index of the list; cNotKept: there is no room for it.
	uint32 IndexOf(const std::vector<CrashSuspect> &inSuspects)
	{
		auto known = this->indices.find(&inSuspects);
		if (known != this->indices.end())
			return known->second;
		const size_t bytes = cListBytes + SuspectBytes(inSuspects);
		if (bytes > this->room)
			return SharedCrashCase::cNotKept;
		this->room -= bytes;
		this->shared.lists.push_back(inSuspects);
		return this->indices.emplace(&inSuspects, static_cast<uint32>(this->shared.lists.size() - 1)).first->second;
	}

private:
	struct ByContent
	{
		bool operator()(const std::vector<CrashSuspect> *inLeft, const std::vector<CrashSuspect> *inRight) const
		{
			return *inLeft < *inRight;
		}
	};

	SharedCrashCases &shared;
	size_t room; ///< Bytes.
	std::map<const std::vector<CrashSuspect> *, uint32, ByContent> indices;
};

} // namespace

SharedCrashCases ShareCrashCases(const CrashCounts &inCounts, bool &outComplete)
{
	outComplete = true;
	SharedCrashCases shared;
	size_t room = cMaxCrashCaseBytes - cHeadBytes;
	// Proved tasks first: without its proof a cause would no longer excuse the tasks that ran beside it
	for (const bool proved : {true, false})
		for (const auto &[task, crashes] : inCounts)
		{
			const size_t bytes = cTaskBytes + cSharedCaseBytes * crashes.cases.size();
			if (crashes.proved != proved)
				continue;
			outComplete = outComplete && bytes <= room;
			if (bytes > room)
				continue;
			room -= bytes;
			shared.tasks[task].proved = proved;
		}
	SuspectLists lists(shared, room);
	for (auto &[task, entry] : shared.tasks)
		for (const CrashCase &crash : inCounts.at(task).cases)
		{
			const uint32 index = lists.IndexOf(crash.suspects);
			outComplete = outComplete && index != SharedCrashCase::cNotKept;
			entry.cases.push_back({crash.blamed, crash.after_start, crash.chance, index});
		}
	return shared;
}

CrashCasesByTask UnshareCrashCases(const SharedCrashCases &inShared)
{
	CrashCasesByTask cases;
	for (const auto &[task, entry] : inShared.tasks)
	{
		CrashCases &restored = cases[task];
		restored.proved = entry.proved;
		for (const SharedCrashCase &crash : entry.cases)
		{
			const bool kept = crash.suspects < inShared.lists.size();
			restored.cases.push_back({crash.blamed, crash.after_start, crash.chance,
									  kept ? inShared.lists[crash.suspects] : std::vector<CrashSuspect>{CrashSuspect::Unknown()}});
		}
	}
	return cases;
}

} // namespace Loomreach::Jobs
