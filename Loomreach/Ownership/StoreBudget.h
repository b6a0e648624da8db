// What the store gives to all entry hosts together, and the pace at which each of them may ask for its part.
//
// Whatever every host does for itself grows with the number of hosts, and what every host reads of all others with its square. A pace that
// follows the number of hosts keeps the sum the same. Pure.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// The store's limits over all callers.
struct StoreLimits
{
	int64 reads_per_s = 2000;     ///< Calls that read.
	int64 read_kb_per_s = 80'000; ///< Bytes of all reads.
};

/// See the head of the file.
class StoreBudget
{
public:
	explicit StoreBudget(const StoreLimits &inLimits) : limits(inLimits) {}

	/// Between two rounds of `inCalls` reads each, made by `inHosts` hosts.
	Millis RoundGap(size_t inHosts, uint32 inCalls) const;
	/// The time over which `inHosts` hosts should spread their reads of the same `inBytes`.
	Millis Spread(size_t inHosts, size_t inBytes) const;

private:
	/// One purpose may use this part of a limit, percent: looks for free cells, a new configuration and a take-over's reading may coincide.
	static constexpr int64 cShare = 25;

	StoreLimits limits;
};

} // namespace Loomreach::Jobs
