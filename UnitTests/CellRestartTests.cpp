// Workers that start again under their ids: nothing that is known of one life holds for the next.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/WorkerToken.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Time between the end of a life and the next one.
constexpr Millis cBackMs = 30;

/// One worker that has run some tasks, and a world without trouble.
class RestartedWorker
{
public:
	explicit RestartedWorker(uint64 inSeed) : simulation(inSeed, {}, 1)
	{
		this->simulation.polls_wait = true;
		this->Submit(6);
		this->simulation.Run(3000);
	}

	/// Hands in jobs of one task each.
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

	CellWorld simulation;

private:
	int next_job = 0;
};

} // namespace

/// The next life was told to forget ends that nobody had read, by the count of the former one, and their tasks were started again.
TEST(CellRestart, StartsNoTaskAgainThatEndedInTheNextLife)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		RestartedWorker restarted(seed);
		restarted.Restart();
		restarted.simulation.Run(static_cast<Millis>(100 + 50 * seed));
		restarted.Submit(4);
		restarted.simulation.Run(10000);
		EXPECT_EQ(restarted.simulation.Broken() + restarted.simulation.Open(), "") << "seed " << seed;
	}
}

/// The same where tasks are on their way to the worker while it starts again.
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
		EXPECT_EQ(restarted.simulation.Broken() + restarted.simulation.Open(), "") << "seed " << seed;
	}
}

/// The same in series: a life may be over before it was seen.
TEST(CellRestart, StartsNoTaskAgainOverSeveralLives)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		RestartedWorker restarted(seed);
		for (int life = 0; life < 5; ++life)
		{
			restarted.Submit(2);
			restarted.simulation.Run(static_cast<Millis>(20 * seed));
			restarted.Restart();
			restarted.simulation.Run(cBackMs + 20);
		}
		restarted.simulation.Run(10000);
		EXPECT_EQ(restarted.simulation.Broken() + restarted.simulation.Open(), "") << "seed " << seed;
	}
}

/// A task that crashes its worker was started without end, since the next life under the same id hid the crash.
TEST(CellRestart, GivesUpATaskThatCrashesWorkersThatKeepTheirIds)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		Random random(seed);
		CellWorld simulation(seed, {}, 8);
		AssignRacks(simulation);
		simulation.crashed_keep_ids = true;
		simulation.Submit(MakeCrashingJob(simulation, "crasher", 1, 10));
		int next = 0;
		SubmitHealthyJobs(simulation, random, 10, next);
		simulation.Run(40000);
		EXPECT_EQ(simulation.Broken() + simulation.Open() + simulation.GivenUp(), "") << "seed " << seed;
		EXPECT_TRUE(IsFinal(simulation.Shown("crasher").phase)) << "seed " << seed;
	}
}

/// Orders for a former life, carried out late, were obeyed by the next one.
TEST(WorkerToken, RisesWithEachLifeAndStaysBelowTheNextOwners)
{
	for (const uint64 epoch : {uint64(0), uint64(1), uint64(57), cTokensAnEpoch, 3 * cTokensAnEpoch + 1})
	{
		const uint64 next = NextEpoch(epoch);
		EXPECT_GT(next, epoch);
		EXPECT_EQ(EpochOf(next), next);
		EXPECT_GT(TokenOf(next, 1), TokenOf(next, 0));
		EXPECT_LT(TokenOf(next, 5 * cTokensAnEpoch), NextEpoch(next));
		EXPECT_EQ(EpochOf(TokenOf(next, 12)), next);
	}
}

namespace
{

/// A cell with one worker, played by hand.
class IncarnationHarness
{
public:
	IncarnationHarness()
	{
		this->cell.Begin(cTokensAnEpoch, this->now);
		this->ListWorker(1000);
	}

	/// The list shows the worker's life that began then.
	void ListWorker(int64 inStartedMs, bool inDrains = false)
	{
		WorkerEntry entry;
		entry.id = "w";
		entry.pool = "pool";
		entry.address = {"127.0.0.1", 1};
		entry.capacity = {16000, 32768, 0};
		entry.born_ms = inStartedMs;
		entry.draining = inDrains;
		this->cell.SetWorkers({entry}, this->now);
	}
	/// The orders that are due, after some time.
	std::vector<Order> TakeDueOrders()
	{
		this->now += 500;
		this->cell.Plan(this->now, this->now);
		return this->cell.TakeOrders(this->now);
	}
	OrderAnswer PollAnswer(int64 inStartedMs, Millis inClock) const
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.born_ms = inStartedMs;
		answer.clock_ms = inClock;
		return answer;
	}

	/// What is planned is written and told to the worker; how many starts that were.
	size_t WriteAndDispatch()
	{
		this->now += 500;
		this->cell.Plan(this->now, this->now);
		const std::vector<KeyedRecord> batch = this->cell.TakeBatch(this->now);
		this->written.insert(this->written.end(), batch.begin(), batch.end());
		if (!batch.empty())
			this->cell.OnAppended(this->now);
		const size_t before = this->started.size();
		for (const Order &order : this->cell.TakeOrders(this->now))
			(order.kind == EOrder::Start ? this->started : this->polls).push_back(order);
		return this->started.size() - before;
	}

	Cell cell{CellTuning{}};
	Millis now = 1000;
	std::vector<Order> started; ///< Orders to start, in turn,
	std::vector<Order> polls;   ///< and looks that left with them.
	std::vector<KeyedRecord> written;
};

} // namespace

/// A former life's entry, written late, had the worker asked for a life that is over.
TEST(CellRestart, TakesNoNewsFromAFormerLifesEntry)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 500), harness.now, harness.now);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_GT(orders[0].token, cTokensAnEpoch);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 1000), harness.now, harness.now);
	harness.ListWorker(2000);
	// Its life has not said that it leaves
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

/// A worker that the list showed as started again was given more to do before anything was known of its life.
TEST(CellRestart, AsksAWorkerAtOnceThatTheListShowsInAnotherLife)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	EXPECT_TRUE(harness.TakeDueOrders().empty());
	harness.ListWorker(2000);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].kind, EOrder::Hold);
	EXPECT_EQ(orders[0].wait_ms, 0);
	EXPECT_EQ(orders[0].last_seen, 0u);
}

/// A worker was given what its former life had room for.
TEST(CellRestart, StartsNothingByTheFormerLifesRoom)
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

/// An older look's answer that came after a newer one's gave up what had started in between.
TEST(CellRestart, TakesOnlyEndsFromAnOlderLook)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, harness.now, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	const Order start = harness.started.back();
	harness.cell.OnAnswer(start, harness.PollAnswer(cBirthUnknown, 1000), harness.now, harness.now);
	ASSERT_EQ(harness.polls.size(), 1u);
	// The list shows a later life that the worker does not confirm
	harness.ListWorker(2000);
	std::vector<Order> again = harness.TakeDueOrders();
	ASSERT_EQ(again.size(), 1u);
	OrderAnswer newer = harness.PollAnswer(1000, 2000);
	newer.running.push_back({start.task, start.run, "", 50, 0});
	harness.cell.OnAnswer(again[0], newer, harness.now, harness.now);
	harness.cell.OnAnswer(harness.polls[0], harness.PollAnswer(1000, 1500), harness.now, harness.now);
	EXPECT_EQ(harness.cell.Figures().runs, 1u);
}

/// Ends that a former owner was told of by the former life, handed in after the next one has begun, count once and for their tasks alone.
TEST(CellRestart, CountsAFormerLifesEndsThatAreHandedInLate)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	harness.cell.Ingest({EInbox::Submit, MakeJob("job", 1, 2, 1000, 500)}, 0, harness.now, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 2u);
	const Order first = harness.started[0];
	const Order second = harness.started[1];
	for (const Order &start : {first, second})
		harness.cell.OnAnswer(start, harness.PollAnswer(cBirthUnknown, 1000), harness.now, harness.now);
	ASSERT_EQ(harness.polls.size(), 1u);
	harness.ListWorker(2000);
	harness.cell.OnAnswer(harness.polls[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
	const EndReport report{"w", cTokensAnEpoch, {{7, first.task, first.run, ERunEnd::Done, ""}}};
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
	// Its numbers are not the present life's
	for (const Order &poll : harness.TakeDueOrders())
		EXPECT_EQ(poll.last_seen, 0u);
}

/// A worker's ticket for a policy's queue was its former life's, and each start was turned away.
TEST(CellRestart, AsksForATicketOfTheNextLife)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	JobSpec job = MakeJob("job", 1, 1, 1000, 500);
	job.advised = true;
	harness.cell.Ingest({EInbox::Submit, job}, 0, harness.now, harness.now);
	harness.TakeDueOrders();
	std::vector<AdviceQuestion> questions = harness.cell.TakeAdvice();
	ASSERT_EQ(questions.size(), 1u);
	// The worker starts again before the answer is used
	harness.ListWorker(2000);
	orders = harness.TakeDueOrders();
	ASSERT_EQ(orders.size(), 1u);
	harness.cell.OnAdvice(questions[0], {true, 60000, {{"w", "ticket"}}}, harness.now);
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(2000, 10), harness.now, harness.now);
	harness.TakeDueOrders();
	questions = harness.cell.TakeAdvice();
	ASSERT_EQ(questions.size(), 1u);
	EXPECT_EQ(questions[0].workers, std::vector<std::string>{"w"});
}

/// A ticket that was asked for in the former life came in the next one: it was turned away with each new start until it ran out.
TEST(CellRestart, UsesNoTicketAgainThatWasTurnedAway)
{
	IncarnationHarness harness;
	std::vector<Order> orders = harness.TakeDueOrders();
	harness.cell.OnAnswer(orders[0], harness.PollAnswer(1000, 500), harness.now, harness.now);
	JobSpec job = MakeJob("job", 1, 1, 1000, 500);
	job.advised = true;
	harness.cell.Ingest({EInbox::Submit, job}, 0, harness.now, harness.now);
	harness.TakeDueOrders();
	const std::vector<AdviceQuestion> questions = harness.cell.TakeAdvice();
	ASSERT_EQ(questions.size(), 1u);
	harness.cell.OnAdvice(questions[0], {true, 60000, {{"w", "ticket"}}}, harness.now);
	ASSERT_EQ(harness.WriteAndDispatch(), 1u);
	OrderAnswer refusal;
	refusal.result = EOrderResult::NoTicket;
	harness.cell.OnAnswer(harness.started[0], refusal, harness.now, harness.now);
	EXPECT_EQ(harness.WriteAndDispatch(), 0u);
	EXPECT_EQ(harness.cell.TakeAdvice().size(), 1u);
}

/// A run that a successor found in the log and still waits for was counted as there at each further crash of its worker.
TEST(CellRestart, CountsOneCrashForARunThatWasOnOneLife)
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
	after.cell.Begin(2 * cTokensAnEpoch, after.now);
	for (const int64 started_ms : {2000, 3000, 4000})
	{
		after.ListWorker(started_ms);
		orders = after.TakeDueOrders();
		ASSERT_EQ(orders.size(), 1u) << started_ms;
		after.cell.OnAnswer(orders[0], after.PollAnswer(started_ms, 10), after.now, after.now);
	}
	// Until nobody can hand its end in any more
	for (Millis clock = 510; after.cell.Figures().runs > 0 && clock < 20000; clock += 500)
		for (const Order &order : after.TakeDueOrders())
			after.cell.OnAnswer(order, after.PollAnswer(4000, clock), after.now, after.now);
	uint32 counted = 0;
	for (const KeyedRecord &record : after.cell.TakeBatch(after.now))
		if (record.key == "xjob")
			for (const auto &[task, crashes] : DecodeValue<CrashCounts>(record.value).value_or(CrashCounts()))
				counted += crashes.Total();
	EXPECT_EQ(counted, 1u);
}

} // namespace Loomreach::Jobs
