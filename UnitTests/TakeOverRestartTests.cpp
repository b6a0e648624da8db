// A cell that changes hands while one of its workers starts again under its id: the successor must treat the incarnation as its predecessor
// did, from what the log says.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>
#include <UnitTests/IdentityHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// The tuning of an owner that learns from the log alone that a worker may hold a longer lease than owners grant.
static CellTuning TuningWithoutLongerLeases()
{
	CellTuning tuning;
	tuning.max_lease_ms = tuning.lease_ms;
	return tuning;
}

/// Guards against a successor that takes a worker's incarnation for the only one ever known: a start for the former one, which this one
/// has carried out with its longest lease, is given up after the usual lease.
TEST(TakeOverRestart, ASuccessorWaitsForAStartThatTheNextIncarnationHasCarriedOut)
{
	constexpr Millis cStartArrivesMs = 8000;
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	harness.Submit(MakeJob("job", 1, 1, 1000, 500));
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	const Order start = harness.starts.back();
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	for (const Order &order : harness.Step())
		if (order.kind == EOrder::Poll)
			harness.Answer(order, 2000);
	// Records of a job, for which no worker is large enough, bring the log up to date on the worker as well
	harness.Submit(MakeJob("other", 1, 1, 2 * cWorkerCpuMilli, 500));
	ASSERT_TRUE(harness.BeginAppend());
	harness.EndAppend();

	harness.cell = harness.Successor(TuningWithoutLongerLeases());
	const Millis taken_over_at = harness.now;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	std::vector<Order> unanswered;
	while (harness.now < taken_over_at + cStartArrivesMs)
	{
		unanswered = harness.Step();
		for (const Order &order : unanswered)
			if (harness.now < taken_over_at + cStartArrivesMs)
				harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	}
	for (int i = 0; i < 4 && unanswered.empty(); ++i)
		unanswered = harness.Step(200);
	ASSERT_FALSE(unanswered.empty());
	const Millis granted_at = harness.now;
	for (const Order &order : unanswered)
		harness.Answer(order, 2000, {{start.task, start.run, "", 10, 0}});
	ASSERT_EQ(harness.cell.Counts().runs, 1u);
	// Cut off from now on
	while (harness.now < granted_at + CellTuning{}.worker_lease_cap_ms)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
	while (harness.now < granted_at + LongestLease(CellTuning{}.worker_lease_cap_ms) + 1000)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 0u);
}

/// Guards against a log that forgets a start without an answer while the owner that sent it still holds its run back.
TEST(TakeOverRestart, TheLogNamesAnUnansweredStartForAsLongAsItsOwnerWaits)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	harness.Submit(MakeJob("job", 1, 1, 1000, 500));
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	const Millis sent_at = harness.now;
	harness.ListWorkers({});
	while (harness.now <= sent_at + cMaxOrderDelayMs)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	ASSERT_EQ(harness.cell.Counts().runs, 1u);
	// Any append brings the log up to date on the start as well
	harness.Submit(MakeJob("other", 1, 1, 2 * cWorkerCpuMilli, 500));
	ASSERT_TRUE(harness.BeginAppend());
	harness.EndAppend();
	harness.cell = harness.Successor(TuningWithoutLongerLeases());
	const Millis taken_over_at = harness.now;
	while (harness.now < taken_over_at + LongestLease(CellTuning{}.lease_ms) + 1000)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
}

} // namespace Loomreach::Jobs
