// Workers that start again under their ids: nothing that is known of one incarnation holds for the next.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/WorkerToken.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/CellTroubles.h>
#include <UnitTests/IncarnationHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Time between the end of an incarnation and the start of the next one.
constexpr Millis cBackMs = 30;

/// One worker that has run some tasks, in a simulation without faults.
class RestartedWorker
{
public:
	explicit RestartedWorker(uint64 inSeed) : simulation(inSeed, {}, 1)
	{
		this->simulation.polls_wait = true;
		this->Submit(6);
		this->simulation.Run(3000);
	}

	/// Submits jobs of one task each.
	void Submit(int inJobs)
	{
		for (int i = 0; i < inJobs; ++i)
		{
			const std::string id = "job" + std::to_string(this->next_job++);
			this->simulation.run_ms[id] = 400;
			this->simulation.Submit(MakeJob(id, 1, 1, 500, 400));
		}
	}
	void Restart() { this->simulation.Restart(this->simulation.Workers().at("w0"), true, cBackMs); }

	CellSimulation simulation;

private:
	int next_job = 0;
};

} // namespace

/// Ends that nobody had read were acknowledged to the next incarnation by the previous one's sequence numbers, and their tasks were
/// restarted.
TEST(CellRestart, StartsNoTaskAgainThatEndedInTheNextIncarnation)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		RestartedWorker restarted(seed);
		restarted.Restart();
		restarted.simulation.Run(static_cast<Millis>(100 + 50 * seed));
		restarted.Submit(4);
		restarted.simulation.Run(10000);
		EXPECT_EQ(restarted.simulation.Violations() + restarted.simulation.UnfinishedJobs(), "") << "seed " << seed;
	}
}

/// The same with starts in flight to the worker while it restarts.
TEST(CellRestart, StartsNoTaskAgainThatWasOnItsWayMeanwhile)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		RestartedWorker restarted(seed);
		restarted.Submit(4);
		restarted.simulation.Run(static_cast<Millis>(10 * seed));
		restarted.Restart();
		restarted.Submit(4);
		restarted.simulation.Run(10000);
		EXPECT_EQ(restarted.simulation.Violations() + restarted.simulation.UnfinishedJobs(), "") << "seed " << seed;
	}
}

/// The same with several restarts: an incarnation may end before any poll has reached it.
TEST(CellRestart, StartsNoTaskAgainOverSeveralLives)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		RestartedWorker restarted(seed);
		for (int incarnation = 0; incarnation < 5; ++incarnation)
		{
			restarted.Submit(2);
			restarted.simulation.Run(static_cast<Millis>(20 * seed));
			restarted.Restart();
			restarted.simulation.Run(cBackMs + 20);
		}
		restarted.simulation.Run(10000);
		EXPECT_EQ(restarted.simulation.Violations() + restarted.simulation.UnfinishedJobs(), "") << "seed " << seed;
	}
}

/// A task that crashes its worker was restarted without limit, since the next incarnation under the same id hid the crash.
TEST(CellRestart, GivesUpATaskThatCrashesWorkersThatKeepTheirIds)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		Random random(seed);
		CellSimulation simulation(seed, {}, 8);
		AssignRacks(simulation);
		simulation.crashed_keep_ids = true;
		simulation.Submit(MakeCrashingJob(simulation, "crasher", 1, 10));
		int next = 0;
		SubmitHealthyJobs(simulation, random, 10, next);
		simulation.Run(40000);
		EXPECT_EQ(simulation.Violations() + simulation.UnfinishedJobs() + simulation.WronglyFailedJobs(), "") << "seed " << seed;
		EXPECT_TRUE(IsFinal(simulation.QueryJob("crasher").phase)) << "seed " << seed;
	}
}

/// Late orders for a previous incarnation were executed by the next one.
TEST(WorkerToken, RisesWithEachIncarnationAndStaysBelowTheNextOwners)
{
	for (const uint64 epoch : {uint64(0), uint64(1), uint64(57), cTokensPerEpoch, 3 * cTokensPerEpoch + 1})
	{
		const uint64 next = NextEpoch(epoch);
		EXPECT_GT(next, epoch);
		EXPECT_EQ(EpochOf(next), next);
		EXPECT_GT(TokenOf(next, 1), TokenOf(next, 0));
		EXPECT_LT(TokenOf(next, 5 * cTokensPerEpoch), NextEpoch(next));
		EXPECT_EQ(EpochOf(TokenOf(next, 12)), next);
	}
}

/// A late entry of a previous incarnation made the cell ask its worker for an incarnation that had ended.
TEST(CellRestart, TakesNoUpdateFromAPreviousIncarnationsEntry)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 500), harness.now, harness.now);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_GT(orders[0].token, cTokensPerEpoch);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 1000), harness.now, harness.now);
	harness.ListWorker(2000);
	// The current incarnation has not said that it leaves
	harness.ListWorker(1000, true);
	EXPECT_TRUE(harness.TakeDueOrders().empty());
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
	harness.TakeDueOrders();
	ASSERT_FALSE(harness.cell.TakeBatch(harness.now).empty());
	harness.cell.OnAppended(harness.now);
	orders = harness.cell.TakeOrders(harness.now);
	ASSERT_FALSE(orders.empty());
	EXPECT_EQ(orders[0].kind, EOrder::Start);
}

/// A worker that the list showed as restarted got more runs before anything was known of its incarnation.
TEST(CellRestart, PollsAWorkerAtOnceThatTheListShowsInAnotherIncarnation)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	EXPECT_TRUE(harness.TakeDueOrders().empty());
	harness.ListWorker(2000);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].kind, EOrder::Poll);
	EXPECT_EQ(orders[0].wait_ms, 0);
	EXPECT_EQ(orders[0].acknowledged_end, 0u);
}

/// A start without an answer was given up as soon as it could not arrive any more, though the incarnation that the list had shown meanwhile
/// may have carried it out, with a lease of its own. Its task was then started elsewhere (CellSeeds.RestartsWithLateOrders, seed 417).
TEST(CellRestart, KeepsAStartThatALaterIncarnationMayHaveCarriedOut)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	const Millis started_at = harness.now;
	harness.cell.OnAnswer(harness.started.back(), OrderAnswer{}, harness.now, harness.now);
	while (harness.now < started_at + cMaxOrderDelayMs - 1000)
		harness.TakeDueOrders();
	harness.ListWorker(2000);
	while (harness.now < started_at + cMaxOrderDelayMs + 1000)
		harness.TakeDueOrders();
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
	// That incarnation is silent too; whatever lease it granted has expired
	while (harness.now < started_at + cMaxOrderDelayMs + LongestLease(CellTuning{}.worker_lease_cap_ms))
		harness.TakeDueOrders();
	EXPECT_EQ(harness.cell.Counts().runs, 0u);
}

/// A worker got runs by its previous incarnation's capacity.
TEST(CellRestart, StartsNothingByThePreviousIncarnationsCapacity)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 500), harness.now, harness.now);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 1000), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	harness.ListWorker(2000);
	EXPECT_EQ(harness.WriteAndDispatch(), 1u);
}

/// The answer to an older poll, read after a newer one's, dropped runs that had started in between.
TEST(CellRestart, TakesOnlyEndsFromAnOlderLook)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	const Order start = harness.started.back();
	harness.cell.OnAnswer(start, harness.PollAnswer(cStartTimeUnknown, 1000), harness.now, harness.now);
	ASSERT_EQ(harness.polls.size(), 1u);
	// The list shows a later incarnation that the worker does not confirm
	harness.ListWorker(2000);
	std::vector<Order> again = harness.TakeDueOrders();
	ASSERT_EQ(again.size(), 1u);
	OrderAnswer newer = harness.PollAnswer(1000, 2000);
	newer.running.push_back({start.task, start.run, "", 50, 0});
	harness.cell.OnAnswer(again[0], newer, harness.now, harness.now);
	harness.cell.OnAnswer(harness.polls[0], harness.PollAnswer(1000, 1500), harness.now, harness.now);
	EXPECT_EQ(harness.cell.Counts().runs, 1u);
}

/// Ends of the previous incarnation that a former owner submits after the next one has begun count once, and for their tasks alone.
TEST(CellRestart, CountsAPreviousIncarnationsEndsThatAreSubmittedLate)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 2, 1000, 500)}, 0, harness.now, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 2u);
	const Order first = harness.started[0];
	const Order second = harness.started[1];
	for (const Order &start : {first, second})
		harness.cell.OnAnswer(start, harness.PollAnswer(cStartTimeUnknown, 1000), harness.now, harness.now);
	ASSERT_EQ(harness.polls.size(), 1u);
	harness.ListWorker(2000);
	harness.cell.OnAnswer(harness.polls[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
	const EndReport report{"w", cTokensPerEpoch, {{7, first.task, first.run, ERunEnd::Done, ""}}};
	InboxRecord record;
	record.kind = EInbox::Ends;
	record.ends = report;
	harness.cell.Ingest(record, 1, harness.now, harness.now);
	harness.cell.Ingest(record, 2, harness.now, harness.now);
	harness.started.clear();
	orders = harness.TakeDueOrders();
	for (const Order &poll : orders)
		harness.cell.OnAnswer(poll, harness.PollAnswer(2000, 500), harness.now, harness.now);
	EXPECT_EQ(harness.WriteAndDispatch(), 1u);
	EXPECT_EQ(harness.started.back().task, second.task);
	// Their sequence numbers do not apply to the current incarnation
	for (const Order &poll : harness.TakeDueOrders())
		EXPECT_EQ(poll.acknowledged_end, 0u);
}

/// A worker's ticket for a policy's queue was its previous incarnation's, and each start was refused.
TEST(CellRestart, AsksForATicketOfTheNextIncarnation)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	JobSpec job = MakeJob("job", 1, 1, 1000, 500);
	job.advised = true;
	harness.cell.Ingest({EInbox::Submit, job}, 0, harness.now, harness.now);
	harness.TakeDueOrders();
	std::vector<AdviceRequest> requests = harness.cell.TakeAdvice();
	ASSERT_EQ(requests.size(), 1u);
	// The worker restarts before the answer is used
	harness.ListWorker(2000);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAdvice(requests[0], {true, 60000, {{"w", "ticket"}}}, harness.now);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
	orders = harness.TakeDueOrders();
	EXPECT_TRUE(harness.cell.TakeAdvice().empty());
	// From this answer on the worker refuses orders for its previous incarnation
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
	harness.TakeDueOrders();
	requests = harness.cell.TakeAdvice();
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].workers, std::vector<std::string>{"w"});
}

/// A ticket requested for the previous incarnation arrived during the next one: each new start was refused until the ticket expired.
TEST(CellRestart, UsesNoTicketAgainThatWasTurnedAway)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	JobSpec job = MakeJob("job", 1, 1, 1000, 500);
	job.advised = true;
	harness.cell.Ingest({EInbox::Submit, job}, 0, harness.now, harness.now);
	harness.TakeDueOrders();
	const std::vector<AdviceRequest> requests = harness.cell.TakeAdvice();
	ASSERT_EQ(requests.size(), 1u);
	harness.cell.OnAdvice(requests[0], {true, 60000, {{"w", "ticket"}}}, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	OrderAnswer refusal;
	refusal.result = EOrderResult::NoTicket;
	harness.cell.OnAnswer(harness.started[0], refusal, harness.now, harness.now);
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	EXPECT_EQ(harness.cell.TakeAdvice().size(), 1u);
}

/// A run that a successor found in the log and still waits for was counted again at each further crash of its worker.
TEST(CellRestart, CountsOneCrashForARunThatWasOnOneIncarnation)
{
	IncarnationHarness before;
	std::vector<Order> orders = before.TakeDueOrders();
	before.cell.OnAnswer(orders[0], before.PollAnswer(1000, 500), before.now, before.now);
	before.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, before.now, before.now);
	ASSERT_EQ(before.WriteAndDispatch(), 1u);
	IncarnationHarness after;
	after.cell = Cell(CellTuning{});
	for (const KeyedRecord &record : before.written)
		ASSERT_TRUE(after.cell.Restore(record.key, record.value));
	after.cell.Begin(2 * cTokensPerEpoch, after.now);
	for (const int64 started_ms : {2000, 3000, 4000})
	{
		after.ListWorker(started_ms);
		orders = after.TakeDueOrders();
		ASSERT_EQ(orders.size(), 1u) << started_ms;
		after.cell.OnAnswer(orders[0], after.PollAnswer(started_ms, 10), after.now, after.now);
	}
	// Until nobody can submit its end any more
	for (Millis clock = 510; after.cell.Counts().runs > 0 && clock < 20000; clock += 500)
		for (const Order &order : after.TakeDueOrders())
			after.cell.OnAnswer(order, after.PollAnswer(4000, clock), after.now, after.now);
	uint32 counted = 0;
	for (const KeyedRecord &record : after.cell.TakeBatch(after.now))
		if (record.key == "xjob")
			for (const auto &[task, crashes] : DecodeValue<CrashCounts>(record.value).value_or(CrashCounts()))
				counted += crashes.Total();
	EXPECT_EQ(counted, 1u);
}

/// Guards against a successor that waits for the usual lease where its predecessor knew that the worker may hold its longest one.
TEST(CellRestart, TheLogTellsWhichWorkersMayHoldTheirLongestLease)
{
	constexpr Millis cUsualWaitMs = 4500;
	constexpr Millis cLongestWaitMs = 10600;
	for (const bool restarted : {false, true})
	{
		IncarnationHarness harness;
		std::vector<Order> orders = harness.TakeDueOrders();
		harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
		if (restarted)
		{
			harness.ListWorker(2000);
			orders = harness.TakeDueOrders();
			ASSERT_EQ(orders.size(), 1u);
			harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
			orders = harness.TakeDueOrders();
			ASSERT_EQ(orders.size(), 1u);
			harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 510), harness.now, harness.now);
		}
		harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
		harness.TakeDueOrders();
		ASSERT_EQ(harness.WriteAndDispatch(), 1u);
		// A start without an answer would be waited for longer
		OrderAnswer accepted;
		accepted.result = EOrderResult::Done;
		accepted.clock_ms = 1500;
		harness.cell.OnAnswer(harness.started.back(), accepted, harness.now, harness.now);
		harness.WriteAndDispatch();
		CellTuning tuning;
		tuning.max_lease_ms = tuning.lease_ms;
		Cell successor(tuning);
		for (const KeyedRecord &record : harness.written)
			EXPECT_TRUE(successor.Restore(record.key, record.value));
		successor.Begin(2 * cTokensPerEpoch, harness.now);
		successor.Plan(harness.now + cUsualWaitMs, harness.now);
		EXPECT_EQ(successor.Counts().runs, restarted ? 1u : 0u);
		successor.Plan(harness.now + cLongestWaitMs, harness.now);
		EXPECT_EQ(successor.Counts().runs, 0u);
	}
}

/// Restarts half of the workers under their ids while long tasks run, replaces the owner and cuts these workers off, three times.
/// `inOwnerChanges`: when the owner is replaced after the restarts, ms; -1: it is not.
static std::string PlayRestartsAndCuts(uint64 inSeed, const SimulationFaults &inFaults, Millis inOwnerChanges)
{
	constexpr Millis cDarkMs = 600;
	constexpr Millis cCutAfterMs = 2600;
	constexpr Millis cCutMs = 9000;
	Random random(inSeed);
	CellSimulation simulation(inSeed, inFaults, 8);
	simulation.polls_wait = true;
	simulation.Run(1000);
	int next = 0;
	for (int round = 0; round < 3; ++round)
	{
		for (int i = 0; i < 6; ++i)
		{
			const std::string id = "job" + std::to_string(next++);
			simulation.run_ms[id] = 9000 + static_cast<Millis>(random.Below(6000));
			simulation.Submit(MakeJob(id, 1, 1 + static_cast<uint32>(random.Below(3)), 4000, 12000));
		}
		simulation.Run(1000 + static_cast<Millis>(random.Below(3000)));
		std::vector<std::string> restarted;
		for (auto &[id, worker] : simulation.Workers())
			if (!worker.crashed && random.Chance(50))
			{
				restarted.push_back(id);
				simulation.Restart(worker, random.Chance(50), cDarkMs);
			}
		const Millis change = inOwnerChanges < 0 ? cCutAfterMs : std::min(inOwnerChanges, cCutAfterMs);
		simulation.Run(change);
		if (inOwnerChanges >= 0)
			simulation.ReplaceOwner(cOwnerKilled);
		simulation.Run(cCutAfterMs - change);
		for (const std::string &id : restarted)
			if (auto worker = simulation.Workers().find(id); worker != simulation.Workers().end())
				worker->second.unreachable_until = simulation.Now() + cCutMs;
		simulation.Run(cCutMs + 3000);
	}
	simulation.ClearFaults();
	simulation.Run(60000);
	return simulation.Violations() + simulation.UnfinishedJobs();
}

/// Guards against a successor that waits for the leases that its predecessor granted, where the worker has granted its longest one to an
/// order for its former incarnation.
TEST(CellRestart, ASuccessorWaitsForTheLeaseOfARestartedWorker)
{
	for (const Millis change : {0, 700, 2000, 2600})
		for (uint64 seed = 1; seed <= 150; ++seed)
			ASSERT_EQ(PlayRestartsAndCuts(seed, {}, change), "") << "seed " << seed << ", owner replaced after " << change << " ms";
}

/// Guards against the same where the owner stays, and where orders are carried out late.
TEST(CellRestart, LateOrdersForAFormerIncarnationExtendNoLeaseUnseen)
{
	SimulationFaults faults;
	faults.late_order = 5;
	faults.late_start = 5;
	for (const Millis change : {-1, 700, 1200, 2000})
		for (uint64 seed = 1; seed <= 100; ++seed)
			ASSERT_EQ(PlayRestartsAndCuts(seed, faults, change), "") << "seed " << seed << ", owner replaced after " << change << " ms";
}

} // namespace Loomreach::Jobs
