// What goes by a worker's id alone: drains and their grants, tickets, plans and what is left of a removed worker must not pass from one
// incarnation to the next, nor from one worker of a host to the next one there.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>
#include <UnitTests/IdentityHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// A job of one task.
static JobSpec OneTask(const std::string &inId) { return MakeJob(inId, 1, 1, 1000, 500); }

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

} // namespace Loomreach::Jobs
