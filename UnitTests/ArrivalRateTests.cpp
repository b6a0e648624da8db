// Forecast of arriving work.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ArrivalRate.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Adds jobs of `inWork` each from `inFrom` on, as many in each interval of 100 ms as `inEachTenth` says. Returns the end of the last
/// interval.
Millis AddJobs(ArrivalRate &ioRate, const std::vector<int> &inEachTenth, Millis inFrom, int64 inWork)
{
	Millis now = inFrom;
	for (int jobs : inEachTenth)
	{
		for (int i = 0; i < jobs; ++i)
			ioRate.AddJob(now + i, inWork);
		now += 100;
	}
	return now;
}

constexpr Millis cLeadTimeMs = 2000;

} // namespace

TEST(ArrivalRate, IsTheRateWhileItIsSteady)
{
	ArrivalRate rate;
	const Millis now = AddJobs(rate, std::vector<int>(30, 2), 0, 1000);
	EXPECT_NEAR(rate.Forecast(cLeadTimeMs, now), 20 * 1000, 1500);
}

TEST(ArrivalRate, LooksAheadOfARisingLoad)
{
	// Guards against a forecast that only repeats what arrived in the last second: a pool would get its hosts two seconds too late.
	ArrivalRate rate;
	std::vector<int> rising(10, 2);
	rising.insert(rising.end(), 10, 5);
	const Millis now = AddJobs(rate, rising, 0, 1000);
	EXPECT_GT(rate.Forecast(cLeadTimeMs, now), 80 * 1000);
	EXPECT_LE(rate.Forecast(cLeadTimeMs, now), 125 * 1000);
}

TEST(ArrivalRate, FollowsAFallingLoad)
{
	ArrivalRate rate;
	std::vector<int> falling(10, 8);
	falling.insert(falling.end(), 10, 3);
	const Millis now = AddJobs(rate, falling, 0, 1000);
	EXPECT_LT(rate.Forecast(cLeadTimeMs, now), 10 * 1000);
}

TEST(ArrivalRate, IsNotMovedByOneLargeJob)
{
	ArrivalRate rate;
	Millis now = AddJobs(rate, std::vector<int>(40, 1), 0, 1000);
	const int64 before = rate.Forecast(cLeadTimeMs, now);
	rate.AddJob(now, 30000);
	EXPECT_LT(rate.Forecast(cLeadTimeMs, now), before * 2);
}

TEST(ArrivalRate, IsZeroWithoutArrivals)
{
	ArrivalRate rate;
	EXPECT_EQ(rate.Forecast(cLeadTimeMs, 1000), 0);
	const Millis now = AddJobs(rate, std::vector<int>(10, 3), 0, 1000);
	EXPECT_EQ(rate.Forecast(cLeadTimeMs, now + 5000), 0);
}

} // namespace Loomreach::Jobs
