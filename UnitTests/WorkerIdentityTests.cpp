// What goes by a worker's id alone: drains and their grants, tickets, plans and what is left of a removed worker must not pass from one
// incarnation to the next, nor from one worker of a host to the next one there.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/Upkeep.h>
#include <UnitTests/CellTroubles.h>
#include <UnitTests/IdentityHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// A job of one task.
static JobSpec OneTask(const std::string &inId) { return MakeJob(inId, 1, 1, 1000, 500); }

/// Drains a worker as its pool's owner is asked to, until its grant is in the log. Returns whether it is granted.
static bool Drain(IdentityHarness &ioHarness, const std::string &inWorker)
{
	ioHarness.cell.DrainWorker(inWorker, cDrainGrantMs, ioHarness.now);
	ioHarness.WriteAndDispatch();
	return ioHarness.cell.DrainWorker(inWorker, cDrainGrantMs, ioHarness.now);
}

/// The adviser's refusal of a worker arrived after the worker had started again, and held for the new incarnation, which the adviser was
/// never asked about.
TEST(WorkerIdentity, AnAdvisersRefusalOfAFormerIncarnationDoesNotBindTheNext)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	JobSpec job = OneTask("job");
	job.advised = true;
	harness.Submit(job);
	harness.Step();
	const std::vector<AdviceRequest> asked = harness.cell.TakeAdvice();
	ASSERT_EQ(asked.size(), 1u);
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	harness.AnswerPolls("w", 2000);
	harness.cell.OnAdvice(asked[0], {true, 60000, {}}, harness.now);
	harness.Step();
	EXPECT_EQ(harness.cell.TakeAdvice().size(), 1u);
}

/// A ticket that was asked for a former incarnation arrived after the next one had begun, and a start with it was refused.
TEST(WorkerIdentity, ATicketOfAFormerIncarnationIsNotUsedForTheNext)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	JobSpec job = OneTask("job");
	job.advised = true;
	harness.Submit(job);
	harness.Step();
	const std::vector<AdviceRequest> asked = harness.cell.TakeAdvice();
	ASSERT_EQ(asked.size(), 1u);
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	harness.AnswerPolls("w", 2000);
	harness.cell.OnAdvice(asked[0], {true, 60000, {{"w", "former"}}}, harness.now);
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	harness.Step();
	const std::vector<AdviceRequest> again = harness.cell.TakeAdvice();
	ASSERT_EQ(again.size(), 1u);
	harness.cell.OnAdvice(again[0], {true, 60000, {{"w", "present"}}}, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	EXPECT_EQ(harness.starts.back().ticket, "present");
}

/// A run that was planned for one incarnation was started on the next one, which is of another kind, because the append took longer than
/// the restart.
TEST(WorkerIdentity, ARunPlannedForAFormerIncarnationIsNotStartedOnTheNext)
{
	IdentityHarness harness;
	WorkerEntry entry = IdentityHarness::MakeEntry("w", 1000);
	entry.labels = {"large", "r1"};
	harness.ListWorkers({entry});
	harness.AnswerPolls("w", 1000);
	JobSpec job = OneTask("job");
	job.steps[0].needs_label = "large";
	harness.Submit(job);
	ASSERT_TRUE(harness.BeginAppend());
	entry.started_ms = 2000;
	entry.labels = {"small", "r1"};
	harness.ListWorkers({entry});
	harness.AnswerPolls("w", 2000);
	harness.EndAppend();
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	// Back as the kind that is needed
	entry.started_ms = 3000;
	entry.labels = {"large", "r1"};
	harness.ListWorkers({entry});
	harness.AnswerPolls("w", 3000);
	harness.WriteAndDispatch();
	EXPECT_EQ(harness.starts.size(), 1u);
}

/// The poll that showed a restart listed a run there, and the worker was reported empty all the same: its host could be taken down under
/// the run.
TEST(WorkerIdentity, ADrainOfAFormerIncarnationIsNotGrantedForTheNextBeforeThatIsKnown)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	ASSERT_TRUE(Drain(harness, "w"));
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	const std::vector<Order> polls = harness.Step();
	ASSERT_EQ(polls.size(), 1u);
	EXPECT_FALSE(harness.cell.DrainWorker("w", cDrainGrantMs, harness.now));
	const RunningRun stray{{"stray", 0, 0, 0}, 1, "", 50, 0};
	harness.Answer(polls[0], 2000, {stray});
	EXPECT_FALSE(harness.cell.DrainWorker("w", cDrainGrantMs, harness.now));
	// Its own poll lists the run, which is stopped
	for (const Order &order : harness.Step())
		if (order.kind == EOrder::Poll)
			harness.Answer(order, 2000, {stray});
	EXPECT_FALSE(harness.cell.DrainWorker("w", cDrainGrantMs, harness.now));
	for (const Order &order : harness.Step())
		harness.Answer(order, 2000);
	harness.AnswerPolls("w", 2000);
	EXPECT_TRUE(Drain(harness, "w"));
}

/// An incarnation that nobody has heard from was reported empty, though a start for its predecessor may run there.
TEST(WorkerIdentity, AnIncarnationThatHasNotAnsweredIsNotReportedEmpty)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	harness.Submit(OneTask("job"));
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	harness.Answer(harness.starts.back(), 1000);
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	const std::vector<Order> polls = harness.Step();
	ASSERT_FALSE(polls.empty());
	harness.Answer(polls.back(), 2000);
	harness.cell.DrainWorker("w", cDrainGrantMs, harness.now);
	harness.WriteAndDispatch();
	const Millis restarted_at = harness.now;
	EXPECT_FALSE(harness.cell.DrainWorker("w", cDrainGrantMs, harness.now));
	// The host must go down some time, also if the worker is never heard again: no lease lasts longer
	while (harness.now < restarted_at + LongestLease(CellTuning{}.worker_lease_cap_ms) + 1000)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_TRUE(Drain(harness, "w"));
}

/// A worker was reported empty, and the next worker of its host, under another id, got runs while the host could still be taken down.
TEST(WorkerIdentity, ADrainCoversTheNextWorkerOfItsHost)
{
	IdentityHarness harness;
	WorkerEntry first = IdentityHarness::MakeEntry("w1", 1000);
	first.host = "m";
	harness.ListWorkers({first});
	harness.AnswerPolls("w1", 1000);
	ASSERT_TRUE(Drain(harness, "w1"));
	const Millis granted_until = harness.now + cDrainGrantMs;
	WorkerEntry second = IdentityHarness::MakeEntry("w2", 2000);
	second.host = "m";
	harness.ListWorkers({second});
	harness.AnswerPolls("w2", 2000);
	harness.Submit(OneTask("job"));
	ASSERT_LT(harness.now, granted_until);
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	while (harness.now < granted_until)
		harness.AnswerPolls("w2", 2000);
	EXPECT_EQ(harness.WriteAndDispatch(), 1u);
}

/// A worker that had left was reported empty by its id, while the next worker of the same host had runs.
TEST(WorkerIdentity, AHostIsNotReportedEmptyForAWorkerThatIsNoLongerThere)
{
	IdentityHarness harness;
	WorkerEntry first = IdentityHarness::MakeEntry("w1", 1000);
	first.host = "m";
	harness.ListWorkers({first});
	harness.AnswerPolls("w1", 1000);
	WorkerEntry second = IdentityHarness::MakeEntry("w2", 2000);
	second.host = "m";
	// The entry of a worker that has crashed stays listed for a while
	harness.ListWorkers({first, second});
	harness.AnswerPolls("w2", 2000);
	JobSpec job = OneTask("job");
	job.steps[0].needs_label = "second";
	second.labels = {"second"};
	harness.ListWorkers({first, second});
	harness.Submit(job);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	ASSERT_EQ(harness.starts.back().worker, "w2");
	harness.Answer(harness.starts.back(), 2000);
	EXPECT_FALSE(Drain(harness, "w1"));
}

/// A restarted worker whose entry lapsed was removed, and its longest lease forgotten: a run that was started there after its return was
/// given up while the worker still held it.
TEST(WorkerIdentity, AWorkerThatWasMissingFromTheListKeepsItsLongestLease)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	harness.Submit(OneTask("job"));
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	harness.Answer(harness.starts.back(), 1000);
	// The next incarnation answers a poll with a lease end on the clock of the former one
	harness.Step();
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	const std::vector<Order> polls = harness.Step();
	ASSERT_EQ(polls.size(), 1u);
	harness.Answer(polls[0], 2000);
	const Millis restarted_at = harness.now;
	ASSERT_EQ(harness.cell.Counts().runs, 0u);
	harness.ListWorkers({});
	for (const Order &order : harness.Step(100))
		harness.Answer(order, 2000);
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	harness.AnswerPolls("w", 2000);
	for (int i = 0; i < 4 && harness.WriteAndDispatch() == 0; ++i)
		harness.AnswerPolls("w", 2000);
	ASSERT_EQ(harness.starts.size(), 2u);
	harness.Answer(harness.starts.back(), 2000);
	// Cut off from now on
	while (harness.now < restarted_at + CellTuning{}.worker_lease_cap_ms)
		for (const Order &order : harness.Step())
			harness.cell.OnAnswer(order, OrderAnswer{}, harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
}

/// A best-effort run was throttled to a standstill on one incarnation. The next one has it at full speed, and was never told to throttle
/// it.
TEST(WorkerIdentity, AThrottleOfAFormerIncarnationIsNotTakenForTheNextOnes)
{
	IdentityHarness harness;
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 1000)});
	harness.AnswerPolls("w", 1000);
	JobSpec serving = OneTask("serving");
	serving.steps[0].long_running = true;
	serving.steps[0].latency_target_ms = 10;
	JobSpec filling = OneTask("filling");
	filling.steps[0].best_effort = true;
	harness.Submit(serving);
	harness.Submit(filling);
	ASSERT_EQ(harness.WriteAndDispatch(), 2u);
	std::vector<RunningRun> running;
	for (const Order &start : harness.starts)
	{
		harness.Answer(start, 1000);
		// The tail of the serving task stays far above its target
		running.push_back({start.task, start.run, "", 100, start.task.job == "serving" ? 100 : 1000});
	}
	const auto throttles_within = [&](int inSteps, int64 inStartedMs)
	{
		std::vector<int64> percents;
		for (int i = 0; i < inSteps; ++i)
			for (const Order &order : harness.Step())
			{
				if (order.kind == EOrder::Throttle)
					percents.push_back(order.percent);
				harness.Answer(order, inStartedMs, running);
			}
		return percents;
	};
	const std::vector<int64> before = throttles_within(40, 1000);
	ASSERT_FALSE(before.empty());
	ASSERT_EQ(before.back(), 0);
	harness.ListWorkers({IdentityHarness::MakeEntry("w", 2000)});
	EXPECT_FALSE(throttles_within(40, 2000).empty());
}

} // namespace Loomreach::Jobs
