// A rollout changes the lease that workers' runs are given (setting `worker_lease_ms`). An owner with the new setting takes a cell over
// from one with the old, while a worker with runs is cut off. It waits for the longest lease that its own setting knows, and starts their
// tasks anew; where the old one was longer, the worker is still at work on them: two runs of a task at once.
//
//     at 6180: two runs at once: job.0.0.0 run 2 on w1
//
// The log did not say which leases its owners gave, so that nobody could know. Now it holds the longest (WorkerLeases).

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 10000;
constexpr Millis cShortLeaseMs = 4000;

/// A job that a worker has begun under one lease; then the worker is cut off.
void PartitionBusyWorker(CellWorld &ioSimulation, Millis inLeaseMs)
{
	ioSimulation.SetLease(inLeaseMs);
	ioSimulation.ReplaceOwner();
	ioSimulation.run_ms["job"] = 9000;
	ioSimulation.Submit(MakeJob("job", 1, 1, 500, 800));
	ioSimulation.Run(800);
	for (auto &[id, worker] : ioSimulation.Workers())
		if (!worker.running.empty())
			worker.unreachable_until = ioSimulation.Now() + 20000;
}

/// The next owner gives another lease.
std::string RunRollout(Millis inBeforeMs, Millis inAfterMs)
{
	CellWorld simulation(1, Trouble{}, 2);
	PartitionBusyWorker(simulation, inBeforeMs);
	simulation.SetLease(inAfterMs);
	simulation.ReplaceOwner();
	simulation.Run(40000);
	return simulation.Broken() + simulation.Open();
}

} // namespace

TEST(CellLease, ARolloutThatLengthensItStartsNothingTwice) { EXPECT_EQ(RunRollout(cShortLeaseMs, cLongLeaseMs), ""); }

TEST(CellLease, ARolloutAndBackStartsNothingTwice)
{
	CellWorld simulation(1, Trouble{}, 2);
	PartitionBusyWorker(simulation, cLongLeaseMs);
	// One with a short lease takes over, and soon another: what the first one gave still counts
	for (int i = 0; i < 3; ++i)
	{
		simulation.SetLease(cShortLeaseMs);
		simulation.ReplaceOwner();
		simulation.Submit(MakeJob("other" + std::to_string(i), 1, 1, 500, 800));
		simulation.Run(1500);
	}
	simulation.Run(40000);
	EXPECT_EQ(simulation.Broken() + simulation.Open(), "");
}

TEST(CellLease, ALongerLeaseIsGivenOnlyOnceTheLogHoldsIt)
{
	WorkerLeases leases;
	leases.Restore(cShortLeaseMs);
	leases.Begin(cLongLeaseMs, cLongLeaseMs, 0);
	EXPECT_EQ(leases.ToGive(), cShortLeaseMs);
	ASSERT_EQ(leases.ToLog(0), cLongLeaseMs);
	leases.OnWriting(cLongLeaseMs);
	EXPECT_EQ(leases.ToGive(), cShortLeaseMs);
	leases.OnLogged();
	EXPECT_EQ(leases.ToGive(), cLongLeaseMs);
	EXPECT_FALSE(leases.ToLog(0).has_value());
}

TEST(CellLease, AFormerOwnersLongerLeaseStaysInTheLogUntilItIsOver)
{
	WorkerLeases leases;
	leases.Restore(cLongLeaseMs);
	leases.Begin(cShortLeaseMs, cShortLeaseMs, 0);
	EXPECT_EQ(leases.Longest(0), cLongLeaseMs);
	EXPECT_EQ(leases.ToGive(), cShortLeaseMs);
	EXPECT_FALSE(leases.ToLog(cLongLeaseMs).has_value());
	const Millis over = LongestLease(cLongLeaseMs);
	EXPECT_EQ(leases.ToLog(over), cShortLeaseMs);
	EXPECT_EQ(leases.Longest(over), cShortLeaseMs);
}

TEST(CellLease, ARolloutThatShortensItStartsNothingTwice) { EXPECT_EQ(RunRollout(cLongLeaseMs, cShortLeaseMs), ""); }

} // namespace Loomreach::Jobs
