// Which log keeps what: the rule from a pool to its cell, and the names of the product's logs. The rule never changes under a running pool:
// it depends on the pool's name and on the number of partitions, which the platform fixes.

#pragma once

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Topics that hold cells' records; as many again hold their inboxes. The store takes 100 topics in all.
inline constexpr uint32 cCellTopics = 40;
/// The cell of the fleet: waves and moves of hosts.
inline constexpr uint32 cFleetCell = 0xffffffff;

/// The cell of a pool. Two pools may share a cell; they then share an owner.
inline uint32 CellOf(std::string_view inPool, uint32 inParts)
{
	return static_cast<uint32>(HashBytes(inPool) % (static_cast<uint64>(cCellTopics) * inParts));
}

/// The log of a cell's records, by key.
inline LogName CellLog(uint32 inCell, uint32 inParts)
{
	if (inCell == cFleetCell)
		return {"keyed.fleet", 0};
	return {"keyed.cell" + std::to_string(inCell / inParts), inCell % inParts};
}

/// The log into which entry hosts put what callers ask of a cell.
inline LogName InboxLog(uint32 inCell, uint32 inParts) { return {"inbox" + std::to_string(inCell / inParts), inCell % inParts}; }

/// Partitions that hosts' heartbeats are spread over. A slow store takes its appends in turn, 240 ms each (users' figure): six owners in
/// one partition wait longer for each other than a lease lasts, two do not. The last one is for hosts without cells, so that owners do not
/// wait for those. Everybody reads all of them, so more would cost more.
inline constexpr uint32 cHostParts = 4;

/// A log of hosts' heartbeats.
inline LogName HostsLog(uint32 inPart) { return {"keyed.hosts", inPart}; }

} // namespace Loomreach::Jobs
