// Maps pools to cells, and cells to the logs that hold their data. The mapping depends only on the name of the pool and on the number of
// partitions per topic, which the platform fixes, so it never changes while a pool is in use.

#pragma once

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Topics that hold records of cells; as many again hold their inboxes. The store allows 100 topics in total.
inline constexpr uint32 cCellTopics = 40;
/// The fleet cell. It keeps the maintenance waves and the moves of hosts.
inline constexpr uint32 cFleetCell = 0xffffffff;

/// The cell of a pool. Pools that map to the same cell share an owner.
inline uint32 CellOf(std::string_view inPool, uint32 inPartitions)
{
	return static_cast<uint32>(HashBytes(inPool) % (static_cast<uint64>(cCellTopics) * inPartitions));
}

/// The keyed log that holds the records of a cell.
inline LogName CellLog(uint32 inCell, uint32 inPartitions)
{
	if (inCell == cFleetCell)
		return {"keyed.fleet", 0};
	return {"keyed.cell" + std::to_string(inCell / inPartitions), inCell % inPartitions};
}

/// The log to which entry hosts append the requests of callers to a cell.
inline LogName InboxLog(uint32 inCell, uint32 inPartitions)
{
	return {"inbox" + std::to_string(inCell / inPartitions), inCell % inPartitions};
}

/// Number of partitions for the heartbeats of hosts. A slow store handles the appends to a partition one after the other, at 240 ms each:
/// six owners in one partition would wait for each other longer than a lease lasts, two do not. The last partition is for hosts
/// without cells, so that owners do not queue behind them. Every host reads all partitions, so more of them would cost more reads.
inline constexpr uint32 cHeartbeatPartitions = 4;

/// One partition of the log of host heartbeats.
inline LogName HeartbeatLog(uint32 inPart) { return {"keyed.hosts", inPart}; }

} // namespace Loomreach::Jobs
