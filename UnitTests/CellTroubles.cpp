// Draws fault mixes from a seed. The order of the draws is part of what a seed means.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <UnitTests/CellTroubles.h>

namespace Loomreach::Jobs
{

SeedRange SeedsToRun(uint64 inCount)
{
	const char *chosen = std::getenv("LOOM_SEEDS");
	std::istringstream words(chosen == nullptr ? "" : chosen);
	SeedRange read;
	return words >> read.first >> read.count ? read : SeedRange{1, inCount};
}

JobSpec MakeLongRunningJob(uint32 inCount)
{
	JobSpec long_running_job = MakeJob("lasting", 1, inCount, 1500, 500);
	long_running_job.steps[0].long_running = true;
	long_running_job.steps[0].max_per_worker = 1;
	long_running_job.steps[0].limits_unavailable = true;
	long_running_job.steps[0].max_unavailable = 1;
	return long_running_job;
}

void RunMixedWorkload(CellSimulation &ioSimulation, Random &ioRandom)
{
	SetInvariantsAbort(true);
	ioSimulation.Submit(MakeLongRunningJob(4));
	for (int i = 0; i < 30; ++i)
	{
		const std::string id = "job" + std::to_string(i);
		const JobSpec job = MakeJob(id, 1 + static_cast<uint32>(ioRandom.Below(3)), 1 + static_cast<uint32>(ioRandom.Below(8)),
									500 + static_cast<int64>(ioRandom.Below(4000)), 800);
		ioSimulation.Submit(job);
		// Submitting the same id again must not create a second job
		if (ioRandom.Chance(20))
			ioSimulation.Submit(job);
		ioSimulation.Run(100 + static_cast<Millis>(ioRandom.Below(500)));
		if (ioRandom.Chance(10))
			ioSimulation.Cancel(id);
	}
	ioSimulation.Cancel("lasting");
}

SimulationFaults RandomFaults(Random &ioRandom)
{
	SimulationFaults faults;
	faults.lost_order = ioRandom.Below(8);
	faults.lost_answer = ioRandom.Below(8);
	faults.late_order = ioRandom.Below(8);
	faults.failed_run = ioRandom.Below(10);
	faults.worker_partition = ioRandom.Below(10);
	faults.worker_crash = ioRandom.Below(4);
	faults.owner_kill = ioRandom.Below(15);
	faults.slow_append = ioRandom.Below(10);
	faults.slow_clock_per_mille = 20;
	return faults;
}

SimulationFaults PlannedFaultsBase(Random &ioRandom, bool inEntryLapses)
{
	SimulationFaults faults;
	faults.failed_run = ioRandom.Below(10);
	faults.append_jitter_ms = ioRandom.Below(100);
	faults.slow_clock_per_mille = 20;
	faults.owner_pause = ioRandom.Below(30);
	faults.worker_leave = ioRandom.Below(6);
	faults.host_removal = ioRandom.Below(30);
	// Drawn at this place so that existing seeds keep their meaning
	if (inEntryLapses)
		faults.entry_lapse = ioRandom.Below(6);
	faults.owner_handover = ioRandom.Below(15);
	faults.slow_worker = ioRandom.Below(8);
	faults.slow_stop = ioRandom.Below(60);
	faults.poll_page_size = ioRandom.Chance(50) ? 2 + ioRandom.Below(4) : 0;
	faults.listed_end_counts = true;
	return faults;
}

SimulationFaults PlannedFaults(Random &ioRandom) { return PlannedFaultsBase(ioRandom, true); }

SimulationFaults PlannedFaultsWithSlowAppends(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsBase(ioRandom, false);
	faults.entry_lapse = ioRandom.Below(6);
	faults.slow_append = ioRandom.Below(30);
	return faults;
}

SimulationFaults PlannedFaultsWithLongPauses(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsBase(ioRandom, false);
	faults.entry_lapse = ioRandom.Below(6);
	faults.long_owner_pause = ioRandom.Below(6);
	return faults;
}

SimulationFaults PlannedFaultsWithSlowAppendsAndLongPauses(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsWithSlowAppends(ioRandom);
	faults.long_owner_pause = ioRandom.Below(6);
	return faults;
}

SimulationFaults PlannedFaultsWithTakeovers(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsWithSlowAppendsAndLongPauses(ioRandom);
	faults.takeover_while_paused = true;
	return faults;
}

SimulationFaults PlannedFaultsWithAddressReuse(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsWithTakeovers(ioRandom);
	faults.address_reuse = true;
	return faults;
}

SimulationFaults PlannedFaultsWithOwnerKills(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaults(ioRandom);
	faults.owner_kill = ioRandom.Below(10);
	faults.unread_end_excused = true;
	return faults;
}

SimulationFaults PlannedFaultsWithOwnerKillsAndSlowAppends(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsWithSlowAppends(ioRandom);
	faults.owner_kill = ioRandom.Below(10);
	faults.unread_end_excused = true;
	return faults;
}

SimulationFaults AllFaults(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsBase(ioRandom, false);
	const SimulationFaults other = RandomFaults(ioRandom);
	faults.lost_order = other.lost_order;
	faults.lost_answer = other.lost_answer;
	faults.late_order = other.late_order;
	faults.worker_partition = other.worker_partition;
	faults.slow_append = ioRandom.Below(30);
	faults.long_owner_pause = ioRandom.Below(6);
	faults.entry_lapse = ioRandom.Below(6);
	faults.worker_crash = other.worker_crash;
	faults.owner_kill = other.owner_kill;
	faults.repeated_start = ioRandom.Below(8);
	faults.listed_end_counts = false;
	return faults;
}

SimulationFaults RestartsUnderOneId(Random &ioRandom)
{
	SimulationFaults faults;
	faults.restart_same_id = 5 + ioRandom.Below(25);
	faults.failed_run = ioRandom.Below(10);
	faults.append_jitter_ms = ioRandom.Below(100);
	faults.poll_page_size = ioRandom.Chance(30) ? 2 + ioRandom.Below(4) : 0;
	faults.slow_clock_per_mille = 20;
	return faults;
}

SimulationFaults RestartsWithLateOrders(Random &ioRandom)
{
	SimulationFaults faults = RestartsUnderOneId(ioRandom);
	faults.late_order = ioRandom.Below(8);
	faults.late_start = ioRandom.Below(8);
	faults.lost_order = ioRandom.Below(8);
	faults.lost_answer = ioRandom.Below(8);
	return faults;
}

SimulationFaults RestartsWithOwnerChanges(Random &ioRandom)
{
	SimulationFaults faults = RestartsUnderOneId(ioRandom);
	faults.owner_kill = ioRandom.Below(15);
	faults.owner_handover = ioRandom.Below(15);
	faults.slow_append = ioRandom.Below(30);
	faults.owner_pause = ioRandom.Below(30);
	return faults;
}

SimulationFaults PlannedFaultsWithReturningWorkers(Random &ioRandom)
{
	SimulationFaults faults = PlannedFaultsWithTakeovers(ioRandom);
	faults.worker_leave = 2 + ioRandom.Below(6);
	faults.return_same_id = 70;
	return faults;
}

SimulationFaults AllFaultsWithRestarts(Random &ioRandom)
{
	SimulationFaults faults = AllFaults(ioRandom);
	faults.restart_same_id = ioRandom.Below(12);
	faults.return_same_id = 50;
	return faults;
}

std::string RunFaultMix(uint64 inSeed, SimulationFaults (*inKind)(Random &))
{
	Random random(inSeed);
	CellSimulation simulation(inSeed, inKind(random), 3 + random.Below(4));
	JobSpec copies = MakeJob("copies", 2, 6, 1000, 800);
	for (StepSpec &step : copies.steps)
		step.may_copy = true;
	simulation.Submit(copies);
	RunMixedWorkload(simulation, random);
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(60000);
	return simulation.Violations() + simulation.UnfinishedJobs();
}

void AssignRacks(CellSimulation &ioSimulation)
{
	size_t number = 0;
	for (auto &[id, worker] : ioSimulation.Workers())
		worker.rack = "r" + std::to_string(number++ / cWorkersPerRack);
}

void LoseRack(CellSimulation &ioSimulation, Random &ioRandom, size_t inRacks)
{
	const std::string rack = "r" + std::to_string(ioRandom.Below(inRacks));
	const bool closes = ioRandom.Chance(50);
	const Millis back = cSimulationStepMs * static_cast<Millis>(50 + ioRandom.Below(800));
	for (auto &[id, worker] : ioSimulation.Workers())
		if (worker.rack == rack && !worker.crashed)
			ioSimulation.Crash(worker, closes, back);
}

JobSpec MakeCrashingJob(CellSimulation &ioSimulation, const std::string &inId, uint32 inCount, Millis inAfterMs)
{
	ioSimulation.crash_after_ms[inId] = inAfterMs;
	return MakeJob(inId, 1, inCount, 500, 800);
}

void SubmitHealthyJobs(CellSimulation &ioSimulation, Random &ioRandom, int inJobs, int &ioNext)
{
	for (int i = 0; i < inJobs; ++i)
	{
		ioSimulation.Submit(MakeJob("sound" + std::to_string(ioNext++), 1 + static_cast<uint32>(ioRandom.Below(2)),
									1 + static_cast<uint32>(ioRandom.Below(6)), 500 + static_cast<int64>(ioRandom.Below(1500)), 800));
		ioSimulation.Run(100 + static_cast<Millis>(ioRandom.Below(300)));
	}
}

} // namespace Loomreach::Jobs
