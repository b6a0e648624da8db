// The operator evacuates an availability zone: nothing may start there, whoever owns the cell, until the evacuation ends.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ZoneEvacuations.h>
#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr size_t cZones = 3;
constexpr uint64 cSeeds = 200;

std::string ZoneOf(size_t inNumber) { return "z" + std::to_string(inNumber % cZones); }

void AssignZones(CellSimulation &ioSimulation)
{
	size_t number = 0;
	for (auto &[id, worker] : ioSimulation.Workers())
		worker.availability_zone = ZoneOf(number++);
}

/// Evacuates zones one after another, two of them at a time for a while, with owners that are killed, paused or replaced. Returns
/// violations and unfinished jobs.
std::string RunEvacuations(uint64 inSeed)
{
	Random random(inSeed);
	SimulationFaults faults = PlannedFaultsWithTakeovers(random);
	faults.owner_kill = random.Below(15);
	faults.worker_partition = random.Below(10);
	faults.lost_answer = random.Below(8);
	// An owner that keeps its cell through a longer pause may have orders in flight for as long
	faults.long_owner_pause = 0;
	faults.listed_end_counts = false;
	CellSimulation simulation(inSeed, faults, 6);
	AssignZones(simulation);
	int next = 0;
	simulation.Submit(MakeLongRunningJob(2));
	for (size_t turn = 0; turn < 6; ++turn)
	{
		SubmitHealthyJobs(simulation, random, 6, next);
		simulation.Evacuate(ZoneOf(turn));
		SubmitHealthyJobs(simulation, random, 6, next);
		if (random.Chance(50))
			simulation.ReplaceOwner();
		simulation.EndEvacuation(ZoneOf(turn + cZones - 1));
	}
	for (size_t zone = 0; zone < cZones; ++zone)
		simulation.EndEvacuation(ZoneOf(zone));
	simulation.Cancel("lasting");
	simulation.ClearFaults();
	simulation.Run(60000);
	return simulation.Violations() + simulation.UnfinishedJobs();
}

} // namespace

/// Guards against a start, a retry or a second run that reaches the zone after the evacuation takes effect.
TEST(CellEvacuation, StartsNothingInAnEvacuatedZone)
{
	for (uint64 seed = 1; seed <= cSeeds; ++seed)
		EXPECT_EQ(RunEvacuations(seed), "") << seed;
}

/// Guards against stopping the runs in the zone, and against a zone that stays closed after its evacuation.
TEST(CellEvacuation, LetsRunsEndAndUsesTheZoneAgain)
{
	CellSimulation simulation(1, SimulationFaults{}, 1);
	AssignZones(simulation);
	simulation.run_ms["first"] = 3000;
	simulation.Run(500);
	simulation.Submit(MakeJob("first", 1, 1, 500, 3000));
	simulation.Run(1000);
	simulation.Evacuate(ZoneOf(0));
	simulation.Submit(MakeJob("second", 1, 1, 500, 800));
	simulation.Run(6000);
	EXPECT_EQ(simulation.QueryJob("first").phase, EJobPhase::Completed);
	EXPECT_EQ(simulation.QueryJob("second").phase, EJobPhase::Queued);
	simulation.EndEvacuation(ZoneOf(0));
	simulation.Run(6000);
	EXPECT_EQ(simulation.QueryJob("second").phase, EJobPhase::Completed);
	EXPECT_EQ(simulation.Violations(), "");
}

/// Guards against younger jobs that start before jobs that waited longer, where the younger ones are due earlier, lose less credit or are
/// smaller, and neither can be in time.
TEST(CellEvacuation, StartsTheJobsThatWaitedLongestFirstWhenAZoneIsReopened)
{
	CellSimulation simulation(1, SimulationFaults{}, 1);
	AssignZones(simulation);
	simulation.Evacuate(ZoneOf(0));
	std::vector<std::string> waiting;
	for (int i = 0; i < 4; ++i)
	{
		const std::string id = "job" + std::to_string(i);
		// Each takes the whole worker. The objectives become shorter, so that the youngest is due first, and the work becomes less
		JobSpec job = MakeJob(id, 1, 1, cWorkerCpuMilli, 2000 - 300 * i);
		job.target_ms = 6000 - 1900 * i;
		simulation.run_ms[id] = 1000;
		waiting.push_back(id);
		simulation.Submit(job);
		simulation.Run(1000);
	}
	simulation.Run(5000);
	simulation.EndEvacuation(ZoneOf(0));
	for (const std::string &oldest : waiting)
	{
		for (int i = 0; i < 300 && simulation.QueryJob(oldest).phase != EJobPhase::Running; ++i)
			simulation.Run(cSimulationStepMs);
		for (const std::string &id : waiting)
			EXPECT_EQ(simulation.QueryJob(id).phase == EJobPhase::Queued, id > oldest) << id << " while " << oldest << " runs";
	}
	EXPECT_EQ(simulation.Violations(), "");
}

/// Guards against a record that is read again after a newer one and restores the older state.
TEST(ZoneEvacuations, NeverGoesBackToAnOlderRecord)
{
	ZoneEvacuations zones;
	EXPECT_TRUE(zones.Apply({"a", true}, 3));
	EXPECT_TRUE(zones.Apply({"a", false}, 5));
	EXPECT_FALSE(zones.Apply({"a", true}, 3));
	EXPECT_TRUE(zones.Zones().empty());
	EXPECT_TRUE(zones.Apply({"a", true}, 7));
	EXPECT_FALSE(zones.Apply({"a", true}, 7));
	EXPECT_EQ(zones.Zones(), std::set<std::string>{"a"});
}

/// Guards against a zone that stays closed because its record was removed unread, and against opening one that was evacuated during the
/// reading.
TEST(ZoneEvacuations, AWholeReadingOpensTheZonesThatItDoesNotName)
{
	ZoneEvacuations zones;
	zones.Apply({"a", true}, 3);
	zones.Apply({"b", true}, 4);
	zones.Apply({"c", true}, 9);
	EXPECT_TRUE(zones.RetainNamed({"b"}, 9));
	EXPECT_EQ(zones.Zones(), (std::set<std::string>{"b", "c"}));
	EXPECT_FALSE(zones.RetainNamed({"b", "c"}, 9));
}

} // namespace Loomreach::Jobs
