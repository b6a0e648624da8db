// Guards against two concurrent runs of a task after a rollout that changes the workers' lease (setting `worker_lease_ms`). An owner with
// the new setting takes a cell over while a worker with runs is unreachable. If it waits only for the longest lease that its own setting
// knows, and the previous lease was longer, it restarts tasks that the worker still runs:
//
//     at 6180: two runs at once: job.0.0.0 run 2 on w1
//
// The log therefore holds the longest lease that was granted (WorkerLeases).

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 10000;
constexpr Millis cShortLeaseMs = 4000;

/// Starts a job under a lease, then makes its worker unreachable.
void PartitionBusyWorker(CellSimulation &ioSimulation, Millis inLeaseMs)
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

/// The next owner grants another lease.
std::string RunRollout(Millis inBeforeMs, Millis inAfterMs)
{
	CellSimulation simulation(1, SimulationFaults{}, 2);
	PartitionBusyWorker(simulation, inBeforeMs);
	simulation.SetLease(inAfterMs);
	simulation.ReplaceOwner();
	simulation.Run(40000);
	return simulation.Violations() + simulation.UnfinishedJobs();
}

} // namespace

TEST(CellLease, ARolloutThatLengthensItStartsNothingTwice) { EXPECT_EQ(RunRollout(cShortLeaseMs, cLongLeaseMs), ""); }

TEST(CellLease, ARolloutAndBackStartsNothingTwice)
{
	CellSimulation simulation(1, SimulationFaults{}, 2);
	PartitionBusyWorker(simulation, cLongLeaseMs);
	// An owner with a short lease takes over, and soon another: the first owner's lease still counts
	for (int i = 0; i < 3; ++i)
	{
		simulation.SetLease(cShortLeaseMs);
		simulation.ReplaceOwner();
		simulation.Submit(MakeJob("other" + std::to_string(i), 1, 1, 500, 800));
		simulation.Run(1500);
	}
	simulation.Run(40000);
	EXPECT_EQ(simulation.Violations() + simulation.UnfinishedJobs(), "");
}

TEST(CellLease, ALongerLeaseIsGivenOnlyOnceTheLogHoldsIt)
{
	WorkerLeases leases;
	leases.Restore(cShortLeaseMs);
	leases.Begin(cLongLeaseMs, cLongLeaseMs, 0);
	EXPECT_EQ(leases.LeaseToGrant(), cShortLeaseMs);
	ASSERT_EQ(leases.LeaseToLog(0), cLongLeaseMs);
	leases.OnWriting(cLongLeaseMs);
	EXPECT_EQ(leases.LeaseToGrant(), cShortLeaseMs);
	leases.OnLogged();
	EXPECT_EQ(leases.LeaseToGrant(), cLongLeaseMs);
	EXPECT_FALSE(leases.LeaseToLog(0).has_value());
}

TEST(CellLease, AFormerOwnersLongerLeaseStaysInTheLogUntilItIsOver)
{
	WorkerLeases leases;
	leases.Restore(cLongLeaseMs);
	leases.Begin(cShortLeaseMs, cShortLeaseMs, 0);
	EXPECT_EQ(leases.LongestGranted(0), cLongLeaseMs);
	EXPECT_EQ(leases.LeaseToGrant(), cShortLeaseMs);
	EXPECT_FALSE(leases.LeaseToLog(cLongLeaseMs).has_value());
	const Millis over = LongestLease(cLongLeaseMs);
	EXPECT_EQ(leases.LeaseToLog(over), cShortLeaseMs);
	EXPECT_EQ(leases.LongestGranted(over), cShortLeaseMs);
}

TEST(CellLease, ARolloutThatShortensItStartsNothingTwice) { EXPECT_EQ(RunRollout(cLongLeaseMs, cShortLeaseMs), ""); }

} // namespace Loomreach::Jobs
