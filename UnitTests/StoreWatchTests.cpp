// When a store counts as silent.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/StoreWatch.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

TEST(StoreWatch, NothingAskedNothingMissed)
{
	StoreWatch watch;
	EXPECT_FALSE(watch.IsSilent(1000000));
	watch.OnSent(1000);
	watch.OnAnswered(1000, 1004);
	EXPECT_FALSE(watch.IsSilent(1000000));
}

TEST(StoreWatch, CallsWithoutAnswerMakeItSilentSoon)
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
	EXPECT_FALSE(watch.IsSilent(5200));
	// A later call does not begin the wait anew
	watch.OnSent(5300);
	EXPECT_TRUE(watch.IsSilent(5500));
	// Nor does it stay silent once it answers
	watch.OnAnswered(5300, 6000);
	EXPECT_FALSE(watch.IsSilent(6001));
}

TEST(StoreWatch, ASlowStoreIsNotSilent)
{
	// The users' slow store answers in 240 to 360 ms, and in turn
	StoreWatch watch;
	watch.OnSent(0);
	watch.OnAnswered(0, 360);
	watch.OnSent(1000);
	EXPECT_FALSE(watch.IsSilent(1900));
	watch.OnAnswered(1000, 1900);
	EXPECT_LE(watch.Patience(), 1800);
	watch.OnSent(2000);
	EXPECT_TRUE(watch.IsSilent(3900));
}

TEST(TurnedAwayWatch, AnOwnerThatTheStoreTurnsAwayLetsGoBeforeItsLeaseIsOver)
{
	// The users' load: a third of the hosts turned away for 9 s as a turn of demand begins. Their cells stood still for 2.3 s
	TurnedAwayWatch watch;
	EXPECT_FALSE(watch.Note(true, false, 0)); // Nobody reaches the store: giving up helps nobody
	EXPECT_FALSE(watch.Note(true, true, 100));
	EXPECT_FALSE(watch.Note(true, true, 200));
	EXPECT_TRUE(watch.Note(true, true, 250));
	// One answer ends it
	EXPECT_FALSE(watch.Note(false, true, 300));
	EXPECT_FALSE(watch.Note(true, true, 350));
	EXPECT_TRUE(watch.Note(true, true, 500));
}

TEST(StoreWatch, OneAnswerAmongLostOnesIsEnough)
{
	StoreWatch watch;
	watch.OnSent(0);
	watch.OnSent(10);
	watch.OnAnswered(10, 14);
	EXPECT_FALSE(watch.IsSilent(600));
	watch.OnSent(600);
	EXPECT_FALSE(watch.IsSilent(900));
}

} // namespace Loomreach::Jobs
