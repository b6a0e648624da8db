// Starts must stay within a worker's capacity, also where it shrinks or the worker runs something that no record contains.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr int64 cWall = 1'700'000'000'000;
constexpr Millis cStepMs = 10;
constexpr int64 cCores = 16000;

/// A cell with one worker, which lists the dispatched runs and those that the test adds.
class StrayRunSimulation
{
public:
	StrayRunSimulation()
	{
		this->entry.id = "w0";
		this->entry.pool = "pool";
		this->entry.address = {"127.0.0.1", 1};
		this->entry.capacity = {cCores, 32768, 0};
		this->cell.Begin(1, this->now);
		this->cell.SetWorkers({this->entry}, this->now);
	}

	void Submit(const std::string &inId, int64 inCpuMilli)
	{
		JobSpec job = MakeJob(inId, 1, 1, inCpuMilli, 300);
		job.accepted_wall_ms = cWall + this->now;
		this->cell.Ingest({EInbox::Submit, job}, this->offset++, this->now, cWall + this->now);
	}

	/// Whether a job's task was dispatched to the worker.
	bool HasStarted(const std::string &inId) const
	{
		return std::any_of(this->started.begin(), this->started.end(), [&](const RunningRun &inRow) { return inRow.task.job == inId; });
	}

	void SetCores(int64 inMilli)
	{
		this->entry.capacity.cpu_milli = inMilli;
		this->cell.SetWorkers({this->entry}, this->now);
	}

	/// Plans, sends and answers once; appends complete immediately unless they are blocked.
	void Step()
	{
		this->cell.Plan(this->now, cWall + this->now);
		for (const Order &order : this->cell.TakeOrders(this->now))
			this->Answer(order);
		this->now += cStepMs;
		if (!this->log_blocked && this->cell.HasUnwrittenChanges() && !this->cell.TakeBatch(cWall + this->now).empty())
			this->cell.OnAppended(this->now);
	}

	void Run(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
			this->Step();
	}

	Cell cell{CellTuning{}};
	std::vector<RunningRun> stray_runs; ///< Runs on the worker that were not dispatched; they end only when the test removes them.
	bool log_blocked = false;
	Millis now = 1000;

private:
	void Answer(const Order &inOrder)
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.clock_ms = this->now + 5000;
		if (inOrder.kind == EOrder::Start)
			this->started.push_back({inOrder.task, inOrder.run, "", 50, 0});
		if (inOrder.kind == EOrder::Poll)
		{
			answer.running = this->started;
			answer.running.insert(answer.running.end(), this->stray_runs.begin(), this->stray_runs.end());
		}
		this->cell.OnAnswer(inOrder, answer, this->now, this->now + 5);
	}

	WorkerEntry entry;
	std::vector<RunningRun> started;
	uint64 offset = 0;
};

} // namespace

/// While one job runs, the worker lists a run that no record contains: another job starts only once that run has ended.
static void StartsOnlyAfter(const RunningRun &inStray, int64 inFirstCpu, int64 inSecondCpu)
{
	StrayRunSimulation simulation;
	simulation.Run(200);
	simulation.Submit("a", inFirstCpu);
	simulation.Run(200);
	ASSERT_TRUE(simulation.HasStarted("a"));
	simulation.stray_runs.push_back(inStray);
	simulation.Run(1000);
	simulation.Submit("b", inSecondCpu);
	simulation.Run(1000);
	EXPECT_FALSE(simulation.HasStarted("b"));
	simulation.stray_runs.clear();
	simulation.Run(3000);
	EXPECT_TRUE(simulation.HasStarted("b"));
}

TEST(CellCapacity, AStoppedRunKeepsItsResourcesUntilItEnds)
{
	// A worker may have a run of a replaced owner that the records do not contain. It was stopped, but its resources were given away before
	// it had ended: run_unknown, then runs_planned on the same worker, beyond its capacity
	StartsOnlyAfter({{"a", 0, 0, 0}, 9, "", 50, 0}, 5000, 8000);
}

TEST(CellCapacity, StartsNothingBesideARunOfUnknownSize)
{
	// The same with a run of a job that the log no longer holds: the resources that it takes are unknown
	StartsOnlyAfter({{"forgotten", 0, 0, 0}, 1, "", 50, 0}, 1000, 1000);
}

TEST(CellCapacity, DispatchesNoRunThatNoLongerFits)
{
	// The worker's capacity shrinks while the log is being written
	StrayRunSimulation simulation;
	simulation.Run(200);
	simulation.Submit("a", 8000);
	simulation.log_blocked = true;
	simulation.Step();
	ASSERT_FALSE(simulation.cell.TakeBatch(cWall + simulation.now).empty());
	simulation.SetCores(4000);
	simulation.cell.OnAppended(simulation.now);
	simulation.log_blocked = false;
	simulation.Run(1000);
	EXPECT_FALSE(simulation.HasStarted("a"));
	simulation.SetCores(cCores);
	simulation.Run(1000);
	EXPECT_TRUE(simulation.HasStarted("a"));
}

TEST(CellCapacity, KeepsWithinCapacityThatShrinksAndGrows)
{
	// Also over owner changes: a run in the log takes its resources whoever owns the cell
	SetInvariantsAbort(true);
	for (uint64 seed = 1; seed <= 60; ++seed)
	{
		Random random(seed);
		SimulationFaults faults;
		faults.capacity_shrink = 20;
		faults.owner_kill = random.Below(10);
		faults.lost_answer = random.Below(8);
		faults.late_order = random.Below(5);
		faults.slow_stop = random.Below(60);
		faults.slow_append = random.Below(20);
		CellSimulation simulation(seed, faults, 4);
		for (int i = 0; i < 30; ++i)
		{
			const std::string id = "job" + std::to_string(i);
			simulation.Submit(MakeJob(id, 1, 1 + static_cast<uint32>(random.Below(6)), 500 + static_cast<int64>(random.Below(4000)), 800));
			simulation.Run(100 + static_cast<Millis>(random.Below(500)));
			if (random.Chance(20))
				simulation.Cancel(id);
		}
		simulation.Run(10000);
		simulation.ClearFaults();
		simulation.Run(60000);
		EXPECT_EQ(simulation.Violations(), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

RC_GTEST_PROP(CellCapacity, KeepsWithinCapacityOverCrashesTakeOversAndLostRacks, ())
{
	constexpr size_t cWorkers = 12;
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	Random random(seed);
	SimulationFaults faults = AllFaults(random);
	faults.capacity_shrink = 10 + random.Below(20);
	faults.owner_kill += random.Below(15);
	CellSimulation simulation(seed, faults, cWorkers);
	AssignRacks(simulation);
	int next = 0;
	for (int i = 0; i < 6; ++i)
	{
		SubmitHealthyJobs(simulation, random, 5, next);
		if (random.Chance(50))
			LoseRack(simulation, random, cWorkers / cWorkersPerRack);
		if (random.Chance(30))
			simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, static_cast<Millis>(random.Below(100))));
	}
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(90000);
	// Only violations of capacity: the limit on crashing tasks has its own property
	std::string no_capacity;
	for (const std::string &line : simulation.violations)
		no_capacity += line.find("no room") == std::string::npos ? "" : line + '\n';
	RC_ASSERT(no_capacity + simulation.UnfinishedJobs() == "");
}

} // namespace Loomreach::Jobs
