// Closed pools of a cell, and the refusal of submissions to them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/PoolClosure.h>
#include <Loomreach/Core/Hash.h>

namespace Loomreach::Jobs
{

static constexpr int cRetryAfterS = 5;
/// Callers are told to wait up to this much longer, by a hash of the job's id, so that they do not all return at once.
static constexpr uint64 cRetrySpreadS = 2;
/// Older reports do not count. Hosts hear of each owner every 0.5 to 1.5 s, and a successor takes over within 4 s: nobody confirms these
/// any more.
static constexpr Millis cMaxReportAgeMs = 10000;

uint32 PoolHash(std::string_view inPool)
{
	// The cell is the remainder of the same hash
	return static_cast<uint32>(HashBytes(inPool) >> 32);
}

void PoolClosure::SetWorkers(const std::vector<WorkerEntry> &inWorkers, bool inMayBeIncomplete)
{
	if (!inMayBeIncomplete)
		this->zones.clear();
	for (const WorkerEntry &worker : inWorkers)
		this->zones[PoolHash(worker.pool)].insert(worker.availability_zone);
	this->are_workers_known = true;
	this->Update();
}

void PoolClosure::SetEvacuated(const std::set<std::string> &inZones)
{
	this->evacuated = inZones;
	this->Update();
}

void PoolClosure::Inherit(const std::vector<uint32> &inClosed)
{
	if (!this->are_workers_known && !this->evacuated.empty())
		this->closed = inClosed;
}

void PoolClosure::Update()
{
	// Until the workers are known, the inherited state holds while any zone is evacuated
	if (!this->are_workers_known && !this->evacuated.empty())
		return;
	this->closed.clear();
	for (const auto &[pool, zones_of_pool] : this->zones)
		if (std::includes(this->evacuated.begin(), this->evacuated.end(), zones_of_pool.begin(), zones_of_pool.end()))
			this->closed.push_back(pool);
}

std::optional<PoolRefusal> RefuseSubmission(std::string_view inPool, std::string_view inJob,
											const std::optional<ClosedPoolsReport> &inReport)
{
	if (!inReport.has_value() || inReport->age_ms > cMaxReportAgeMs ||
		std::find(inReport->pools.begin(), inReport->pools.end(), PoolHash(inPool)) == inReport->pools.end())
		return std::nullopt;
	return PoolRefusal{cRetryAfterS + static_cast<int>(HashBytes(inJob) % (cRetrySpreadS + 1)), inReport->age_ms};
}

} // namespace Loomreach::Jobs
