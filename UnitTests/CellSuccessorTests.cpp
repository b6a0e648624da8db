// What a successor may conclude of a worker that starts again under its id: which starts had an answer, and which leases are in force.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>
#include <UnitTests/IncarnationHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// More than the usual lease, and more than the longest one of a worker.
constexpr Millis cUsualWaitMs = 4500;
constexpr Millis cLongestWaitMs = 10600;

/// Sends the start of a job's only task to the worker, which has answered polls.
void StartOneTask(IncarnationHarness &ioHarness, const std::string &inJob = "job")
{
	ioHarness.cell.Ingest({EInbox::Submit, MakeJob(inJob, 1, 1, 1000, 500)}, ioHarness.cell.InboxNext(), ioHarness.now, ioHarness.now);
	ASSERT_EQ(ioHarness.WriteAndDispatch(), 1u);
}

/// Lets the worker answer a poll without runs.
void AnswerPolls(IncarnationHarness &ioHarness, int64 inStartedMs, Millis inClock)
{
	for (const Order &order : ioHarness.TakeDueOrders())
		ioHarness.cell.OnAnswer(order, ioHarness.PollAnswer(inStartedMs, inClock), ioHarness.now, ioHarness.now);
}

/// Drives a successor whose worker is listed and answers every poll without runs. Returns the number of starts that it sends.
size_t StartsSent(Cell &ioSuccessor, const IncarnationHarness &inHarness, Millis inNow)
{
	WorkerEntry entry;
	entry.id = "w";
	entry.pool = "pool";
	entry.address = {"127.0.0.1", 1};
	entry.capacity = {16000, 32768, 0};
	entry.started_ms = 1000;
	ioSuccessor.SetWorkers({entry}, inNow);
	ioSuccessor.Plan(inNow, inNow);
	if (!ioSuccessor.TakeBatch(inNow).empty())
		ioSuccessor.OnAppended(inNow);
	size_t starts = 0;
	for (const Order &order : ioSuccessor.TakeOrders(inNow))
		if (order.kind == EOrder::Start)
			++starts;
		else
			ioSuccessor.OnAnswer(order, inHarness.PollAnswer(1000, inNow), inNow, inNow);
	return starts;
}

/// The worker accepts the last start, and the next append says so.
void AcceptStart(IncarnationHarness &ioHarness, Millis inClock)
{
	OrderAnswer accepted;
	accepted.result = EOrderResult::Done;
	accepted.clock_ms = inClock;
	ioHarness.cell.OnAnswer(ioHarness.started.back(), accepted, ioHarness.now, ioHarness.now);
	ioHarness.WriteAndDispatch();
}

} // namespace

/// Guards against a successor that gives up a start without an answer as soon as the worker does not list it: the worker's next incarnation
/// may still carry the start out.
TEST(CellSuccessor, HoldsAStartBackThatMayHaveHadNoAnswer)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	Cell successor = harness.Successor();
	Millis now = harness.now;
	for (; now < harness.now + cMaxOrderDelayMs; now += 500)
		ASSERT_EQ(StartsSent(successor, harness, now), 0u) << now - harness.now;
	size_t starts = 0;
	for (; now < harness.now + cMaxOrderDelayMs + 2000; now += 500)
		starts += StartsSent(successor, harness, now);
	EXPECT_EQ(starts, 1u);
}

/// Guards against a wait for a start that had its answer before the last append.
TEST(CellSuccessor, GivesUpAnAnsweredStartAtOnce)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	AcceptStart(harness, 1000);
	Cell successor = harness.Successor();
	size_t starts = 0;
	for (Millis now = harness.now; now < harness.now + 2000; now += 500)
		starts += StartsSent(successor, harness, now);
	EXPECT_EQ(starts, 1u);
}

/// Guards against a successor that starts a task again while an incarnation that it cannot reach, and that no list shows, may hold the
/// longest lease for a start that it carried out late.
TEST(CellSuccessor, WaitsForALateStartOnAWorkerThatDoesNotAnswer)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	Cell successor = harness.Successor();
	const Millis lease = LongestLease(CellTuning{}.worker_lease_cap_ms);
	successor.Plan(harness.now + cMaxOrderDelayMs + lease - 100, harness.now);
	EXPECT_EQ(successor.Counts().runs, 1u);
	successor.Plan(harness.now + cMaxOrderDelayMs + lease + 100, harness.now);
	EXPECT_EQ(successor.Counts().runs, 0u);
}

/// Guards against a longer wait than the usual lease for a run whose start had its answer, on a worker that does not answer.
TEST(CellSuccessor, WaitsForTheUsualLeaseOfAnAnsweredStart)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	AcceptStart(harness, 1000);
	Cell successor = harness.Successor();
	successor.Plan(harness.now + cUsualWaitMs, harness.now);
	EXPECT_EQ(successor.Counts().runs, 0u);
}

/// Guards against an owner that takes a silent worker's start for over as soon as it can arrive no more: an incarnation that neither a poll
/// nor the list has shown may have carried it out last.
TEST(CellSuccessor, AnOwnerThatStaysWaitsForALateStartOnAnUnlistedWorker)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	const Millis started_at = harness.now;
	harness.cell.OnAnswer(harness.started.back(), OrderAnswer{}, harness.now, harness.now);
	harness.cell.SetWorkers({}, harness.now);
	const Millis lease = LongestLease(CellTuning{}.worker_lease_cap_ms);
	while (harness.now < started_at + cMaxOrderDelayMs + lease - 600)
		for (const Order &order : harness.TakeDueOrders())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
	harness.now += 1000;
	harness.TakeDueOrders();
	EXPECT_EQ(harness.cell.Counts().runs, 0u);
}

/// Guards against a worker that left the list and is found again under its id, in another incarnation that has granted its longest lease to
/// an order for the former one: the owner took it for a new worker.
TEST(CellSuccessor, RemembersAWorkerWhileItsOrdersMayArrive)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	StartOneTask(harness);
	// The run ends, and the worker leaves the list
	OrderAnswer ended = harness.PollAnswer(1000, 1500);
	ended.ended.push_back({1, harness.started.back().task, harness.started.back().run, ERunEnd::Done, ""});
	ASSERT_EQ(harness.polls.size(), 1u);
	harness.cell.OnAnswer(harness.polls[0], ended, harness.now, harness.now);
	harness.WriteAndDispatch();
	ASSERT_EQ(harness.cell.Counts().runs, 0u);
	harness.cell.SetWorkers({}, harness.now);
	harness.ListWorker(2000);
	AnswerPolls(harness, 2000, 10);
	AnswerPolls(harness, 2000, 510);
	harness.ListWorker(2000);
	StartOneTask(harness, "next");
	const Millis started_at = harness.now;
	AcceptStart(harness, 1010);
	Cell successor = harness.Successor();
	harness.cell.Plan(started_at + cUsualWaitMs, started_at);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
	successor.Plan(harness.now + cUsualWaitMs, harness.now);
	EXPECT_EQ(successor.Counts().runs, 1u);
}

/// Guards against a successor that counts a longest lease from the time of its record, though the owner has assumed it again since.
TEST(CellSuccessor, CountsTheLongestLeaseFromTheTakeOver)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	harness.ListWorker(2000);
	AnswerPolls(harness, 2000, 10);
	AnswerPolls(harness, 2000, 510);
	harness.ListWorker(2000);
	StartOneTask(harness);
	AcceptStart(harness, 1010);
	// Much later the worker answers with another incarnation's clock
	harness.now += 9000;
	OrderAnswer accepted;
	accepted.result = EOrderResult::Done;
	accepted.clock_ms = 5;
	harness.cell.OnAnswer(harness.started.back(), accepted, harness.now, harness.now);
	Cell successor = harness.Successor();
	successor.Plan(harness.now + cLongestWaitMs - 300, harness.now);
	EXPECT_EQ(successor.Counts().runs, 1u);
}

/// Guards against a removal of the record of the longest lease that is still in the append in flight when the lease is assumed again.
TEST(CellSuccessor, WritesTheLongestLeaseAgainAfterItsRemoval)
{
	IncarnationHarness harness;
	AnswerPolls(harness, 1000, 500);
	harness.ListWorker(2000);
	AnswerPolls(harness, 2000, 10);
	AnswerPolls(harness, 2000, 510);
	harness.ListWorker(2000);
	StartOneTask(harness);
	const Order start = harness.started.back();
	const auto answer = [&](Millis inClock, int64 inStartedMs)
	{
		OrderAnswer running = harness.PollAnswer(inStartedMs, inClock);
		running.running.push_back({start.task, start.run, "", 50, 0});
		return running;
	};
	Millis clock = 1010;
	for (int i = 0; i < 30; ++i, clock += 500)
		for (const Order &order : harness.TakeDueOrders())
			harness.cell.OnAnswer(order, answer(clock, 2000), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("other", 1, 1, 100, 500)}, 1, harness.now, harness.now);
	harness.cell.Plan(harness.now, harness.now);
	std::vector<KeyedRecord> batch = harness.cell.TakeBatch(harness.now);
	const auto is_removal = [](const KeyedRecord &inRecord) { return inRecord.key == "mw" && inRecord.value.empty(); };
	const auto is_record = [](const KeyedRecord &inRecord) { return inRecord.key == "mw" && !inRecord.value.empty(); };
	ASSERT_TRUE(std::any_of(batch.begin(), batch.end(), is_removal));
	OrderAnswer accepted;
	accepted.result = EOrderResult::Done;
	accepted.clock_ms = 5;
	harness.cell.OnAnswer(start, accepted, harness.now, harness.now);
	harness.cell.OnAppended(harness.now);
	EXPECT_TRUE(harness.cell.HasUnwrittenChanges());
	batch = harness.cell.TakeBatch(harness.now);
	EXPECT_TRUE(std::any_of(batch.begin(), batch.end(), is_record));
}

} // namespace Loomreach::Jobs
