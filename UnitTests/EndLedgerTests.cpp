// The fake platform's check for tasks that are started again after an acknowledged run end: as strict as the platform's rules, and no
// stricter.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Platform/EndLedger.h>

#include <gtest/gtest.h>

namespace Loomreach
{

namespace
{

const ObservedRun cFirst{"job.0.0.0", 1, "a", 100};
const ObservedRun cSecond{"job.0.0.0", 2, "b", 200};

} // namespace

TEST(EndLedger, AStartAfterAnAcknowledgedEndIsAViolation)
{
	EndLedger ledger;
	EXPECT_TRUE(ledger.OnStarted(cFirst).empty());
	ledger.OnDone(cFirst, 1);
	EXPECT_TRUE(ledger.OnAcknowledged("a", 1, 150).empty());
	EXPECT_EQ(ledger.OnStarted(cSecond).size(), 1u);
}

TEST(EndLedger, AnAcknowledgedEndIsNeverRevoked)
{
	EndLedger ledger;
	ledger.OnDone(cFirst, 1);
	ledger.OnAcknowledged("a", 1, 150);
	// Neither a lease that expires later nor the loss of the worker revokes it
	ledger.OnLeaseExpired("a");
	ledger.OnWorkerLost("a");
	EXPECT_EQ(ledger.OnStarted(cSecond).size(), 1u);
	EXPECT_TRUE(ledger.Excused().empty());
}

TEST(EndLedger, AStartIsAViolationWhenTheEndIsAcknowledgedAfterwards)
{
	EndLedger ledger;
	ledger.OnDone(cFirst, 3);
	EXPECT_TRUE(ledger.OnStarted(cSecond).empty());
	// A poll that acknowledges only earlier ends, or ends of another worker, does not acknowledge this one
	EXPECT_TRUE(ledger.OnAcknowledged("a", 2, 300).empty());
	EXPECT_TRUE(ledger.OnAcknowledged("b", 3, 300).empty());
	const std::vector<std::string> lines = ledger.OnAcknowledged("a", 3, 400);
	ASSERT_EQ(lines.size(), 1u);
	// The line names both runs with their workers and times
	for (const char *word : {"run 1 on a at 100", "run 2 on b at 200", "taken note of at 400"})
		EXPECT_NE(lines[0].find(word), std::string::npos) << word;
}

/// Once the lease of a worker has expired, its tasks may be started again, unless their end was acknowledged before.
TEST(EndLedger, ALapseVoidsEndsNotYetAcknowledged)
{
	EndLedger ledger;
	ledger.OnDone(cFirst, 1);
	EXPECT_TRUE(ledger.OnStarted(cSecond).empty());
	ledger.OnLeaseExpired("a");
	EXPECT_TRUE(ledger.OnAcknowledged("a", 1, 300).empty());
	EXPECT_TRUE(ledger.OnStarted({"job.0.0.0", 3, "c", 350}).empty());
	// Allowed, but listed
	EXPECT_EQ(ledger.Excused().size(), 2u);
}

TEST(EndLedger, ALapseVoidsNoLaterEnd)
{
	EndLedger ledger;
	ledger.OnLeaseExpired("a");
	ledger.OnDone(cFirst, 1);
	EXPECT_TRUE(ledger.OnStarted(cSecond).empty());
	EXPECT_EQ(ledger.OnAcknowledged("a", 1, 300).size(), 1u);
}

TEST(EndLedger, CountsEndsNotYetAcknowledged)
{
	EndLedger ledger;
	ledger.OnDone(cFirst, 1);
	ledger.OnDone({"job.0.0.1", 1, "a", 120}, 2);
	EXPECT_EQ(ledger.UnacknowledgedCount("a"), 2u);
	ledger.OnAcknowledged("a", 1, 150);
	EXPECT_EQ(ledger.UnacknowledgedCount("a"), 1u);
	ledger.OnLeaseExpired("a");
	EXPECT_EQ(ledger.UnacknowledgedCount("a"), 0u);
}

TEST(EndLedger, ALapseOfOneWorkerVoidsNoEndOfAnother)
{
	EndLedger ledger;
	ledger.OnDone(cFirst, 1);
	ledger.OnLeaseExpired("b");
	EXPECT_TRUE(ledger.OnStarted(cSecond).empty());
	EXPECT_EQ(ledger.OnAcknowledged("a", 1, 300).size(), 1u);
}

} // namespace Loomreach
