// Whether starts keep within what a worker has room for, where its room shrinks or something runs there that no record tells of.

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

/// A cell with one worker, which lists what the test says beside what it was told.
class OneWorker
{
public:
	OneWorker()
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

	/// Whether a job's task was told to the worker.
	bool HasStarted(const std::string &inId) const
	{
		return std::any_of(this->started.begin(), this->started.end(), [&](const RunningRow &inRow) { return inRow.task.job == inId; });
	}

	void SetCores(int64 inMilli)
	{
		this->entry.capacity.cpu_milli = inMilli;
		this->cell.SetWorkers({this->entry}, this->now);
	}

	/// Plans, sends and answers once; appends are through at once unless they are held back.
	void Step()
	{
		this->cell.Plan(this->now, cWall + this->now);
		for (const Order &order : this->cell.TakeOrders(this->now))
			this->Answer(order);
		this->now += cStepMs;
		if (!this->holds_log && this->cell.HasNews() && !this->cell.TakeBatch(cWall + this->now).empty())
			this->cell.OnAppended(this->now);
	}

	void Run(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
			this->Step();
	}

	Cell cell{CellTuning{}};
	std::vector<RunningRow> strays; ///< Beside what was told: run by the worker, stopped only when the test says so.
	bool holds_log = false;
	Millis now = 1000;

private:
	void Answer(const Order &inOrder)
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.clock_ms = this->now + 5000;
		if (inOrder.kind == EOrder::Start)
			this->started.push_back({inOrder.task, inOrder.run, "", 50, 0});
		if (inOrder.kind == EOrder::Hold)
		{
			answer.running = this->started;
			answer.running.insert(answer.running.end(), this->strays.begin(), this->strays.end());
		}
		this->cell.OnAnswer(inOrder, answer, this->now, this->now + 5);
	}

	WorkerEntry entry;
	std::vector<RunningRow> started;
	uint64 offset = 0;
};

} // namespace

/// With one job at work, a worker lists a run that no record tells of: another job starts there only once that run has gone.
static void StartsOnlyAfter(const RunningRow &inStray, int64 inFirstCpu, int64 inSecondCpu)
{
	OneWorker world;
	world.Run(200);
	world.Submit("a", inFirstCpu);
	world.Run(200);
	ASSERT_TRUE(world.HasStarted("a"));
	world.strays.push_back(inStray);
	world.Run(1000);
	world.Submit("b", inSecondCpu);
	world.Run(1000);
	EXPECT_FALSE(world.HasStarted("b"));
	world.strays.clear();
	world.Run(3000);
	EXPECT_TRUE(world.HasStarted("b"));
}

TEST(CellRoom, WhatIsStoppedKeepsItsRoom)
{
	// A worker may have a run that the records do not, of an owner that was replaced. It was stopped, but its room was given away before it
	// had ended: run_unknown, then runs_planned on the same worker, with more than fits
	StartsOnlyAfter({{"a", 0, 0, 0}, 9, "", 50, 0}, 5000, 8000);
}

TEST(CellRoom, NothingStartsBesideWhatNobodyKnows)
{
	// The same with a run of a job that the log no longer has: how much room it takes is not known
	StartsOnlyAfter({{"forgotten", 0, 0, 0}, 1, "", 50, 0}, 1000, 1000);
}

TEST(CellRoom, WhatNoLongerFitsIsNotTold)
{
	// The worker's room shrinks while the log is written
	OneWorker world;
	world.Run(200);
	world.Submit("a", 8000);
	world.holds_log = true;
	world.Step();
	ASSERT_FALSE(world.cell.TakeBatch(cWall + world.now).empty());
	world.SetCores(4000);
	world.cell.OnAppended(world.now);
	world.holds_log = false;
	world.Run(1000);
	EXPECT_FALSE(world.HasStarted("a"));
	world.SetCores(cCores);
	world.Run(1000);
	EXPECT_TRUE(world.HasStarted("a"));
}

TEST(CellRoom, KeepsWithinRoomThatShrinksAndGrows)
{
	// Also over changes of owner: a run in the log takes its room whoever counts
	SetInvariantsAbort(true);
	for (uint64 seed = 1; seed <= 60; ++seed)
	{
		Random random(seed);
		Trouble trouble;
		trouble.shrink = 20;
		trouble.kill = random.Below(10);
		trouble.lost_answer = random.Below(8);
		trouble.late_order = random.Below(5);
		trouble.slow_stop = random.Below(60);
		trouble.slow_log = random.Below(20);
		CellWorld world(seed, trouble, 4);
		for (int i = 0; i < 30; ++i)
		{
			const std::string id = "job" + std::to_string(i);
			world.Submit(MakeJob(id, 1, 1 + static_cast<uint32>(random.Below(6)), 500 + static_cast<int64>(random.Below(4000)), 800));
			world.Run(100 + static_cast<Millis>(random.Below(500)));
			if (random.Chance(20))
				world.Cancel(id);
		}
		world.Run(10000);
		world.Calm();
		world.Run(60000);
		EXPECT_EQ(world.Broken(), "") << seed;
		EXPECT_EQ(world.Open(), "") << seed;
	}
}

RC_GTEST_PROP(CellRoom, KeepsWithinRoomOverCrashesTakeOversAndLostRacks, ())
{
	constexpr size_t cWorkers = 12;
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	Random random(seed);
	Trouble trouble = EveryTrouble(random);
	trouble.shrink = 10 + random.Below(20);
	trouble.kill += random.Below(15);
	CellWorld world(seed, trouble, cWorkers);
	PutInRacks(world);
	int next = 0;
	for (int i = 0; i < 6; ++i)
	{
		SubmitSound(world, random, 5, next);
		if (random.Chance(50))
			LoseARack(world, random, cWorkers / cWorkersARack);
		if (random.Chance(30))
			world.Submit(Crasher(world, "bad" + std::to_string(i), 1, static_cast<Millis>(random.Below(100))));
	}
	world.Run(10000);
	world.Calm();
	world.Run(90000);
	// Only what says that there was no room: the bound of tasks that crash their workers has its own property
	std::string no_room;
	for (const std::string &line : world.broken)
		no_room += line.find("no room") == std::string::npos ? "" : line + '\n';
	RC_ASSERT(no_room + world.Open() == "");
}

} // namespace Loomreach::Jobs
