// Forecast of the rate at which work arrives at a pool. Moving a host to another pool takes about two seconds, so a pool that requests only
// its present demand gets its hosts too late whenever the load changes.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// Recent arrivals at one pool. The rate is the number of jobs times their mean size, because sizes of single jobs do not predict those of
/// the next ones.
class ArrivalRate
{
public:
	/// Adds an arrived job. `inWork`: its total work, thousandths of a core times seconds.
	void AddJob(Millis inNow, int64 inWork);
	/// Predicted work per second at `inLead` ms from now, thousandths of a core.
	int64 Forecast(Millis inLead, Millis inNow);

private:
	static constexpr Millis cWindowMs = 1000; ///< Short compared with a load change (4 to 9 s), long compared with the gap between jobs.
	static constexpr Millis cSurgeMs = 300;   ///< A rise in load first appears as many jobs within this time.
	static constexpr size_t cSurgeJobs = 5;   ///< Fewer jobs are no surge, whatever their size.
	/// A change counts if it exceeds this many standard deviations of a Poisson count.
	static constexpr double cSignificantDeviations = 1.5;
	static constexpr double cMaxGrowth = 2.5; ///< Limit of the forecast as a multiple of the present rate.
	static constexpr double cSizeGain = 0.02; ///< Weight of a new job in the mean size, once there are many jobs.

	/// Jobs that arrived after `inFrom`, up to `inTo`.
	size_t CountBetween(Millis inFrom, Millis inTo) const;

	std::deque<Millis> arrived; ///< Times of arrival in the last two windows.
	double mean_work = 0.0;     ///< Moving average of the jobs' total work.
	uint32 jobs = 0;            ///< Number of jobs added so far.
};

} // namespace Loomreach::Jobs
