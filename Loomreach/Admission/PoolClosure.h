// Decides which pools are closed, and which submissions are refused for that. Load pattern: an operator evacuates every availability zone
// of a pool. Nothing may be started there, so jobs that were accepted would only wait, and all of them would be late when a zone is
// reopened.
//
// The owner of a cell knows its workers and tells the other hosts in its heartbeats which pools are closed (OwnedCell::closed_pools). Pure:
// does no I/O, time is passed in.

#pragma once

#include <Loomreach/Ownership/OwnerTable.h>
#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Identifies a pool in heartbeats, where its name would take more bytes. Independent of the bits by which pools are assigned to cells.
uint32 PoolHash(std::string_view inPool);

/// The owner's side: the closed pools of one cell.
class PoolClosure
{
public:
	/// Sets the listed workers of the cell. `inMayBeIncomplete`: entries may have expired only because the store was unavailable, so
	/// workers that are missing still count.
	void SetWorkers(const std::vector<WorkerEntry> &inWorkers, bool inMayBeIncomplete);
	void SetEvacuated(const std::set<std::string> &inZones);
	/// Takes over what the previous owner announced, until the workers are known. Ignored if no zone is evacuated.
	void Inherit(const std::vector<uint32> &inClosed);
	/// Hashes of the closed pools, in ascending order. A pool is closed if it has a listed worker and no listed worker in an open zone.
	const std::vector<uint32> &Closed() const { return this->closed; }

private:
	void Update();

	std::map<uint32, std::set<std::string>> zones; ///< Zones of the listed workers, by hash of the pool.
	std::set<std::string> evacuated;
	bool are_workers_known = false;
	std::vector<uint32> closed;
};

/// Refusal of a submission to a closed pool.
struct PoolRefusal
{
	int retry_after_s = 0;
	Millis heard_ms_ago = 0; ///< Age of the report that the pool is closed.
};

/// Whether the submission of job `inJob` to a pool is refused. `inReport`: the newest report about the pool's cell; nothing: none was
/// heard.
std::optional<PoolRefusal> RefuseSubmission(std::string_view inPool, std::string_view inJob,
											const std::optional<ClosedPoolsReport> &inReport);

} // namespace Loomreach::Jobs
