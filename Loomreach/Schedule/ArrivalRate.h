// How much work comes in, and how much is about to. A host takes about two seconds to change its pool, so a pool that asks for
// what it needs now is always late when its load turns.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// Arrivals of one pool of late. Counts of jobs times their mean size: the sizes of single jobs say nothing about the next second.
class ArrivalRate
{
public:
	/// A job arrived. `inWork`: what it needs in all, thousandths of a core times seconds.
	void Note(Millis inNow, int64 inWork);
	/// Work that comes in each second `inLead` from now, thousandths of a core.
	int64 Forecast(Millis inLead, Millis inNow);

private:
	static constexpr Millis cWindowMs = 1000;  ///< Short against a turn of load (4 to 9 s on the users' days), long against two jobs' gap.
	static constexpr Millis cSurgeMs = 300;    ///< A turn of load shows first as many jobs at once.
	static constexpr size_t cSurgeJobs = 5;    ///< Fewer are no surge, however large.
	static constexpr double cCertain = 1.5;    ///< A change counts beyond this many standard deviations of a Poisson count.
	static constexpr double cMostGrowth = 2.5; ///< A forecast is at most this many times the present rate.
	static constexpr double cSizeShare = 0.02; ///< Weight of a new job in the mean size, once there are many.

	/// Jobs that arrived after `inFrom`, up to `inTo`.
	size_t CountBetween(Millis inFrom, Millis inTo) const;

	std::deque<Millis> arrived; ///< Of the last two windows.
	double mean_work = 0.0;
	uint32 jobs = 0;
};

} // namespace Loomreach::Jobs
