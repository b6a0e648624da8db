// An owner whose machine is suspended: its steady clock does not advance, while boot time and the time of day advance by seconds. Its
// decisions use boot time alone, so that it resumes beyond its leases as after a process pause.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

/// Runs an owner that is suspended now and then, with crashing tasks, lost racks and owner changes. Returns violations and jobs that failed
/// wrongly or have not ended.
static std::string RunWithSuspensions(uint64 inSeed)
{
	constexpr size_t cWorkers = 12;
	Random random(inSeed);
	SimulationFaults faults;
	faults.long_owner_pause = 5 + random.Below(25);
	faults.owner_pause = random.Below(20);
	faults.owner_kill = random.Below(10);
	faults.slow_clock_per_mille = 20;
	faults.slow_stop = random.Below(60);
	faults.capacity_shrink = random.Below(10);
	CellSimulation simulation(inSeed, faults, cWorkers);
	AssignRacks(simulation);
	simulation.Submit(MakeLongRunningJob(4));
	int next = 0;
	for (int i = 0; i < 6; ++i)
	{
		simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, static_cast<Millis>(random.Below(100))));
		SubmitHealthyJobs(simulation, random, 5, next);
		if (random.Chance(40))
			LoseRack(simulation, random, cWorkers / cWorkersPerRack);
	}
	simulation.Cancel("lasting");
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(90000);
	return simulation.Violations() + simulation.WronglyFailedJobs() + simulation.UnfinishedJobs();
}

RC_GTEST_PROP(CellSuspend, KeepsTheRulesOverCrashesTakeOversAndLostRacks, ())
{
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	RC_ASSERT(RunWithSuspensions(seed) == "");
}

TEST(CellSuspend, SeedsThatFailedOnce)
{
	// A rack closed its connections right after a trial run had begun there. Its other workers were idle, so that nobody checked whether
	// they were lost too, and a healthy job was failed
	EXPECT_EQ(RunWithSuspensions(186720026), "");
}

} // namespace Loomreach::Jobs
