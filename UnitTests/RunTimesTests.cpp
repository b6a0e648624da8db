// Run times expected from the estimates of callers and the past runs of a queue.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/RunTimes.h>
#include <Loomreach/Schedule/StepRunTimes.h>

#include <gtest/gtest.h>
#include <random>

namespace Loomreach::Jobs
{

namespace
{

JobSpec SpecOf(const std::string &inQueue)
{
	JobSpec spec;
	spec.queue = inQueue;
	return spec;
}

StepSpec StepOf(Millis inEstimate)
{
	StepSpec step;
	step.estimate_ms = inEstimate;
	return step;
}

/// Learns `inSteps` steps with log-normal run times around 1 s, of standard deviation `inSpread`, whose estimates are off by log-normal
/// factors of standard deviation `inEstimateError`.
void Feed(RunTimes &ioTimes, double inSpread, double inEstimateError, size_t inSteps)
{
	std::mt19937 random(7);
	std::normal_distribution<double> normal;
	for (size_t i = 0; i < inSteps; ++i)
	{
		const double took = 1000.0 * std::exp(inSpread * normal(random));
		const double estimate = took * std::exp(inEstimateError * normal(random));
		ioTimes.Learn(SpecOf("q"), StepOf(static_cast<Millis>(estimate)), static_cast<Millis>(took));
	}
}

} // namespace

TEST(RunTimes, TheEstimateCountsUntilRunsAreKnown)
{
	RunTimes times;
	EXPECT_EQ(times.Expect(SpecOf("q"), StepOf(700)), 700);
	EXPECT_EQ(times.Expect(SpecOf("q"), StepOf(0)), 1);
}

TEST(RunTimes, GoodEstimatesAreBelievedAndBadOnesAreNot)
{
	// Guards against expecting the mean of its queue for every task, whatever estimate its caller gives.
	RunTimes good;
	Feed(good, 0.45, 0.1, 400);
	EXPECT_NEAR(static_cast<double>(good.Expect(SpecOf("q"), StepOf(2000))), 2000.0, 200.0);
	EXPECT_NEAR(static_cast<double>(good.Expect(SpecOf("q"), StepOf(500))), 500.0, 60.0);
	RunTimes bad;
	Feed(bad, 0.1, 1.0, 400);
	EXPECT_NEAR(static_cast<double>(bad.Expect(SpecOf("q"), StepOf(2000))), 1000.0, 150.0);
	EXPECT_NEAR(static_cast<double>(bad.Expect(SpecOf("q"), StepOf(300))), 1000.0, 150.0);
}

TEST(RunTimes, WithoutAnEstimateTheMeanCounts)
{
	RunTimes times;
	Feed(times, 0.3, 0.3, 300);
	EXPECT_NEAR(static_cast<double>(times.Expect(SpecOf("q"), StepOf(0))), 1046.0, 120.0);
}

TEST(RunTimes, TheLongestOfManyIsLongerThanTheirMean)
{
	RunTimes times;
	const JobSpec spec = SpecOf("q");
	EXPECT_EQ(times.ExpectLongest(spec, 1000, 1), 1000);
	EXPECT_GT(times.ExpectLongest(spec, 1000, 6), 1250);
	EXPECT_GT(times.ExpectLongest(spec, 1000, 24), times.ExpectLongest(spec, 1000, 6));
	for (int i = 0; i < 200; ++i)
		times.LearnSpread(spec, 0.0);
	EXPECT_EQ(times.ExpectLongest(spec, 1000, 6), 1000);
}

TEST(StepRunTimes, SumsUpTheRunsOfAStep)
{
	StepRunTimes seen;
	EXPECT_EQ(seen.Count(), 0u);
	for (const Millis took : {800, 1000, 1200})
		seen.Add(took);
	EXPECT_EQ(seen.Count(), 3u);
	EXPECT_EQ(seen.Mean(), 1000);
	EXPECT_EQ(seen.Longest(), 1200);
	EXPECT_NEAR(seen.Spread(), 0.2, 1e-9);
}

} // namespace Loomreach::Jobs
