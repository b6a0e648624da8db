// Guards against a task that crashes every worker it starts on and is restarted without limit. Such a task crashes its worker, with all
// other runs there, 10 ms after each start. If the run end counts as the worker's, not the task's, the task is planned again as soon as
// the end is known, and crashes one worker after another.
//
// Other runs on the worker may have begun less than 300 ms before. A task that only ran beside the cause, or whose worker was lost with its
// rack, must not be failed: its job could have been completed.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

#include <iostream>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cCrashMs = 10;
constexpr size_t cWorkers = 12;

std::string Failures(const CellSimulation &inSimulation) { return inSimulation.Violations() + inSimulation.WronglyFailedJobs(); }

} // namespace

TEST(CellCrash, GivesUpATaskThatCrashesEachWorker)
{
	Random random(1);
	int next = 0;
	CellSimulation simulation(1, SimulationFaults{}, cWorkers);
	simulation.Run(500);
	for (int i = 0; i < 3; ++i)
		simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, cCrashMs));
	SubmitHealthyJobs(simulation, random, 20, next);
	simulation.Run(60000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
	for (int i = 0; i < 3; ++i)
		EXPECT_EQ(simulation.QueryJob("bad" + std::to_string(i)).phase, EJobPhase::Failed);
}

TEST(CellCrash, GivesItUpAlsoWhereWorkersComeBackAfterTheirLeases)
{
	// The end is then concluded from the lease, since no other incarnation has answered
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellSimulation simulation(seed, SimulationFaults{}, cWorkers);
		simulation.back_after_ms = 8000;
		simulation.Run(500);
		for (int i = 0; i < 3; ++i)
			simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, cCrashMs));
		SubmitHealthyJobs(simulation, random, 20, next);
		simulation.Run(90000);
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

/// A poll that was answered immediately before a trial run's start delayed the next poll, and the crash was seen too late to prove
/// anything.
TEST(CellCrash, SeesACrashOnTrialAtOnce)
{
	for (uint64 seed = 1; seed <= 200; ++seed)
	{
		CellSimulation simulation(seed, SimulationFaults{}, cWorkers);
		simulation.crashed_keep_ids = true;
		AssignRacks(simulation);
		simulation.Run(500);
		simulation.Submit(MakeCrashingJob(simulation, "bad", 1, cCrashMs));
		simulation.Run(30000);
		EXPECT_EQ(simulation.QueryJob("bad").phase, EJobPhase::Failed) << seed;
		EXPECT_EQ(simulation.CrashesCausedBy({"bad", 0, 0, 0}), 2u) << seed;
	}
}

/// A pool sized by requested resources alone was left with two hosts for sixty tasks that waited for their trial runs.
TEST(CellCrash, TasksThatWaitForATrialCountForTheSizeOfTheirPool)
{
	CellSimulation simulation(1, SimulationFaults{}, 2);
	simulation.Run(500);
	simulation.run_ms["sound"] = 1000;
	simulation.Submit(MakeJob("sound", 1, 12, 500, 800));
	simulation.Submit(MakeCrashingJob(simulation, "bad", 1, cCrashMs));
	uint32 most = 0;
	for (int i = 0; i < 100; ++i)
	{
		simulation.Run(100);
		most = std::max(most, simulation.Core().Demand("pool", 0, 1500, simulation.Now(), simulation.Now()).min_hosts);
	}
	EXPECT_GT(most, 2u);
	simulation.Run(30000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
	EXPECT_EQ(simulation.Core().Demand("pool", 0, 1500, simulation.Now(), simulation.Now()).min_hosts, 0u);
}

TEST(CellCrash, CountsOnWhenTheOwnerChanges)
{
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellSimulation simulation(seed, SimulationFaults{}, cWorkers);
		simulation.Run(500);
		simulation.Submit(MakeCrashingJob(simulation, "bad", 2, cCrashMs));
		for (int i = 0; i < 20; ++i)
		{
			SubmitHealthyJobs(simulation, random, 1, next);
			simulation.Run(static_cast<Millis>(random.Below(2000)));
			simulation.ReplaceOwner();
		}
		simulation.Run(60000);
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

TEST(CellCrash, GivesUpAGangOneOfWhoseMembersCrashesItsWorker)
{
	CellSimulation simulation(1, SimulationFaults{}, cWorkers);
	simulation.Run(500);
	JobSpec gang = MakeCrashingJob(simulation, "gang", 3, cCrashMs);
	gang.steps[0].gang = true;
	simulation.Submit(gang);
	simulation.Run(60000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.QueryJob("gang").phase, EJobPhase::Failed);
}

TEST(CellCrash, GivesUpALongRunningTaskThatCrashesEachWorker)
{
	CellSimulation simulation(1, SimulationFaults{}, cWorkers);
	simulation.Run(500);
	JobSpec long_running_job = MakeCrashingJob(simulation, "lasting", 2, cCrashMs);
	long_running_job.steps[0].long_running = true;
	simulation.Submit(long_running_job);
	simulation.Run(60000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.QueryJob("lasting").phase, EJobPhase::Failed);
}

TEST(CellCrash, GivesUpATaskThatCrashesEachWorkerLaterInItsRun)
{
	for (const Millis after : {100, 400, 1000, 3000})
	{
		Random random(1);
		int next = 0;
		CellSimulation simulation(1, SimulationFaults{}, cWorkers);
		simulation.Run(500);
		simulation.run_ms["bad"] = 5000;
		simulation.Submit(MakeCrashingJob(simulation, "bad", 1, after));
		SubmitHealthyJobs(simulation, random, 20, next);
		simulation.Run(60000);
		EXPECT_EQ(Failures(simulation), "") << after;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << after;
		EXPECT_EQ(simulation.QueryJob("bad").phase, EJobPhase::Failed) << after;
	}
}

TEST(CellCrash, GivesUpNoTaskThatWasThereWhenARackWasLost)
{
	// Racks are lost one after another, unresponsive or with connections closed, some while tasks restart
	for (uint64 seed = 1; seed <= 30; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellSimulation simulation(seed, SimulationFaults{}, cWorkers);
		AssignRacks(simulation);
		simulation.Run(500);
		JobSpec long_running_job = MakeJob("lasting", 1, 4, 1000, 500);
		long_running_job.steps[0].long_running = true;
		simulation.Submit(long_running_job);
		for (int i = 0; i < 8; ++i)
		{
			SubmitHealthyJobs(simulation, random, 4, next);
			const std::string rack = "r" + std::to_string(random.Below(cWorkers / cWorkersPerRack));
			const bool closes = random.Chance(50);
			for (auto &[id, worker] : simulation.Workers())
				if (worker.rack == rack && !worker.crashed)
					simulation.Crash(worker, closes, 10 * static_cast<Millis>(50 + random.Below(300)));
		}
		simulation.Cancel("lasting");
		simulation.Run(60000);
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

TEST(CellCrash, GivesUpNoTaskWhoseWorkersWereCutOffByResets)
{
	// Connections are reset as by a crash, but the worker runs on and is reachable again after its leases are over: nothing has crashed
	for (uint64 seed = 1; seed <= 30; ++seed)
	{
		Random random(seed);
		int next = 0;
		CellSimulation simulation(seed, SimulationFaults{}, cWorkers);
		AssignRacks(simulation);
		simulation.Run(500);
		for (int i = 0; i < 12; ++i)
		{
			SubmitHealthyJobs(simulation, random, 4, next);
			for (auto &[id, worker] : simulation.Workers())
				if (random.Chance(10))
				{
					worker.unreachable_until = simulation.Now() + 4000 + static_cast<Millis>(random.Below(3000));
					worker.resets_connections = true;
				}
		}
		simulation.Run(10000);
		simulation.ClearFaults();
		simulation.Run(60000);
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

TEST(CellCrash, BlamesNoRunThatASuccessorOnlyFoundInTheLog)
{
	// The lease of such a run may have expired before its worker crashed, with no run on it. Guards against blaming the task for
	// that crash: its job would be failed once the workers of its other runs had crashed by chance
	CellSimulation simulation(1, SimulationFaults{}, 4);
	simulation.run_ms["a"] = 2000;
	simulation.Run(500);
	simulation.Submit(MakeJob("a", 1, 1, 1000, 2000));
	for (int i = 0; i < 3; ++i)
	{
		simulation.Run(1000);
		std::vector<std::string> busy;
		for (const auto &[id, worker] : simulation.Workers())
			if (!worker.crashed && !worker.running.empty())
				busy.push_back(id);
		for (const std::string &id : busy)
			simulation.Crash(simulation.Workers().at(id), true, 500);
		simulation.ReplaceOwner();
		simulation.Run(1500);
	}
	// One more random crash, which the current owner sees
	for (auto &[id, worker] : simulation.Workers())
		if (!worker.crashed && !worker.running.empty())
			simulation.Crash(worker, true, 500);
	simulation.Run(20000);
	EXPECT_EQ(Failures(simulation), "");
	EXPECT_EQ(simulation.QueryJob("a").phase, EJobPhase::Completed);
}

TEST(CellCrash, GivesUpATaskAtWhoseEveryTrialOthersOfTheRackGoAsWell)
{
	// A trial run proves nothing if another worker of the rack is lost during it; without a limit the task would be tried forever
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		CellSimulation simulation(seed, SimulationFaults{}, 6);
		simulation.Run(500);
		JobSpec long_running_job = MakeJob("lasting", 1, 6, 1000, 500);
		long_running_job.steps[0].long_running = true;
		long_running_job.steps[0].max_per_worker = 1;
		simulation.Submit(long_running_job);
		simulation.Run(2000);
		simulation.Submit(MakeCrashingJob(simulation, "bad", 1, cCrashMs));
		const TaskId bad{"bad", 0, 0, 0};
		uint32 seen = 0;
		for (int i = 0; i < 6000; ++i)
		{
			simulation.Run(10);
			if (simulation.CrashesCausedBy(bad) == seen)
				continue;
			seen = simulation.CrashesCausedBy(bad);
			for (auto &[id, worker] : simulation.Workers())
				if (!worker.crashed && !worker.running.empty())
				{
					simulation.Crash(worker, true, 2000);
					break;
				}
		}
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.QueryJob("bad").phase, EJobPhase::Failed) << seed;
	}
}

/// Crashes the workers on which a job runs. Returns their number.
static size_t CrashWorkersOf(CellSimulation &ioSimulation, const std::string &inJob)
{
	std::vector<std::string> lost;
	for (const auto &[id, worker] : ioSimulation.Workers())
		for (const auto &[run, work] : worker.running)
			if (!worker.crashed && run.task.job == inJob && (lost.empty() || lost.back() != id))
				lost.push_back(id);
	for (const std::string &id : lost)
		ioSimulation.Crash(ioSimulation.Workers().at(id), true, 500);
	return lost.size();
}

TEST(CellCrash, ALongRunningTaskThatIsAtWorkIsSuspectedNoMore)
{
	// Over months the workers of long-running tasks crash by chance, also right after a start. If all these crashes counted, the job would
	// be failed; and a run isolated for its trial would keep all others off its worker for good
	for (uint64 seed = 1; seed <= 10; ++seed)
	{
		CellSimulation simulation(seed, SimulationFaults{}, 3);
		simulation.Run(500);
		JobSpec long_running_job = MakeJob("lasting", 1, 1, 1000, 500);
		long_running_job.steps[0].long_running = true;
		simulation.Submit(long_running_job);
		simulation.Run(1000);
		for (int month = 0; month < 6; ++month)
		{
			// Three crashes in a row, not all right after a start, then a long time without crashes, also under another owner
			for (int i = 0; i < 3; ++i)
			{
				ASSERT_EQ(CrashWorkersOf(simulation, "lasting"), 1u) << seed << " " << month << " " << i;
				simulation.Run(6000);
			}
			simulation.Run(10000);
			simulation.ReplaceOwner();
			simulation.Run(10000);
		}
		EXPECT_EQ(Failures(simulation), "") << seed;
		// Every worker has capacity for other runs beside it
		simulation.Submit(MakeJob("wide", 1, 3, 15000, 300));
		simulation.run_ms["wide"] = 20000;
		simulation.Run(15000);
		size_t busy = 0;
		for (const auto &[id, worker] : simulation.Workers())
			busy += worker.crashed || worker.running.empty() ? 0 : 1;
		EXPECT_EQ(busy, 3u) << seed;
	}
}

/// Result of a simulation with many crashing tasks.
struct CrashStatistics
{
	size_t healthy = 0;
	size_t wrongly_failed = 0; ///< Of the healthy jobs.
	size_t crashers = 0;       ///< Tasks that crash their workers.
	size_t crashes = 0;        ///< Workers that these tasks crashed.
};

/// Whether crashed workers start again under their ids.
enum class EWorkerIds : uint8
{
	New,
	Kept
};

/// Runs crashing tasks beside healthy jobs, with random worker crashes (`inChance` percent a second each) and owner changes.
static CrashStatistics RunCrashSimulation(uint64 inSeed, uint64 inChance, EWorkerIds inWorkerIds)
{
	Random random(inSeed);
	int next = 0;
	SimulationFaults faults;
	faults.owner_kill = random.Below(10);
	CellSimulation simulation(inSeed, faults, cWorkers);
	simulation.crashed_keep_ids = inWorkerIds == EWorkerIds::Kept;
	AssignRacks(simulation);
	simulation.Run(500);
	CrashStatistics result;
	for (int i = 0; i < 10; ++i)
	{
		const uint32 tasks = 1 + static_cast<uint32>(random.Below(2));
		result.crashers += tasks;
		simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), tasks, static_cast<Millis>(random.Below(100))));
		SubmitHealthyJobs(simulation, random, 4, next);
		std::vector<std::string> lost;
		for (auto &[id, worker] : simulation.Workers())
			if (!worker.crashed && random.Chance(inChance))
				lost.push_back(id);
		for (const std::string &id : lost)
		{
			SimulatedWorker &worker = simulation.Workers().at(id);
			simulation.Crash(worker, random.Chance(70), 2000);
			worker.keeps_id = inWorkerIds == EWorkerIds::Kept;
		}
	}
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(60000);
	EXPECT_EQ(simulation.Violations(), "") << inSeed;
	EXPECT_EQ(simulation.UnfinishedJobs(), "") << inSeed;
	result.healthy = static_cast<size_t>(next);
	const std::string wrongly_failed = simulation.WronglyFailedJobs();
	result.wrongly_failed = static_cast<size_t>(std::count(wrongly_failed.begin(), wrongly_failed.end(), '\n'));
	for (int i = 0; i < 10; ++i)
		for (uint32 task = 0; task < 2; ++task)
			result.crashes += simulation.CrashesCausedBy({"bad" + std::to_string(i), 0, 0, task});
	return result;
}

/// Runs many seeds: in total at most `inMaxWronglyFailed` healthy jobs fail, and a crashing task crashes at most 3 workers on average.
static void CheckCrashSimulations(uint64 inSeeds, uint64 inChance, size_t inMaxWronglyFailed, EWorkerIds inWorkerIds = EWorkerIds::New)
{
	CrashStatistics all;
	const SeedRange range = SeedsToRun(inSeeds);
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
	{
		const CrashStatistics result = RunCrashSimulation(seed, inChance, inWorkerIds);
		all.healthy += result.healthy;
		all.wrongly_failed += result.wrongly_failed;
		all.crashers += result.crashers;
		all.crashes += result.crashes;
	}
	std::cout << "chance " << inChance << "% a second: " << all.wrongly_failed << " of " << all.healthy << " healthy jobs given up; "
			  << all.crashers << " tasks crashed " << all.crashes << " workers\n";
	EXPECT_LE(all.wrongly_failed, inMaxWronglyFailed);
	EXPECT_LE(all.crashes, 3 * all.crashers);
}

TEST(CellCrash, TellsCrashersFromWhatRanBesideThem) { CheckCrashSimulations(60, 0, 0); }

/// The next incarnation under the same id hid a crash.
TEST(CellCrash, TellsCrashersWhereWorkersKeepTheirIds) { CheckCrashSimulations(60, 0, 0, EWorkerIds::Kept); }

/// A fifth crash that only the next owner derived from the records did not fail the task, and it was started a sixth time.
TEST(CellCrash, TellsCrashersWhereWorkersKeepTheirIdsOnHundredsOfDays) { CheckCrashSimulations(600, 0, 0, EWorkerIds::Kept); }

TEST(CellCrash, GivesUpNoSoundJobWhereWorkersThatCrashByChanceKeepTheirIds) { CheckCrashSimulations(60, 6, 0, EWorkerIds::Kept); }

// No job may be failed that could have been completed. The platform's rules allow a task to be failed once two workers have crashed under
// it, so that such a failure breaks none of them, but the caller gets a wrong result. LOOM_SEEDS="first count" runs other seeds.

/// A healthy task started beside a crashing one, and then its worker crashed by chance during the trial run.
TEST(CellCrash, TellsCrashersFromChance) { CheckCrashSimulations(60, 2, 0); }

TEST(CellCrash, TellsCrashersFromChanceOnHundredsOfDays) { CheckCrashSimulations(600, 2, 0); }

TEST(CellCrash, GivesUpNoSoundJobWhereEachWorkerCrashesEveryQuarterMinute) { CheckCrashSimulations(60, 6, 0); }

TEST(CellCrash, GivesUpNoSoundJobOnHundredsOfSuchDays) { CheckCrashSimulations(600, 6, 0); }

TEST(CellCrash, TellsCrashersFromWhatRanBesideThemWithChanceAndChangesOfOwner)
{
	// Many crashing tasks of all kinds, random worker crashes and owner changes
	const SeedRange range = SeedsToRun(30);
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
	{
		Random random(seed);
		int next = 0;
		SimulationFaults faults;
		faults.owner_kill = random.Below(10);
		CellSimulation simulation(seed, faults, cWorkers);
		AssignRacks(simulation);
		simulation.Run(500);
		for (int i = 0; i < 10; ++i)
		{
			simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1 + static_cast<uint32>(random.Below(2)),
											  static_cast<Millis>(random.Below(100))));
			SubmitHealthyJobs(simulation, random, 4, next);
			std::vector<std::string> lost;
			for (auto &[id, worker] : simulation.Workers())
				if (!worker.crashed && random.Chance(6))
					lost.push_back(id);
			for (const std::string &id : lost)
				simulation.Crash(simulation.Workers().at(id), random.Chance(70), 2000);
		}
		simulation.Run(10000);
		simulation.ClearFaults();
		simulation.Run(60000);
		EXPECT_EQ(Failures(simulation), "") << seed;
		EXPECT_EQ(simulation.UnfinishedJobs(), "") << seed;
	}
}

/// All faults of the network, the workers and the owner, among them long pauses, beside crashing tasks, racks that become unresponsive or
/// close their connections, and shrinking capacity. Returns violations and unfinished jobs; adds up healthy jobs that failed in
/// `outWronglyFailed`.
static std::string RunAllFaults(uint64 inSeed, uint64 inFailing, size_t &outWronglyFailed, size_t &outHealthy)
{
	Random random(inSeed);
	SimulationFaults faults = AllFaults(random);
	faults.capacity_shrink = random.Below(10);
	// A host whose links lose packets is out of contact, and tasks that fail too often are rightly failed
	faults.lost_order = 0;
	faults.failed_run = std::min(faults.failed_run, inFailing);
	CellSimulation simulation(inSeed, faults, cWorkers);
	AssignRacks(simulation);
	simulation.Run(500);
	int next = 0;
	for (int i = 0; i < 6; ++i)
	{
		simulation.Submit(MakeCrashingJob(simulation, "bad" + std::to_string(i), 1, static_cast<Millis>(random.Below(100))));
		SubmitHealthyJobs(simulation, random, 5, next);
		if (!random.Chance(40))
			continue;
		LoseRack(simulation, random, cWorkers / cWorkersPerRack);
	}
	simulation.Run(10000);
	simulation.ClearFaults();
	simulation.Run(90000);
	const std::string wrongly_failed = simulation.WronglyFailedJobs();
	outWronglyFailed += static_cast<size_t>(std::count(wrongly_failed.begin(), wrongly_failed.end(), '\n'));
	outHealthy += static_cast<size_t>(next);
	return simulation.Violations() + simulation.UnfinishedJobs();
}

RC_GTEST_PROP(CellCrash, KeepsTheRulesUnderEverything, ())
{
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	size_t wrongly_failed = 0;
	size_t healthy = 0;
	RC_ASSERT(RunAllFaults(seed, 0, wrongly_failed, healthy) == "");
}

/// A start got no answer, and its worker became unresponsive before its host closed any connection: such crashes were not counted.
TEST(CellCrash, SeedsInWhichWorkersFellSilentFirst)
{
	size_t wrongly_failed = 0;
	size_t healthy = 0;
	for (uint64 seed : {758, 787})
		EXPECT_EQ(RunAllFaults(seed, 100, wrongly_failed, healthy), "") << seed;
	// The worker of a run that was taken over was draining when it was lost
	EXPECT_EQ(RunAllFaults(213711347, 0, wrongly_failed, healthy), "");
}

TEST(CellCrash, CountsWhatIsGivenUpUnderEverything)
{
	size_t wrongly_failed = 0;
	size_t healthy = 0;
	for (uint64 seed = 1; seed <= 100; ++seed)
		EXPECT_EQ(RunAllFaults(seed, 0, wrongly_failed, healthy), "") << seed;
	std::cout << "under all faults: " << wrongly_failed << " of " << healthy << " healthy jobs given up\n";
	EXPECT_EQ(wrongly_failed, 0u);
}

} // namespace Loomreach::Jobs
