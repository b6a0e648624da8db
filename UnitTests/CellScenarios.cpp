// Draws fault mixes from a seed. The order of the draws is part of what a seed means.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <UnitTests/CellScenarios.h>

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
	JobSpec lasting = MakeJob("lasting", 1, inCount, 1500, 500);
	lasting.steps[0].lasting = true;
	lasting.steps[0].max_per_worker = 1;
	lasting.steps[0].limits_misses = true;
	lasting.steps[0].may_miss = 1;
	return lasting;
}

void RunMixedWorkload(CellWorld &ioSimulation, Random &ioRandom)
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

Trouble RandomFaults(Random &ioRandom)
{
	Trouble faults;
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

Trouble PlannedFaultsBase(Random &ioRandom, bool inEntryLapses)
{
	Trouble faults;
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

Trouble PlannedFaults(Random &ioRandom) { return PlannedFaultsBase(ioRandom, true); }

Trouble PlannedFaultsWithSlowAppends(Random &ioRandom)
{
	Trouble faults = PlannedFaultsBase(ioRandom, false);
	faults.entry_lapse = ioRandom.Below(6);
	faults.slow_append = ioRandom.Below(30);
	return faults;
}

Trouble PlannedFaultsWithLongPauses(Random &ioRandom)
{
	Trouble faults = PlannedFaultsBase(ioRandom, false);
	faults.entry_lapse = ioRandom.Below(6);
	faults.long_owner_pause = ioRandom.Below(6);
	return faults;
}

Trouble PlannedFaultsWithSlowAppendsAndLongPauses(Random &ioRandom)
{
	Trouble faults = PlannedFaultsWithSlowAppends(ioRandom);
	faults.long_owner_pause = ioRandom.Below(6);
	return faults;
}

Trouble PlannedFaultsWithTakeovers(Random &ioRandom)
{
	Trouble faults = PlannedFaultsWithSlowAppendsAndLongPauses(ioRandom);
	faults.takeover_while_paused = true;
	return faults;
}

Trouble PlannedFaultsWithAddressReuse(Random &ioRandom)
{
	Trouble faults = PlannedFaultsWithTakeovers(ioRandom);
	faults.address_reuse = true;
	return faults;
}

Trouble PlannedFaultsWithOwnerKills(Random &ioRandom)
{
	Trouble faults = PlannedFaults(ioRandom);
	faults.owner_kill = ioRandom.Below(10);
	faults.unread_end_excused = true;
	return faults;
}

Trouble PlannedFaultsWithOwnerKillsAndSlowAppends(Random &ioRandom)
{
	Trouble faults = PlannedFaultsWithSlowAppends(ioRandom);
	faults.owner_kill = ioRandom.Below(10);
	faults.unread_end_excused = true;
	return faults;
}

Trouble AllFaults(Random &ioRandom)
{
	Trouble faults = PlannedFaultsBase(ioRandom, false);
	const Trouble other = RandomFaults(ioRandom);
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

Trouble RestartsUnderOneId(Random &ioRandom)
{
	Trouble faults;
	faults.restart_same_id = 5 + ioRandom.Below(25);
	faults.failed_run = ioRandom.Below(10);
	faults.append_jitter_ms = ioRandom.Below(100);
	faults.poll_page_size = ioRandom.Chance(30) ? 2 + ioRandom.Below(4) : 0;
	faults.slow_clock_per_mille = 20;
	return faults;
}

Trouble RestartsWithLateOrders(Random &ioRandom)
{
	Trouble faults = RestartsUnderOneId(ioRandom);
	faults.late_order = ioRandom.Below(8);
	faults.late_start = ioRandom.Below(8);
	faults.lost_order = ioRandom.Below(8);
	faults.lost_answer = ioRandom.Below(8);
	return faults;
}

Trouble RestartsWithOwnerChanges(Random &ioRandom)
{
	Trouble faults = RestartsUnderOneId(ioRandom);
	faults.owner_kill = ioRandom.Below(15);
	faults.owner_handover = ioRandom.Below(15);
	faults.slow_append = ioRandom.Below(30);
	faults.owner_pause = ioRandom.Below(30);
	return faults;
}

Trouble PlannedFaultsWithReturningWorkers(Random &ioRandom)
{
	Trouble faults = PlannedFaultsWithTakeovers(ioRandom);
	faults.worker_leave = 2 + ioRandom.Below(6);
	faults.return_same_id = 70;
	return faults;
}

Trouble AllFaultsWithRestarts(Random &ioRandom)
{
	Trouble faults = AllFaults(ioRandom);
	faults.restart_same_id = ioRandom.Below(12);
	faults.return_same_id = 50;
	return faults;
}

std::string RunFaultMix(uint64 inSeed, Trouble (*inKind)(Random &))
{
	Random random(inSeed);
	CellWorld simulation(inSeed, inKind(random), 3 + random.Below(4));
	JobSpec copies = MakeJob("copies", 2, 6, 1000, 800);
	for (StepSpec &step : copies.steps)
		step.may_copy = true;
	simulation.Submit(copies);
	RunMixedWorkload(simulation, random);
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(60000);
	return simulation.Broken() + simulation.Open();
}

void AssignRacks(CellWorld &ioSimulation)
{
	size_t number = 0;
	for (auto &[id, worker] : ioSimulation.Workers())
		worker.rack = "r" + std::to_string(number++ / cWorkersPerRack);
}

void LoseRack(CellWorld &ioSimulation, Random &ioRandom, size_t inRacks)
{
	const std::string rack = "r" + std::to_string(ioRandom.Below(inRacks));
	const bool closes = ioRandom.Chance(50);
	const Millis back = cSimulationStepMs * static_cast<Millis>(50 + ioRandom.Below(800));
	for (auto &[id, worker] : ioSimulation.Workers())
		if (worker.rack == rack && !worker.crashed)
			ioSimulation.Crash(worker, closes, back);
}

JobSpec MakeCrashingJob(CellWorld &ioSimulation, const std::string &inId, uint32 inCount, Millis inAfterMs)
{
	ioSimulation.crash_after_ms[inId] = inAfterMs;
	return MakeJob(inId, 1, inCount, 500, 800);
}

void SubmitHealthyJobs(CellWorld &ioSimulation, Random &ioRandom, int inJobs, int &ioNext)
{
	for (int i = 0; i < inJobs; ++i)
	{
		ioSimulation.Submit(MakeJob("sound" + std::to_string(ioNext++), 1 + static_cast<uint32>(ioRandom.Below(2)),
									1 + static_cast<uint32>(ioRandom.Below(6)), 500 + static_cast<int64>(ioRandom.Below(1500)), 800));
		ioSimulation.Run(100 + static_cast<Millis>(ioRandom.Below(300)));
	}
}

} // namespace Loomreach::Jobs
