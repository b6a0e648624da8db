// A rollout changes the lease that workers' runs are given (setting `worker_lease_ms`). An owner with the new setting takes a cell over
// from one with the old, while a worker with runs is cut off. It waits for the longest lease that its own setting knows, and starts their
// tasks anew; where the old one was longer, the worker is still at work on them: two runs of a task at once.
//
//     at 6180: two runs at once: job.0.0.0 run 2 on w1
//
// The log does not say which leases its owners gave, so that nobody can know.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 10000;
constexpr Millis cShortLeaseMs = 4000;

/// A job that a worker which is cut off has begun, under one lease; the next owner gives another.
std::string PlayRollout(Millis inBeforeMs, Millis inAfterMs)
{
	CellWorld world(1, Trouble{}, 2);
	world.SetLease(inBeforeMs);
	world.ReplaceOwner();
	world.run_ms["job"] = 9000;
	world.Submit(MakeJob("job", 1, 1, 500, 800));
	world.Run(800);
	for (auto &[id, worker] : world.Workers())
		if (!worker.running.empty())
			worker.cut_until = world.Now() + 20000;
	world.SetLease(inAfterMs);
	world.ReplaceOwner();
	world.Run(40000);
	return world.Broken() + world.Open();
}

} // namespace

TEST(CellLease, ARolloutThatLengthensItStartsNothingTwice) { EXPECT_EQ(PlayRollout(cShortLeaseMs, cLongLeaseMs), ""); }

TEST(CellLease, ARolloutThatShortensItStartsNothingTwice) { EXPECT_EQ(PlayRollout(cLongLeaseMs, cShortLeaseMs), ""); }

} // namespace Loomreach::Jobs
