// Admission under a slow or unavailable store, over many hosts, in virtual time.

#include <Loomreach/Loomreach.h>

#include <UnitTests/AdmissionWorld.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cSlowFrom = 1000;
constexpr Millis cSlowUntil = 6500;

/// Submits records at a rate per second, spread over the hosts.
void SubmitAtRate(AdmissionWorld &ioWorld, Random &ioRandom, size_t inHosts, Millis inFrom, Millis inUntil, double inPerSecond)
{
	const double gap = 1000.0 / inPerSecond;
	for (double at = static_cast<double>(inFrom); at < static_cast<double>(inUntil); at += gap)
		ioWorld.Submit(ioRandom.Below(inHosts), static_cast<Millis>(at));
}

/// The arrivals of a day on which the store is 28 times slower for 5.5 s while one queue's demand rises.
void SlowStoreArrivals(AdmissionWorld &ioWorld, size_t inHosts, uint64 inSeed)
{
	Random random(inSeed);
	SubmitAtRate(ioWorld, random, inHosts, 0, cSlowFrom + 1100, 120.0);
	SubmitAtRate(ioWorld, random, inHosts, cSlowFrom + 1100, cSlowFrom + 4500, 300.0);
	SubmitAtRate(ioWorld, random, inHosts, cSlowFrom + 4500, cSlowUntil + 2000, 120.0);
	ioWorld.At(cSlowFrom, [&ioWorld] { ioWorld.append_ms = 112; });
	ioWorld.At(cSlowUntil, [&ioWorld] { ioWorld.append_ms = 4; });
}

} // namespace

/// Guards against a queue of seconds in the partition: with one call per host, 12, 8 and 5 records were accepted in six seconds.
TEST(Admission, ASlowStoreAcceptsNearlyEverythingWithinASecond)
{
	AdmissionWorld world(45, 1);
	SlowStoreArrivals(world, 45, 1);
	world.RunUntil(30000);
	EXPECT_EQ(world.Violations(), "");
	const double slow = world.Served(cSlowFrom, cSlowUntil, 1000);
	const double after = world.Served(cSlowUntil, cSlowUntil + 2000, 1000);
	std::printf("accepted/arrived by second: %s; served within 1 s: slow %.3f, after %.3f; most calls in the partition %zu, calls %zu, "
				"datagrams %zu\n",
				world.AcceptedBySecond(0, 10000).c_str(), slow, after, world.max_open_calls, world.calls, world.datagrams);
	EXPECT_GT(slow, 0.8);
	EXPECT_EQ(after, 1.0);
}

} // namespace Loomreach::Jobs
