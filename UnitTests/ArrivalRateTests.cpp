// The forecast of arriving work.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ArrivalRate.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Jobs of one size, so many in each tenth of a second from `inFrom` on; returns the end.
Millis Play(ArrivalRate &ioRate, const std::vector<int> &inEachTenth, Millis inFrom, int64 inWork)
{
	Millis now = inFrom;
	for (int jobs : inEachTenth)
	{
		for (int i = 0; i < jobs; ++i)
			ioRate.Note(now + i, inWork);
		now += 100;
	}
	return now;
}

constexpr Millis cLead = 2000;

} // namespace

TEST(ArrivalRate, IsTheRateWhileItIsSteady)
{
	ArrivalRate rate;
	const Millis now = Play(rate, std::vector<int>(30, 2), 0, 1000);
	EXPECT_NEAR(rate.Forecast(cLead, now), 20 * 1000, 1500);
}

TEST(ArrivalRate, LooksAheadOfARisingLoad)
{
	// Failed first (kkt-loom-grown, quiet-1): asked for what came in the last second, a pool got its hosts two seconds late
	ArrivalRate rate;
	std::vector<int> rising(10, 2);
	rising.insert(rising.end(), 10, 5);
	const Millis now = Play(rate, rising, 0, 1000);
	EXPECT_GT(rate.Forecast(cLead, now), 80 * 1000);
	EXPECT_LE(rate.Forecast(cLead, now), 125 * 1000);
}

TEST(ArrivalRate, LetsGoOfAFallingLoad)
{
	ArrivalRate rate;
	std::vector<int> falling(10, 8);
	falling.insert(falling.end(), 10, 3);
	const Millis now = Play(rate, falling, 0, 1000);
	EXPECT_LT(rate.Forecast(cLead, now), 10 * 1000);
}

TEST(ArrivalRate, IsNotMovedByOneLargeJob)
{
	ArrivalRate rate;
	Millis now = Play(rate, std::vector<int>(40, 1), 0, 1000);
	const int64 before = rate.Forecast(cLead, now);
	rate.Note(now, 30000);
	EXPECT_LT(rate.Forecast(cLead, now), before * 2);
}

TEST(ArrivalRate, NothingComesOfNothing)
{
	ArrivalRate rate;
	EXPECT_EQ(rate.Forecast(cLead, 1000), 0);
	const Millis now = Play(rate, std::vector<int>(10, 3), 0, 1000);
	EXPECT_EQ(rate.Forecast(cLead, now + 5000), 0);
}

} // namespace Loomreach::Jobs
