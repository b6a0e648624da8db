// Jobs of a queue that newer configurations place in other pools: each is found, runs once and can be canceled, whichever host is asked.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/InboxCodec.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/CellWorld.h>
#include <UnitTests/QueueMoveWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cSettleMs = 1500;
constexpr uint64 cSeeds = 25;

std::string FirstOf(const std::vector<std::string> &inTexts) { return inTexts.empty() ? "" : inTexts.front(); }

/// A world in which "job" was accepted in pool 0, which the queue then left for pool 1.
QueueMoveWorld MovedWorld()
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	world.Configure(1);
	world.Run(cSettleMs);
	return world;
}

void ExpectSeeds(uint64 inFirst, uint64 inCount, const MoveFaults &inFaults)
{
	// LOOM_SEEDS="FIRST COUNT" plays other seeds
	uint64 first = inFirst;
	uint64 count = inCount;
	if (const char *seeds = std::getenv("LOOM_SEEDS"))
		std::istringstream(seeds) >> first >> count;
	for (uint64 seed = first; seed < first + count; ++seed)
	{
		QueueMoveWorld world(seed, inFaults);
		world.RunTroubles(20'000);
		EXPECT_TRUE(world.violations.empty()) << "seed " << seed << ": " << FirstOf(world.violations);
	}
}

} // namespace

/// Guards against jobs that are reported as gone, run again or cannot be canceled after their queue has moved.
TEST(QueueMove, AcceptedJobsStayKnown)
{
	QueueMoveWorld world = MovedWorld();
	for (size_t host = 0; host < QueueMoveWorld::cHosts; ++host)
		EXPECT_EQ(world.Ask(host, "job"), EFinding::Known) << host;
	EXPECT_EQ(world.Count(0), 1u);
	world.Submit(1, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	EXPECT_EQ(world.Count(0), 1u);
	world.Cancel(2, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("job"), EJobPhase::Canceled);
	EXPECT_EQ(world.Ask(0, "never"), EFinding::Gone);
}

/// Guards against a queue whose new jobs run in its former pool, or wait for ever.
TEST(QueueMove, NewJobsRunInTheNewPool)
{
	QueueMoveWorld world = MovedWorld();
	world.Submit(0, "new");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("new"), std::set<size_t>{1});
}

/// Guards against knowledge of a move that is lost with the hosts that saw it.
TEST(QueueMove, HostsThatStartAfterTheMoveFindTheJobs)
{
	QueueMoveWorld world = MovedWorld();
	world.KillAll(1000);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::CannotTell);
	world.Run(1000 + cSettleMs);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::Known);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
}

/// Guards against a change that all hosts sleep through: no owner has seen both configurations.
TEST(QueueMove, AChangeWhileNoHostRunsIsNoticed)
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	world.KillAll(1000);
	world.Configure(2);
	world.Run(1000 + cSettleMs);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::Known);
	world.Submit(1, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
}

/// Guards against one id in two cells: a host with an older configuration hands it in after the former cell was asked about it.
TEST(QueueMove, AHostThatIsBehindHandsInTheSameJob)
{
	QueueMoveWorld world = MovedWorld();
	world.HoldBack(2, 0);
	world.Submit(0, "late");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("late"), std::set<size_t>{1});
	world.Submit(2, "late");
	world.Submit(2, "other");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("late"), std::set<size_t>{1});
	EXPECT_EQ(world.TakenBy("other"), std::set<size_t>{1});
	EXPECT_EQ(world.Ask(2, "late"), EFinding::Known);
	world.Cancel(2, "other");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("other"), EJobPhase::Canceled);
}

/// The same with an append that was under way for long, and a successor of the former cell's owner.
TEST(QueueMove, ALateAppendAtTheFormerCellIsPassedOn)
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	world.Submit(2, "job", 6000);
	world.Configure(1);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{1});
	world.KillOwner(0, 500);
	world.Run(6000);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{1});
}

/// Guards against untrue answers while the former cell has no owner: neither gone nor a second run.
TEST(QueueMove, NobodyCanTellWhileTheFormerCellHasNoOwner)
{
	QueueMoveWorld world = MovedWorld();
	world.KillOwner(0, 60'000);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::CannotTell);
	world.Submit(0, "job");
	world.Submit(0, "new");
	world.Run(5000);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::CannotTell);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	EXPECT_TRUE(world.TakenBy("new").empty());
	// The new owner of the current cell must still have what waits
	world.KillOwner(1, 500);
	world.Run(60'000);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	EXPECT_EQ(world.TakenBy("new"), std::set<size_t>{1});
}

/// Guards against a cancellation that waits without a bound because the former cell's owner is not reached, though its inbox is.
TEST(QueueMove, ACancellationDoesNotWaitForAnswers)
{
	MoveFaults faults;
	faults.lost_message = 100;
	QueueMoveWorld world(1, faults);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	for (const size_t pool : {1, 2})
	{
		world.Configure(pool);
		world.Run(cSettleMs);
	}
	world.Cancel(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("job"), EJobPhase::Canceled);
}

/// Guards against cancellations that the cells of a queue pass to each other for ever.
TEST(QueueMove, ACancellationOfAnUnknownJobComesToRest)
{
	for (const uint64 lost_message : {0, 100})
	{
		MoveFaults faults;
		faults.lost_message = lost_message;
		QueueMoveWorld world(1, faults);
		for (const size_t pool : {0, 1, 2, 0})
		{
			world.Configure(pool);
			world.Run(cSettleMs);
		}
		for (size_t host = 0; host < QueueMoveWorld::cHosts; ++host)
		{
			world.HoldBack(host, host + 1);
			world.Cancel(host, "never");
		}
		world.Run(2 * cSettleMs);
		size_t appends = 0;
		for (size_t pool = 0; pool < QueueMoveWorld::cPools; ++pool)
			appends += world.Appends(pool);
		world.Run(5 * cSettleMs);
		for (size_t pool = 0; pool < QueueMoveWorld::cPools; ++pool)
			appends -= world.Appends(pool);
		EXPECT_EQ(appends, 0u) << lost_message;
	}
}

/// Guards against jobs that are lost in a chain of moves.
TEST(QueueMove, MovedTwiceAndBack)
{
	QueueMoveWorld world = MovedWorld();
	world.Submit(0, "second");
	world.Run(cSettleMs);
	world.Configure(2);
	world.Run(cSettleMs);
	world.Submit(0, "third");
	for (const char *job : {"job", "second"})
		world.Submit(1, job);
	world.Run(cSettleMs);
	world.Configure(0);
	world.Run(cSettleMs);
	world.Submit(0, "fourth");
	for (const char *job : {"job", "second", "third"})
		world.Submit(2, job);
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	EXPECT_EQ(world.TakenBy("second"), std::set<size_t>{1});
	EXPECT_EQ(world.TakenBy("third"), std::set<size_t>{2});
	EXPECT_EQ(world.TakenBy("fourth"), std::set<size_t>{0});
	EXPECT_EQ(world.Count(0), 4u);
	world.Cancel(0, "second");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("second"), EJobPhase::Canceled);
}

/// Guards against a job that is unknown under its queue's next name, because the owner that took it never read the name that the queue
/// had. All owners change in between, so that only what the logs say counts.
TEST(QueueMove, AJobThatAnOwnerTookUnderAnUnknownNameStaysKnown)
{
	QueueMoveWorld world(1);
	world.Submit(0, "job");
	world.Configure(0, "second");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	world.Configure(0, "third");
	world.KillAll(1000);
	world.Run(10'000);
	world.Configure(1, "third");
	world.Run(cSettleMs);
	world.KillAll(1000);
	world.Run(10'000);
	for (size_t host = 0; host < QueueMoveWorld::cHosts; ++host)
	{
		EXPECT_EQ(world.Ask(host, "job"), EFinding::Known);
		world.Submit(host, "job");
	}
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	world.Cancel(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("job"), EJobPhase::Canceled);
}

/// Guards against a job that belongs to another queue once that one has got the name of the job's queue.
TEST(QueueMove, AQueueThatTakesOverANameTakesNoJobs)
{
	CellTuning tuning;
	tuning.log_partitions = 8;
	const uint32 own = CellOf("pool", tuning.log_partitions);
	Queue former;
	former.name = "name";
	former.host = "host";
	former.pool = "pool";
	Queue next = former;
	next.prefix = "/other/";
	auto catalogue = std::make_shared<Catalogue>();
	catalogue->version = 3;
	catalogue->queues.push_back(former);
	Cell cell(tuning);
	cell.SetCatalogue(catalogue);
	cell.Begin(1, 1000, own);
	cell.Placements().OnRegistered(cell.Placements().SitesToRegister(10), {}, 1000);
	InboxRecord sent{EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)};
	sent.spec.queue = "name";
	sent.spec.pool = "pool";
	sent.queue_key = KeyOf(former);
	sent.queue_version = 3;
	cell.Ingest(sent, 0, 1000, 1'700'000'000'000);
	auto renamed = std::make_shared<Catalogue>();
	renamed->version = 5;
	renamed->queues.push_back(next);
	cell.SetCatalogue(renamed);
	Cell successor(tuning);
	for (const KeyedRecord &record : cell.TakeBatch(1'700'000'000'000))
		EXPECT_TRUE(successor.Restore(record.key, record.value));
	successor.SetCatalogue(renamed);
	successor.Begin(2, 2000, own);
	for (Cell *owner : {&cell, &successor})
	{
		EXPECT_TRUE(owner->Query("third", "job", KeyOf(former)).known);
		EXPECT_FALSE(owner->Query("third", "job", KeyOf(next)).known);
		const MoveAnswer answer = owner->OnQueueMoved({{KeyOf(former), own + 1, 7, "pool2"}, own, {"job"}}, 2000, 1'700'000'000'000);
		EXPECT_EQ(answer.known, std::vector<std::string>{"job"});
		EXPECT_TRUE(owner->OnQueueMoved({{KeyOf(next), own + 1, 7, "pool2"}, own, {"job"}}, 2000, 1'700'000'000'000).known.empty());
	}
}

/// Guards against a queue that is taken for another one because it was removed in between, or has another name now.
TEST(QueueMove, RemovedThenAddedElsewhereUnderAnotherName)
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	world.Configure(std::nullopt);
	world.Run(cSettleMs);
	EXPECT_EQ(world.Ask(0, "job"), std::nullopt);
	world.Configure(3, "other");
	world.Run(cSettleMs);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::Known);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	world.Cancel(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("job"), EJobPhase::Canceled);
}

/// Guards against a queue that has another name in the same pool.
TEST(QueueMove, RenamedInItsPool)
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	world.Configure(0, "other");
	world.Run(cSettleMs);
	EXPECT_EQ(world.Ask(0, "job"), EFinding::Known);
	EXPECT_EQ(world.Count(0), 1u);
}

/// Guards against records that wait for ever because their queue was removed before the cell's log had its placement.
TEST(QueueMove, ASuccessorTakesWhatWasHeldForAQueueThatIsGone)
{
	MoveFaults faults;
	faults.late_registrar = 100;
	QueueMoveWorld world(1, faults);
	world.Submit(0, "job");
	world.Run(100);
	world.Configure(std::nullopt);
	world.Run(20);
	world.KillOwner(0, 100);
	world.Run(10'000);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
}

/// Guards against a job that is lost with its owner because the log had already passed its inbox record: the former cell, owned by the same
/// host, was asked and answered between the planning and the append.
TEST(QueueMove, AnAnswerBetweenPlanningAndAppendLosesNoJob)
{
	MoveFaults faults;
	faults.same_owner = 100;
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		QueueMoveWorld world(seed, faults);
		world.Run(cSettleMs);
		world.Configure(1);
		world.Run(cSettleMs);
		for (Millis job = 0; job < 10; ++job)
			world.Submit(0, "job" + std::to_string(job), 10 * (1 + job));
		world.Run(static_cast<Millis>(20 + seed * 5));
		world.KillOwner(1, 100);
		world.Run(2 * cSettleMs);
		for (Millis job = 0; job < 10; ++job)
			EXPECT_EQ(world.TakenBy("job" + std::to_string(job)), std::set<size_t>{1}) << "seed " << seed << " job " << job;
	}
}

/// Guards against a job that nobody knows, or that two cells take, between the last answer about it and the next planning pass.
TEST(QueueMove, AJobIsKnownOnceItsCellMayTakeIt)
{
	CellTuning tuning;
	tuning.log_partitions = 8;
	const uint32 own = CellOf("pool", tuning.log_partitions);
	auto catalogue = std::make_shared<Catalogue>();
	catalogue->version = 5;
	Queue queue;
	queue.name = "queue";
	queue.pool = "pool";
	catalogue->queues.push_back(queue);
	Cell cell(tuning);
	cell.SetCatalogue(catalogue);
	cell.Begin(1, 1000, own);
	QueuePlacements &placements = cell.Placements();
	QueueRegistry registry;
	registry.Add({KeyOf(queue), own + 1, 3, "former"});
	placements.OnRegistered(placements.SitesToRegister(1), registry, 1000);
	cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, 1000, 1'700'000'000'000);
	const std::vector<MoveQuestion> questions = placements.TakeQuestions(1000);
	ASSERT_EQ(questions.size(), 1u);
	MoveAnswer answer;
	answer.site = questions.front().site;
	answer.fenced = true;
	placements.OnAnswer(questions.front(), answer, 1000);
	EXPECT_TRUE(placements.IsUndecided("job", 1000));
	const MoveQuestion from_next{{KeyOf(queue), own + 2, 7, "next"}, own, {"job"}};
	EXPECT_EQ(cell.OnQueueMoved(from_next, 1000, 1'700'000'000'000).known, std::vector<std::string>{"job"});
}

/// Guards against a job that a cancellation does not find: its cell's first owner began after a configuration had removed the queue, and a
/// later one placed the queue in another pool.
TEST(QueueMove, ACancelFindsAJobThatAnOwnerTookWithoutItsQueue)
{
	QueueMoveWorld world(1);
	world.Submit(0, "job");
	world.Configure(std::nullopt);
	world.Run(10'000);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	world.Configure(1);
	world.Run(cSettleMs);
	world.Cancel(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.PhaseOf("job"), EJobPhase::Canceled);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
}

/// Guards against a queue that is taken for another one because the owner never reads the version that placed it in its cell.
TEST(QueueMove, ARecordTellsWhereItsQueueIsPlaced)
{
	CellTuning tuning;
	tuning.log_partitions = 8;
	tuning.records_name_queues = true;
	const uint32 own = CellOf("pool", tuning.log_partitions);
	Queue queue;
	queue.host = "host";
	auto without = std::make_shared<Catalogue>();
	without->version = 7;
	Cell cell(tuning);
	cell.SetCatalogue(without);
	cell.Begin(1, 1000, own);
	InboxRecord sent{EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)};
	// Hosts of earlier versions write records without a queue's key
	EXPECT_EQ(EncodeInboxRecord(sent), EncodeValue(sent));
	sent.spec.pool = "pool";
	sent.queue_key = KeyOf(queue);
	sent.queue_version = 3;
	const std::optional<InboxRecord> read = DecodeInboxRecord(EncodeInboxRecord(sent));
	ASSERT_TRUE(read.has_value());
	cell.Ingest(*read, 0, 1000, 1'700'000'000'000);
	QueuePlacements &placements = cell.Placements();
	const std::vector<QueueSite> own_sites = placements.SitesToRegister(10);
	EXPECT_EQ(own_sites, (std::vector<QueueSite>{{KeyOf(queue), own, 3, "pool"}}));
	placements.OnCatalogueRead(2000);
	// A later version has placed it in a cell that may have taken the job
	QueueRegistry registry;
	registry.Add({KeyOf(queue), own + 1, 5, "next"});
	placements.OnRegistered(own_sites, registry, 2000);
	const std::vector<RedirectedRecord> redirected = placements.TakeRedirected();
	ASSERT_EQ(redirected.size(), 1u);
	EXPECT_EQ(redirected.front().cell, own + 1);
	EXPECT_EQ(redirected.front().record.queue_version, 5);
	EXPECT_EQ(cell.Counts().jobs, 0u);
}

/// Guards against costs of queues that never move: one registration, no question, no append beyond those of the jobs.
TEST(QueueMove, AQueueThatStaysAsksNobody)
{
	QueueMoveWorld world(1);
	world.Run(cSettleMs);
	EXPECT_EQ(world.Appends(0), 0u);
	world.Submit(0, "job");
	world.Run(30 + cSettleMs);
	EXPECT_EQ(world.TakenBy("job"), std::set<size_t>{0});
	EXPECT_EQ(world.Appends(0), 1u);
	world.Configure(0);
	world.Run(30'000);
	EXPECT_EQ(world.Questions(), 0u);
	EXPECT_EQ(world.Appends(0), 1u);
}

/// Guards against a moved queue that pays for its move for ever.
TEST(QueueMove, AFormerCellWithoutJobsIsForgotten)
{
	MoveFaults faults;
	faults.keep_ended_ms = 5000;
	QueueMoveWorld world(1, faults);
	world.Run(cSettleMs);
	world.Submit(0, "job");
	world.Run(cSettleMs);
	world.Configure(1);
	world.Run(cSettleMs);
	world.Submit(0, "first");
	world.Cancel(0, "job");
	world.Run(40'000);
	const size_t questions = world.Questions();
	world.Submit(0, "second");
	world.Run(30'000);
	EXPECT_EQ(world.TakenBy("second"), std::set<size_t>{1});
	EXPECT_EQ(world.Questions(), questions);
}

/// Guards against cells that disagree on where a queue is, whatever the order of moves, kills and late appends.
TEST(QueueMoveSeeds, SlowStoresAndHostsThatAreBehind)
{
	MoveFaults faults;
	faults.slow_append_ms = 1500;
	faults.host_lag_ms = 2000;
	faults.late_registrar = 30;
	faults.lost_message = 10;
	faults.unknown_append = 20;
	ExpectSeeds(1, cSeeds, faults);
}

/// The same with owners that are killed.
TEST(QueueMoveSeeds, KilledOwners)
{
	MoveFaults faults;
	faults.slow_append_ms = 300;
	faults.host_lag_ms = 1500;
	faults.late_registrar = 20;
	faults.lost_message = 10;
	faults.unknown_append = 10;
	faults.owner_kill = 40;
	faults.no_owner_ms = 4000;
	faults.same_owner = 40;
	ExpectSeeds(1001, cSeeds, faults);
}

/// Guards against a cancellation that the new cell decides on before the submission has come from the former one.
TEST(QueueMoveSeeds, CanceledJobsOfQueuesThatMove)
{
	MoveFaults faults;
	faults.slow_append_ms = 300;
	faults.host_lag_ms = 1500;
	faults.checks_cancels = true;
	ExpectSeeds(4001, cSeeds, faults);
}

/// Guards against a cancellation that is lost on its way to a former cell: with an owner, in a lost message, in a repeated append.
TEST(QueueMoveSeeds, CanceledJobsOfQueuesWhoseOwnersAreKilled)
{
	MoveFaults faults;
	faults.slow_append_ms = 300;
	faults.host_lag_ms = 1500;
	faults.late_registrar = 20;
	faults.lost_message = 30;
	faults.unknown_append = 10;
	faults.owner_kill = 20;
	faults.no_owner_ms = 2000;
	faults.same_owner = 20;
	faults.checks_cancels = true;
	ExpectSeeds(5001, cSeeds, faults);
}

/// The same during a rollout: one host is of the earlier version, whose records do not name the queue.
TEST(QueueMoveSeeds, RecordsOfBothVersions)
{
	MoveFaults faults;
	faults.slow_append_ms = 300;
	faults.host_lag_ms = 1000;
	faults.late_registrar = 20;
	faults.lost_message = 5;
	faults.owner_kill = 20;
	faults.no_owner_ms = 2000;
	faults.earlier_host = true;
	ExpectSeeds(6001, cSeeds, faults);
}

/// Faults with queues that are removed for a while.
MoveFaults Removals()
{
	MoveFaults faults;
	faults.slow_append_ms = 100;
	faults.host_lag_ms = 800;
	faults.late_registrar = 20;
	faults.lost_message = 5;
	faults.owner_kill = 20;
	faults.no_owner_ms = 2000;
	faults.removal = 25;
	return faults;
}

/// The same with queues that are removed and added again.
TEST(QueueMoveSeeds, RemovedQueues) { ExpectSeeds(2001, cSeeds, Removals()); }

/// The same where records name the queue.
TEST(QueueMoveSeeds, RemovedQueuesThatRecordsName)
{
	MoveFaults faults = Removals();
	faults.names_queues = true;
	ExpectSeeds(2001, cSeeds, faults);
}

/// The same with queues that come back under another name, also in versions that an owner has never read.
TEST(QueueMoveSeeds, RenamedQueues)
{
	MoveFaults faults = Removals();
	faults.rename = 40;
	ExpectSeeds(3001, cSeeds, faults);
}

} // namespace Loomreach::Jobs
