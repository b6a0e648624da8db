// Divides the limits of the store among the entry hosts: how often, and over what time, each of them may read.
//
// What every host reads for itself grows with the number of hosts, and what every host reads of all others with its square. Intervals
// that grow with the number of hosts keep the total load constant. Pure: does no I/O.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Limits of the store over all callers.
struct StoreLimits
{
	int64 reads_per_s = 2000;     ///< Read calls.
	int64 read_kb_per_s = 80'000; ///< Bytes of all reads, in units of 1000.
};

/// Computes intervals between reads; see the head of the file.
class StoreBudget
{
public:
	explicit StoreBudget(const StoreLimits &inLimits) : limits(inLimits) {}

	/// Time between two rounds of `inCalls` reads, made by each of `inHosts` hosts, ms.
	Millis RoundInterval(size_t inHosts, uint32 inCalls) const;
	/// Time over which `inHosts` hosts should spread their reads of the same `inBytes`, ms.
	Millis SpreadTime(size_t inHosts, size_t inBytes) const;

private:
	/// Percent of a limit that one purpose may use: searches for free cells, a new configuration and the reads of a takeover may
	/// coincide.
	static constexpr int64 cSharePercent = 25;

	StoreLimits limits;
};

} // namespace Loomreach::Jobs
