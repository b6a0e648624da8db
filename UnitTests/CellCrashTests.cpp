// A task may crash each worker that starts it. On the users' day several such tasks were in one pool; each crashed its worker 10 ms after
// its start, with everything else that ran there, and was planned anew as soon as its end was known. Nothing counted: the run's end was the
// worker's, not the task's, and 36 runs of one task took 36 workers down. The owner of the cell was the same all the time:
//
//     event=worker_gone worker=i-c3fd67e506 why="its address is another life's" runs=16 listed=1 ... epoch=1
//     event=run_ended ... task=adbf65102e3f5680.0.0.0 run=5 worker=i-c3fd67e506 end=lapsed state=confirmed after_ms=3272
//         why="its address is another life's" ... epoch=1
//     event=runs_planned request=adbf65102e3f5680 round=0 step=0 runs=0.6@i-37df8e8343 ... epoch=1
//
// The other 15 runs on that worker had begun 276 ms to 1.5 s before. A task that was only there, or whose worker was lost with its rack,
// must not be given up: its job could have been done.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cCrashMs = 10;
constexpr size_t cWorkers = 12;
constexpr size_t cPerRack = 4;

std::string All(const CellWorld &inWorld)
{
	std::string text;
	for (const std::string &line : inWorld.broken)
		text += line + '\n';
	return text + inWorld.GivenUp();
}

/// Workers in racks of four.
void PutInRacks(CellWorld &ioWorld)
{
	size_t number = 0;
	for (auto &[id, worker] : ioWorld.Workers())
		worker.rack = "r" + std::to_string(number++ / cPerRack);
}

/// Hands in sound jobs over some seconds; `ioNext` numbers them.
void SubmitSound(CellWorld &ioWorld, Random &ioRandom, int inJobs, int &ioNext)
{
	for (int i = 0; i < inJobs; ++i)
	{
		ioWorld.Submit(MakeJob("sound" + std::to_string(ioNext++), 1 + static_cast<uint32>(ioRandom.Below(2)),
							   1 + static_cast<uint32>(ioRandom.Below(6)), 500 + static_cast<int64>(ioRandom.Below(1500)), 800));
		ioWorld.Run(100 + static_cast<Millis>(ioRandom.Below(300)));
	}
}

/// A job whose tasks crash their workers.
JobSpec Crasher(CellWorld &ioWorld, const std::string &inId, uint32 inCount, Millis inAfterMs)
{
	ioWorld.crash_after_ms[inId] = inAfterMs;
	return MakeJob(inId, 1, inCount, 500, 800);
}

} // namespace

TEST(CellCrash, GivesUpATaskThatCrashesEachWorker)
{
	Random random(1);
	int next = 0;
	CellWorld world(1, Trouble{}, cWorkers);
	world.Run(500);
	for (int i = 0; i < 3; ++i)
		world.Submit(Crasher(world, "bad" + std::to_string(i), 1, cCrashMs));
	SubmitSound(world, random, 20, next);
	world.Run(60000);
	EXPECT_EQ(All(world), "");
	EXPECT_EQ(world.Open(), "");
	for (int i = 0; i < 3; ++i)
		EXPECT_EQ(world.Shown("bad" + std::to_string(i)).phase, EJobPhase::Failed);
}

TEST(CellCrash, CountsOnWhenTheOwnerChanges)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellWorld world(seed, Trouble{}, cWorkers);
		world.Run(500);
		world.Submit(Crasher(world, "bad", 2, cCrashMs));
		for (int i = 0; i < 20; ++i)
		{
			SubmitSound(world, random, 1, next);
			world.Run(static_cast<Millis>(random.Below(2000)));
			world.ReplaceOwner();
		}
		world.Run(60000);
		EXPECT_EQ(All(world), "") << seed;
		EXPECT_EQ(world.Open(), "") << seed;
	}
}

TEST(CellCrash, GivesUpNoTaskThatWasThereWhenARackWasLost)
{
	// Racks go one after another, dark or with connections closed, some while tasks start anew
	for (uint64 seed = 1; seed <= 30; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellWorld world(seed, Trouble{}, cWorkers);
		PutInRacks(world);
		world.Run(500);
		JobSpec lasting = MakeJob("lasting", 1, 4, 1000, 500);
		lasting.steps[0].lasting = true;
		world.Submit(lasting);
		for (int i = 0; i < 8; ++i)
		{
			SubmitSound(world, random, 4, next);
			const std::string rack = "r" + std::to_string(random.Below(cWorkers / cPerRack));
			const bool closes = random.Chance(50);
			for (auto &[id, worker] : world.Workers())
				if (worker.rack == rack && !worker.crashed)
					world.Crash(worker, closes, 10 * static_cast<Millis>(50 + random.Below(300)));
		}
		world.Cancel("lasting");
		world.Run(60000);
		EXPECT_EQ(All(world), "") << seed;
		EXPECT_EQ(world.Open(), "") << seed;
	}
}

} // namespace Loomreach::Jobs
