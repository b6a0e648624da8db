// Rules of a cell that hold whatever the network, the workers and the owner do.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskText.h>
#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

TEST(Cell, AnAppendIsNeverLargerThanTheStoreTakes)
{
	// After all hosts had lost power, an owner read the waiting inbox and wrote it in one append of 2.4 MB. The store accepts 2 MB and
	// refused it for good, and the cell's jobs made no more progress
	static constexpr int64 cWall = 1'700'000'000'000;
	static constexpr size_t cStoreTakes = 2'000'000;
	Cell cell(CellTuning{});
	cell.Begin(1, 1000);
	for (uint64 i = 0; i < 1000; ++i)
	{
		JobSpec job = MakeJob("job" + std::to_string(i), 1, 8, 1000, 300);
		job.payload = std::string(4000, 'x');
		job.accepted_wall_ms = cWall;
		cell.Ingest({EInbox::Submit, job}, i, 1000, cWall);
	}
	Cell successor(CellTuning{});
	size_t appends = 0;
	while (cell.HasUnwrittenChanges())
	{
		size_t bytes = 0;
		for (const KeyedRecord &record : cell.TakeBatch(cWall))
		{
			bytes += record.key.size() + record.value.size();
			EXPECT_TRUE(successor.Restore(record.key, record.value));
		}
		EXPECT_LT(bytes, cStoreTakes);
		if (bytes == 0)
			break;
		++appends;
		// Only the last append contains the inbox position: a successor that has some of them reads from the beginning
		EXPECT_EQ(successor.InboxNext(), successor.Counts().jobs < 1000 ? 0u : 1000u);
		cell.OnAppended(1000);
	}
	EXPECT_GT(appends, 3u);
	EXPECT_EQ(successor.InboxNext(), 1000u);
	successor.Begin(2, 2000);
	EXPECT_EQ(successor.Counts().active, 1000u);
}

/// The members of a gang that started again brought their own checkpoints each, though all must bring the same one.
TEST(Cell, AGangStartsAgainFromOneCheckpoint)
{
	Cell cell(CellTuning{});
	Millis now = 1000;
	cell.Begin(1, now);
	std::vector<WorkerEntry> entries(2);
	for (WorkerEntry &entry : entries)
	{
		entry.id = &entry == &entries[0] ? "w0" : "w1";
		entry.pool = "pool";
		entry.address = {"127.0.0.1", 1};
		entry.capacity = {1000, 32768, 0};
	}
	cell.SetWorkers(entries, now);
	JobSpec job = MakeJob("gang", 1, 2, 1000, 5000);
	job.steps[0].gang = true;
	job.steps[0].checkpoints = true;
	cell.Ingest({EInbox::Submit, job}, 0, now, now);
	std::map<std::string, RunningRun> running; ///< By worker.
	std::map<std::string, EndedRun> ended;     ///< The same.
	std::vector<Order> starts;
	while (now < 6000 && starts.size() < 4)
	{
		now += 100;
		cell.Plan(now, now);
		if (cell.HasUnwrittenChanges() && !cell.TakeBatch(now).empty())
			cell.OnAppended(now);
		for (const Order &order : cell.TakeOrders(now))
		{
			OrderAnswer answer;
			answer.result = EOrderResult::Done;
			answer.clock_ms = now;
			if (order.kind == EOrder::Start)
			{
				starts.push_back(order);
				running[order.worker] = {order.task, order.run, TaskText(order.task) + " early", 10, 0};
			}
			// The first member fails of its own, the other one by this stop
			const bool ends = order.kind == EOrder::Stop || (order.worker == "w0" && now > 3000 && !ended.contains("w0"));
			if (ends && running.contains(order.worker))
			{
				const RunningRun &row = running[order.worker];
				ended[order.worker] = {1, row.task, row.run, order.kind == EOrder::Stop ? ERunEnd::Stopped : ERunEnd::Failed,
									   TaskText(row.task) + " late"};
				running.erase(order.worker);
			}
			if (order.kind == EOrder::Poll && running.contains(order.worker))
				answer.running.push_back(running[order.worker]);
			if (order.kind == EOrder::Poll && ended.contains(order.worker) && order.acknowledged_end == 0)
				answer.ended.push_back(ended[order.worker]);
			cell.OnAnswer(order, answer, now - 5, now);
		}
	}
	ASSERT_EQ(starts.size(), 4u);
	EXPECT_EQ(starts[2].run, 2u);
	EXPECT_FALSE(starts[2].checkpoint.empty());
	EXPECT_EQ(starts[2].checkpoint, starts[3].checkpoint);
}

TEST(Cell, QuietDayEndsEveryJob)
{
	Random random(1);
	CellSimulation simulation(1, SimulationFaults{}, 4);
	RunMixedWorkload(simulation, random);
	simulation.Run(20000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_TRUE(simulation.AllEnded());
	EXPECT_GT(simulation.Starts(), 100u);
}

TEST(Cell, RunsSurviveAChangeOfOwner)
{
	// Owners are killed about every second: work still goes on, and nothing runs twice
	SimulationFaults faults;
	faults.owner_kill = 60;
	Random random(7);
	CellSimulation simulation(7, faults, 4);
	RunMixedWorkload(simulation, random);
	simulation.Run(15000);
	simulation.ClearFaults();
	simulation.Run(40000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_GT(simulation.Takeovers(), 3u);
	EXPECT_TRUE(simulation.AllEnded());
}

TEST(Cell, NothingIsShownBeforeTheLogHoldsIt)
{
	SimulationFaults faults;
	faults.slow_append = 100;
	CellSimulation simulation(3, faults, 2);
	simulation.Submit(MakeJob("a", 1, 1, 1000, 300));
	// Read from the inbox, but its first record is still being written
	simulation.Run(500);
	EXPECT_EQ(simulation.QueryJob("a").phase, EJobPhase::Queued);
	EXPECT_EQ(simulation.Starts(), 0u);
	simulation.Run(20000);
	EXPECT_EQ(simulation.QueryJob("a").phase, EJobPhase::Completed);
}

TEST(Cell, AJobThatFailsTooOftenIsFailed)
{
	SimulationFaults faults;
	faults.failed_run = 100;
	CellSimulation simulation(5, faults, 3);
	simulation.Submit(MakeJob("a", 1, 1, 1000, 1200));
	simulation.Run(60000);
	EXPECT_EQ(simulation.QueryJob("a").phase, EJobPhase::Failed);
	EXPECT_EQ(simulation.Starts(), 3u);
	EXPECT_EQ(simulation.Violations(), "");
}

TEST(Cell, AStragglerIsStartedElsewhere)
{
	// One worker takes twenty times as long; others take over its runs
	CellSimulation simulation(11, SimulationFaults{}, 3);
	simulation.Run(200);
	simulation.Workers().begin()->second.slow_factor = 20;
	for (int i = 0; i < 12; ++i)
	{
		simulation.Submit(MakeJob("job" + std::to_string(i), 1, 4, 2000, 1000));
		simulation.Run(400);
	}
	simulation.Run(8000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

/// Where the other workers were full, a straggler's second run was placed on the slow worker again.
TEST(Cell, AStragglerIsNotStartedOnItsSlowWorkerAgain)
{
	size_t open = 0;
	for (uint64 seed = 1; seed <= 200; ++seed)
	{
		CellSimulation simulation(seed, SimulationFaults{}, 3);
		simulation.Run(200);
		simulation.Workers().begin()->second.slow_factor = 20;
		for (int i = 0; i < 12; ++i)
		{
			simulation.Submit(MakeJob("job" + std::to_string(i), 1, 4, 2000, 1000));
			simulation.Run(400);
		}
		simulation.Run(8000);
		EXPECT_EQ(simulation.Violations(), "") << seed;
		open += simulation.AllEnded() ? 0 : 1;
	}
	EXPECT_EQ(open, 0u);
}

TEST(Cell, ATaskThatIsLongByItselfEnds)
{
	// A task ten times as long as others of its queue was stopped as a straggler and restarted 34 times in 34 seconds
	CellSimulation simulation(5, SimulationFaults{}, 4);
	for (int i = 0; i < 12; ++i)
	{
		simulation.Submit(MakeJob("short" + std::to_string(i), 1, 2, 1000, 300));
		simulation.Run(400);
	}
	simulation.Run(3000);
	simulation.run_ms["long"] = 12000;
	simulation.Submit(MakeJob("long", 1, 2, 1000, 300));
	simulation.Run(40000);
	EXPECT_EQ(simulation.QueryJob("long").phase, EJobPhase::Completed);
	EXPECT_EQ(simulation.Violations(), "");
}

TEST(Cell, AListThatMayBeCutProvesNoEnd)
{
	// With a slow log, more ends waited than a poll lists; the other runs were taken for stopped and their tasks restarted
	SimulationFaults faults;
	faults.slow_append = 100;
	faults.poll_page_size = 2;
	CellSimulation simulation(3, faults, 1);
	simulation.run_ms["a"] = 300;
	simulation.Submit(MakeJob("a", 1, 8, 1000, 300));
	simulation.Run(30000);
	EXPECT_EQ(simulation.Starts(), 8u);
	EXPECT_EQ(simulation.QueryJob("a").phase, EJobPhase::Completed);
	EXPECT_EQ(simulation.Violations(), "");
}

TEST(Cell, ARunRefusedAsOldIsAskedAfter)
{
	// "old" is the answer for a run that was there and has ended, as a repeated order may get it. It was taken for a run that never began,
	// and the task was restarted before the worker had listed the end
	static constexpr int64 cWall = 1'700'000'000'000;
	Cell cell(CellTuning{});
	cell.Begin(1, 1000);
	WorkerEntry worker;
	worker.id = "w0";
	worker.pool = "pool";
	worker.address = {"127.0.0.1", 1};
	worker.capacity = {16000, 32768, 0};
	cell.SetWorkers({worker}, 1000);
	OrderAnswer well;
	well.result = EOrderResult::Done;
	well.clock_ms = 5000;
	JobSpec job = MakeJob("a", 1, 1, 1000, 300);
	job.accepted_wall_ms = cWall;
	cell.Ingest({EInbox::Submit, job}, 0, 1000, cWall);
	uint32 started = 0;
	for (Millis now = 1000; now < 4000; now += 10)
	{
		cell.Plan(now, cWall + now);
		for (const Order &order : cell.TakeOrders(now))
		{
			OrderAnswer answer = well;
			if (order.kind == EOrder::Start)
				answer.result = ++started == 1 ? EOrderResult::StaleRun : EOrderResult::Done;
			// The run's end, until it is acknowledged
			if (order.kind == EOrder::Poll && started > 0 && order.acknowledged_end == 0)
				answer.ended.push_back({1, {"a", 0, 0, 0}, 1, ERunEnd::Done, ""});
			cell.OnAnswer(order, answer, now, now + 5);
		}
		if (cell.HasUnwrittenChanges() && !cell.TakeBatch(cWall + now).empty())
			cell.OnAppended(now + 5);
	}
	EXPECT_EQ(started, 1u);
	EXPECT_EQ(cell.Query("queue", "a").phase, EJobPhase::Completed);
}

TEST(Cell, HandsOverEveryEndThatAWorkerReported)
{
	// An end was known, but not in the append in flight, when the owner handed over; its worker left before it was polled again
	SimulationFaults faults;
	faults.slow_append = 100;
	faults.listed_end_counts = true;
	CellSimulation simulation(3, faults, 2);
	simulation.run_ms["a"] = 1500;
	simulation.Submit(MakeJob("a", 1, 4, 1000, 300));
	const auto ended = [&simulation]
	{
		size_t count = 0;
		for (const auto &[id, worker] : simulation.Workers())
			count += worker.ended.size();
		return count;
	};
	for (int i = 0; i < 500 && ended() == 0; ++i)
		simulation.Run(10);
	simulation.Run(60);
	ASSERT_GT(ended(), 0u);
	simulation.RequestHandover();
	const uint64 before = simulation.Takeovers();
	for (int i = 0; i < 500 && simulation.Takeovers() == before; ++i)
		simulation.Run(10);
	ASSERT_GT(simulation.Takeovers(), before);
	for (auto &[id, worker] : simulation.Workers())
		worker.unreachable_until = worker.ended.empty() ? 0 : 1'000'000;
	simulation.Run(15000);
	EXPECT_EQ(simulation.Starts(), 4u);
	EXPECT_EQ(simulation.Violations(), "");
}

/// Asks for a drain grant: the log must hold it before it is given.
static bool GrantsDrainOnceLogged(CellSimulation &ioSimulation, const std::string &inWorker)
{
	EXPECT_FALSE(ioSimulation.Core().DrainWorker(inWorker, 1500, ioSimulation.Now()));
	ioSimulation.Run(100);
	return ioSimulation.Core().DrainWorker(inWorker, 1500, ioSimulation.Now());
}

/// The same for workers that a pool can release.
static PoolDemand ReleasesOnceLogged(CellSimulation &ioSimulation, uint32 inSpare)
{
	EXPECT_TRUE(ioSimulation.Core().Demand("pool", inSpare, 1500, ioSimulation.Now(), 0).releasable.empty());
	ioSimulation.Run(100);
	return ioSimulation.Core().Demand("pool", inSpare, 1500, ioSimulation.Now(), 0);
}

TEST(Cell, KeepsADrainGrantOverAHandover)
{
	// A drain was granted, its owner handed over, and the next one started something on the worker before its host was removed
	CellSimulation simulation(3, SimulationFaults{}, 1);
	simulation.Run(1000);
	const std::string id = simulation.Workers().begin()->first;
	ASSERT_TRUE(GrantsDrainOnceLogged(simulation, id));
	simulation.RequestHandover();
	simulation.Submit(MakeJob("a", 1, 1, 1000, 3000));
	simulation.Run(1400);
	EXPECT_TRUE(simulation.Workers().at(id).running.empty());
	simulation.Run(10000);
	EXPECT_EQ(simulation.Takeovers(), 1u);
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

TEST(Cell, KeepsADrainGrantWhenTheWorkersEntryLapses)
{
	// A drain was granted, and the worker's entry lapsed and came back within the grant. Treated as a new worker it got runs, which were
	// lost with its host (seed 27 of all faults)
	CellSimulation simulation(3, SimulationFaults{}, 1);
	simulation.Run(1000);
	SimulatedWorker &worker = simulation.Workers().begin()->second;
	ASSERT_TRUE(GrantsDrainOnceLogged(simulation, worker.id));
	worker.unlisted = true;
	simulation.Run(450);
	worker.unlisted = false;
	simulation.Submit(MakeJob("a", 1, 1, 1000, 3000));
	simulation.Run(900);
	EXPECT_TRUE(worker.running.empty());
	simulation.Run(10000);
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

TEST(Cell, WhatFitsNowhereWaits)
{
	CellSimulation simulation(5, SimulationFaults{}, 3);
	simulation.Submit(MakeJob("huge", 1, 1, 99000, 300));
	simulation.Run(10000);
	EXPECT_EQ(simulation.QueryJob("huge").phase, EJobPhase::Queued);
	EXPECT_EQ(simulation.Core().Waiting("queue"), 1u);
}

TEST(Cell, SparesOnlyEmptyWorkers)
{
	CellSimulation simulation(5, SimulationFaults{}, 4);
	simulation.Submit(MakeLongRunningJob(2));
	simulation.Run(3000);
	const PoolDemand demand = ReleasesOnceLogged(simulation, 4);
	EXPECT_EQ(demand.releasable.size(), 2u);
	EXPECT_EQ(demand.min_hosts, 2u);
	for (const std::string &id : demand.releasable)
		EXPECT_TRUE(simulation.Workers().at(id).running.empty());
}

TEST(Cell, LetsNoWorkerGoBeforeItsEndsAreInTheLog)
{
	// A successful end was known but not logged when the drain of its worker was granted and the host moved. The owner lost its lease; the
	// next one found the run in the log and its worker lost, and restarted the task
	SimulationFaults faults;
	faults.slow_append = 100;
	CellSimulation simulation(3, faults, 1);
	simulation.Submit(MakeJob("a", 1, 1, 1000, 300));
	simulation.Run(1500);
	const std::string id = simulation.Workers().begin()->first;
	bool began = false;
	bool granted = false;
	for (int i = 0; i < 200 && !granted; ++i)
	{
		simulation.Run(20);
		began = began || simulation.Starts() > 0;
		const Millis now = 2500 + i * 20;
		granted = began &&
				  (simulation.Core().DrainWorker(id, 1500, now) || !simulation.Core().Demand("pool", 1, 1500, now, 0).releasable.empty());
		EXPECT_TRUE(!granted || simulation.QueryJob("a").phase == EJobPhase::Completed);
	}
	EXPECT_TRUE(granted);
}

TEST(Cell, GrantsNoDrainBeforeTheWorkersEndsAreAcknowledged)
{
	// A worker's last ends were in the log, but with no runs left on it no poll acknowledged them. Its drain was granted 4 ms after the
	// append, and its host moved with 100 ends that count as never recorded
	CellSimulation simulation(3, SimulationFaults{}, 1);
	simulation.Submit(MakeJob("a", 1, 4, 1000, 300));
	const std::string id = simulation.Workers().begin()->first;
	Millis now = 1000;
	for (; now < 6000 && simulation.QueryJob("a").phase != EJobPhase::Completed; now += 10)
		simulation.Run(10);
	bool granted = false;
	for (int i = 0; i < 100 && !granted; ++i)
	{
		simulation.Run(5);
		now += 5;
		granted = simulation.Core().DrainWorker(id, 1500, now);
		EXPECT_TRUE(!granted || simulation.Workers().at(id).ended.empty());
	}
	EXPECT_TRUE(granted);
}

TEST(Cell, SparesNoWorkerThatHasLeft)
{
	// The worker list shows a worker for 4.5 s after its host has moved, and workers that had left were counted in place of those that
	// could be released
	CellSimulation simulation(5, SimulationFaults{}, 4);
	simulation.Run(3000);
	const PoolDemand first = ReleasesOnceLogged(simulation, 2);
	ASSERT_EQ(first.releasable.size(), 2u);
	simulation.Core().OnWorkersRemoved(first.releasable, simulation.Now());
	const PoolDemand second = ReleasesOnceLogged(simulation, 2);
	ASSERT_EQ(second.releasable.size(), 2u);
	for (const std::string &id : second.releasable)
		EXPECT_EQ(std::count(first.releasable.begin(), first.releasable.end(), id), 0) << id;
	// Nor is anything started there, even when it is no longer being drained
	simulation.Submit(MakeJob("job", 1, 4, 1000, 3000));
	simulation.Run(2500);
	for (const std::string &id : first.releasable)
		EXPECT_TRUE(simulation.Workers().at(id).running.empty()) << id;
}

TEST(Cell, WorkersWhoseEntriesLapsedGoOnWorking)
{
	// The store was unavailable for longer than three heartbeats of the workers: all entries lapse, and come back within two seconds
	CellSimulation simulation(5, SimulationFaults{}, 3);
	simulation.Run(1000);
	simulation.OnStoreRecovered(2000);
	for (auto &[id, worker] : simulation.Workers())
		worker.unlisted = true;
	simulation.Run(500);
	simulation.Submit(MakeJob("job", 1, 4, 1000, 500));
	simulation.Run(400);
	EXPECT_EQ(simulation.Starts(), 4u);
	// A worker that is still missing then is lost
	simulation.Run(1500);
	simulation.Submit(MakeJob("late", 1, 4, 1000, 500));
	simulation.Run(3000);
	EXPECT_EQ(simulation.Starts(), 4u);
	EXPECT_EQ(simulation.Violations(), "");
}

TEST(Cell, AWorkerThatLeftTheListGetsNothingNew)
{
	// Without an outage, a missing entry means that its worker leaves, even if it never said so
	CellSimulation simulation(5, SimulationFaults{}, 2);
	simulation.Run(1000);
	SimulatedWorker &leaving = simulation.Workers().begin()->second;
	leaving.unlisted = true;
	simulation.Run(500);
	simulation.Submit(MakeJob("job", 1, 8, 1000, 500));
	simulation.Run(300);
	EXPECT_TRUE(leaving.running.empty());
	EXPECT_EQ(simulation.Starts(), 8u);
}

TEST(Cell, MovesLongRunningTasksOffAWorkerThatLeftTheList)
{
	// Such tasks stayed until the worker ended, and were missing until its lease was over
	CellSimulation simulation(5, SimulationFaults{}, 4);
	simulation.Submit(MakeLongRunningJob(2));
	simulation.Run(3000);
	SimulatedWorker *leaving = nullptr;
	for (auto &[id, worker] : simulation.Workers())
		if (!worker.running.empty())
			leaving = &worker;
	ASSERT_NE(leaving, nullptr);
	leaving->unlisted = true;
	simulation.Run(5000);
	EXPECT_TRUE(leaving->running.empty());
	size_t at_work = 0;
	for (const auto &[id, worker] : simulation.Workers())
		at_work += worker.running.size();
	EXPECT_EQ(at_work, 2u);
	EXPECT_EQ(simulation.Violations(), "");
}

TEST(Cell, StopsNoLongRunningTaskWhileAnotherIsOnAnUnresponsiveWorker)
{
	// A task on an unresponsive worker counted as running, as it was last listed
	CellSimulation simulation(5, SimulationFaults{}, 5);
	simulation.Submit(MakeLongRunningJob(3));
	simulation.Run(3000);
	std::vector<std::string> busy;
	for (const auto &[id, worker] : simulation.Workers())
		if (!worker.running.empty())
			busy.push_back(id);
	ASSERT_EQ(busy.size(), 3u);
	simulation.Workers().at(busy[0]).unreachable_until = 100000;
	simulation.Run(1500);
	// 3.0 s later: the unresponsive worker's lease is not over, its task is missing
	for (int i = 0; i < 15; ++i)
	{
		simulation.Core().DrainWorker(busy[1], 1500, 5500 + i * 100);
		simulation.Run(100);
		EXPECT_EQ(simulation.Workers().at(busy[1]).running.size(), 1u) << i;
	}
}

TEST(Cell, StopsNothingThatLastsWhileAPredecessorsStopMayBeUnderWay)
{
	// The owner of a cell handed over 0.4 s after it had ordered two tasks to stop. The next one saw them listed as running, as they are
	// until they have stopped, and stopped another
	CellSimulation simulation(5, SimulationFaults{}, 5);
	simulation.stop_duration_ms = 900;
	simulation.Submit(MakeLongRunningJob(3));
	simulation.Run(3000);
	std::vector<std::string> busy;
	for (const auto &[id, worker] : simulation.Workers())
		if (!worker.running.empty())
			busy.push_back(id);
	ASSERT_EQ(busy.size(), 3u);
	const auto is_stopping = [&simulation](const std::string &inWorker)
	{
		for (const auto &[id, work] : simulation.Workers().at(inWorker).running)
			if (work.stops_at >= 0)
				return true;
		return false;
	};
	simulation.Core().DrainWorker(busy[0], 1500, 4000);
	simulation.Run(100);
	ASSERT_TRUE(is_stopping(busy[0]));
	simulation.ReplaceOwner();
	for (int i = 0; i < 8; ++i)
	{
		simulation.Run(100);
		simulation.Core().DrainWorker(busy[1], 1500, 4100 + (i + 1) * 100);
		EXPECT_FALSE(is_stopping(busy[1])) << i;
	}
	// Later it is drained all the same
	simulation.Run(4000);
	for (int i = 0; i < 20; ++i)
	{
		simulation.Core().DrainWorker(busy[1], 1500, 8900 + i * 100);
		simulation.Run(100);
	}
	EXPECT_TRUE(simulation.Workers().at(busy[1]).running.empty());
}

TEST(Cell, MovesLongRunningTasksOffADrainedWorker)
{
	CellSimulation simulation(5, SimulationFaults{}, 4);
	simulation.Submit(MakeLongRunningJob(2));
	simulation.Run(3000);
	std::string busy;
	for (const auto &[id, worker] : simulation.Workers())
		if (!worker.running.empty())
			busy = id;
	ASSERT_FALSE(busy.empty());
	bool empty = false;
	for (int i = 0; i < 40 && !empty; ++i)
	{
		empty = simulation.Core().DrainWorker(busy, 1500, 4000 + i * 100);
		simulation.Run(100);
	}
	EXPECT_TRUE(empty);
	simulation.Run(2000);
	size_t at_work = 0;
	for (const auto &[id, worker] : simulation.Workers())
		at_work += worker.running.size();
	EXPECT_EQ(at_work, 2u);
}

} // namespace Loomreach::Jobs
