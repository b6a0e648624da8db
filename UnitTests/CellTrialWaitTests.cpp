// Guards against tasks that wait for their trial runs although workers are free. After the crash of a worker every run that had just
// started there is suspected, and waits for a trial run; one crashing task delays dozens of healthy ones.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cCrashMs = 10;
/// Longest time for which a trial run may keep others off its rack: start window, time within which losses have a common cause, and two
/// polls and planning passes.
constexpr Millis cRackHoldMs = 300 + 250 + 150;

std::string Failures(const CellSimulation &inSimulation) { return inSimulation.Violations() + inSimulation.WronglyFailedJobs(); }

/// Runs until a job has ended, at most for `inMost`. Returns the time that it took.
Millis RunUntilEnded(CellSimulation &ioSimulation, const std::string &inJob, Millis inMost)
{
	const Millis begin = ioSimulation.Now();
	while (!IsFinal(ioSimulation.QueryJob(inJob).phase) && ioSimulation.Now() - begin < inMost)
		ioSimulation.Run(cSimulationStepMs);
	return ioSimulation.Now() - begin;
}

/// Number of tasks of a job that are running or have run on some worker.
size_t RunningTasks(CellSimulation &ioSimulation, const std::string &inJob)
{
	size_t count = 0;
	for (const auto &[id, worker] : ioSimulation.Workers())
		for (const auto &[run, work] : worker.running)
			count += !worker.crashed && run.task.job == inJob ? 1 : 0;
	return count;
}

} // namespace

/// A worker that crashed during a trial run kept its rack from all other trial runs until its leases expired.
TEST(CellTrialWait, ACrashDuringATrialRunDoesNotBlockItsRackUntilTheLeaseExpires)
{
	constexpr int cCrashers = 8;
	const auto time_for = [](int inCrashers)
	{
		CellSimulation simulation(1, SimulationFaults{}, 3 * static_cast<size_t>(inCrashers));
		simulation.back_after_ms = 20000;
		simulation.Run(500);
		for (int i = 0; i < inCrashers; ++i)
		{
			simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, cCrashMs));
			simulation.Run(400);
		}
		Millis last = 0;
		for (int i = 0; i < inCrashers; ++i)
			last += RunUntilEnded(simulation, "bad" + std::to_string(i), 60000);
		EXPECT_EQ(Failures(simulation), "");
		EXPECT_EQ(simulation.UnfinishedJobs(), "");
		return last;
	};
	// All share one rack. Each crasher beyond the first adds its own trial runs, at most three
	EXPECT_LE(time_for(cCrashers) - time_for(1), Millis{3} * cCrashers * cRackHoldMs);
}

/// Tasks that had started beside a crashing task waited for trial runs also after that task had been identified.
TEST(CellTrialWait, ACrashThatAnotherTaskIsProvedToHaveCausedCallsForNoTrialRun)
{
	constexpr uint32 cHealthyTasks = 31;
	CellSimulation simulation(1, SimulationFaults{}, 12);
	simulation.run_ms["sound"] = 20000;
	simulation.Run(500);
	// The healthy tasks fill one worker, together with the crasher
	simulation.Submit(MakeCrashingJob(simulation, "bad", 1, cCrashMs));
	simulation.Submit(MakeJob("sound", 1, cHealthyTasks, 500, 20000));
	RunUntilEnded(simulation, "bad", 60000);
	ASSERT_EQ(simulation.QueryJob("bad").phase, EJobPhase::Failed);
	simulation.Run(500);
	EXPECT_EQ(RunningTasks(simulation, "sound"), cHealthyTasks);
	simulation.Run(60000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

/// A pool with tasks that waited for trial runs gave hosts to spare pools, and crashed workers' hosts counted as if they ran.
TEST(CellTrialWait, WaitingTrialRunsDemandHostsBesideThoseOfCrashedWorkers)
{
	CellSimulation simulation(1, SimulationFaults{}, 4);
	simulation.back_after_ms = 20000;
	simulation.run_ms["sound"] = 2000;
	simulation.Run(500);
	simulation.Submit(MakeJob("sound", 1, 40, 500, 2000));
	simulation.Submit(MakeCrashingJob(simulation, "bad", 2, cCrashMs));
	int64 most = 0;
	for (int i = 0; i < 200; ++i)
	{
		simulation.Run(100);
		const PoolDemand demand = simulation.Core().Demand("pool", 0, 1500, simulation.Now(), simulation.Now());
		most = std::max(most, demand.in_time.cpu_milli + demand.late.cpu_milli);
	}
	// Sixteen for trial runs, and at least one of which the worker has crashed
	EXPECT_GE(most, 17 * cWorkerCpuMilli);
	simulation.Run(60000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

/// Tasks of jobs that could only be late waited for their trial runs as long as jobs that could be in time kept arriving.
TEST(CellTrialWait, LaterJobsDoNotKeepATaskFromItsTrialRun)
{
	CellSimulation simulation(1, SimulationFaults{}, 2);
	simulation.run_ms["first"] = 300;
	simulation.Run(500);
	simulation.Submit(MakeCrashingJob(simulation, "bad0", 1, cCrashMs));
	simulation.Submit(MakeJob("first", 1, 8, 500, 300));
	// Each second another crasher arrives beside healthy tasks, which need trial runs in turn
	for (int i = 1; i <= 20; ++i)
	{
		simulation.Run(1000);
		simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, cCrashMs));
		simulation.run_ms["sound" + std::to_string(i)] = 600;
		simulation.Submit(MakeJob("sound" + std::to_string(i), 1, 8, 500, 600));
	}
	EXPECT_EQ(simulation.QueryJob("first").phase, EJobPhase::Completed);
	// One rack: each crasher takes it three times for as long as a lease lasts
	simulation.Run(300000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

} // namespace Loomreach::Jobs
