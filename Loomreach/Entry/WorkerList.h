// The workers as their entries in the log show them.

#pragma once

#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Keeps the newest sound entry of each worker. Entries may be written by others than the worker itself.
class WorkerList
{
public:
	/// Start times up to this far in the future are taken for those of hosts whose clocks differ.
	static constexpr int64 cMaxClockLeadMs = 3'600'000;

	/// Takes an entry; nothing: one that could not be decoded. Returns false, with the reason, if the entry is refused: the worker's
	/// former entry then holds, since a worker that has left is removed and one that lives writes again.
	bool Take(const std::string &inId, std::optional<WorkerEntry> inEntry, int64 inWallMs);
	void Remove(const std::string &inId) { this->entries.erase(inId); }
	void Clear() { this->entries.clear(); }

	size_t Size() const { return this->entries.size(); }
	std::vector<WorkerEntry> All() const;

private:
	std::map<std::string, WorkerEntry> entries;
};

} // namespace Loomreach::Jobs
