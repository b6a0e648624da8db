// The estimated backlog of a host's network link.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Platform/LinkUsage.h>

#include <gtest/gtest.h>

namespace Loomreach
{

static constexpr double cMbitPerS = 2.0;

/// Guards against a burst that delays heartbeats because nobody notices that it waits.
TEST(LinkUsage, ABurstWaitsAndDrains)
{
	LinkUsage link(cMbitPerS);
	const size_t second = link.BytesIn(1000);
	EXPECT_GT(second, 0u);
	EXPECT_LT(second, 250'000u);
	const size_t free = link.Room(0);
	link.OnSent(ETraffic::Start, second, 0);
	EXPECT_EQ(link.BacklogMs(0), 1000);
	EXPECT_EQ(link.Room(0), 0u);
	EXPECT_EQ(link.BacklogMs(400), 600);
	EXPECT_EQ(link.TransferMs(second, 400), 1600);
	EXPECT_EQ(link.BacklogMs(1000), 0);
	EXPECT_EQ(link.Room(5000), free);
}

/// Guards against a host that sends nothing because its settings do not name the rate of its link.
TEST(LinkUsage, AnUnknownRateLimitsNothing)
{
	LinkUsage link(0.0);
	link.OnSent(ETraffic::Start, 1'000'000'000, 0);
	EXPECT_EQ(link.BacklogMs(0), 0);
	EXPECT_EQ(link.TransferMs(1'000'000'000, 0), 0);
	EXPECT_EQ(link.Room(0), std::numeric_limits<size_t>::max());
}

} // namespace Loomreach
