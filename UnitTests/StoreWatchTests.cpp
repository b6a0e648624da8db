// When a store counts as unresponsive, and when a host that the store refuses counts as isolated from it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/StoreWatch.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

TEST(StoreWatch, IsResponsiveWithoutOpenCalls)
{
	StoreWatch watch;
	EXPECT_FALSE(watch.IsUnresponsive(1000000));
	watch.OnSent(1000);
	watch.OnAnswered(1000, 1004);
	EXPECT_FALSE(watch.IsUnresponsive(1000000));
}

TEST(StoreWatch, CallsWithoutAnswerMakeItUnresponsive)
{
	StoreWatch watch;
	for (Millis at = 0; at < 5000; at += 500)
	{
		watch.OnSent(at);
		watch.OnAnswered(at, at + 4);
	}
	watch.OnSent(5000);
	EXPECT_FALSE(watch.IsLate(5100));
	EXPECT_TRUE(watch.IsLate(5200));
	EXPECT_FALSE(watch.IsUnresponsive(5200));
	// A later call does not restart the wait
	watch.OnSent(5300);
	EXPECT_TRUE(watch.IsUnresponsive(5500));
	// An answer ends it
	watch.OnAnswered(5300, 6000);
	EXPECT_FALSE(watch.IsUnresponsive(6001));
}

TEST(StoreWatch, ASlowStoreIsNotUnresponsive)
{
	// A slow store answers in 240 to 360 ms, one call after the other
	StoreWatch watch;
	watch.OnSent(0);
	watch.OnAnswered(0, 360);
	watch.OnSent(1000);
	EXPECT_FALSE(watch.IsUnresponsive(1900));
	watch.OnAnswered(1000, 1900);
	EXPECT_LE(watch.AnswerTimeout(), 1800);
	watch.OnSent(2000);
	EXPECT_TRUE(watch.IsUnresponsive(3900));
}

TEST(StoreIsolationWatch, AnOwnerThatTheStoreRefusesReleasesItsCellsBeforeItsLeaseExpires)
{
	// The store refuses a third of the hosts for 9 s while demand rises. Owners that kept their cells until their leases expired left them
	// without an owner for 2.3 s
	StoreIsolationWatch watch;
	EXPECT_FALSE(watch.Update(true, false, 0)); // No host reaches the store: releasing the cells would not help
	EXPECT_FALSE(watch.Update(true, true, 100));
	EXPECT_FALSE(watch.Update(true, true, 200));
	EXPECT_TRUE(watch.Update(true, true, 250));
	// One answer resets the watch
	EXPECT_FALSE(watch.Update(false, true, 300));
	EXPECT_FALSE(watch.Update(true, true, 350));
	EXPECT_TRUE(watch.Update(true, true, 500));
}

/// Guards against taking a store for unresponsive for one lost answer while it answers other calls.
TEST(StoreWatch, OneAnswerAmongLostOnesIsEnough)
{
	StoreWatch watch;
	watch.OnSent(0);
	watch.OnSent(10);
	watch.OnAnswered(10, 14);
	EXPECT_FALSE(watch.IsUnresponsive(600));
	watch.OnSent(600);
	EXPECT_FALSE(watch.IsUnresponsive(900));
}

} // namespace Loomreach::Jobs
