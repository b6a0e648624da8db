// Draws troubles from a seed. The order of draws is part of what a seed means.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <UnitTests/CellTroubles.h>

namespace Loomreach::Jobs
{

SeedRange SeedsToPlay(uint64 inCount)
{
	const char *chosen = std::getenv("LOOM_SEEDS");
	std::istringstream words(chosen == nullptr ? "" : chosen);
	SeedRange read;
	return words >> read.first >> read.count ? read : SeedRange{1, inCount};
}

JobSpec LastingJob(uint32 inCount)
{
	JobSpec lasting = MakeJob("lasting", 1, inCount, 1500, 500);
	lasting.steps[0].lasting = true;
	lasting.steps[0].max_per_worker = 1;
	lasting.steps[0].limits_misses = true;
	lasting.steps[0].may_miss = 1;
	return lasting;
}

void PlayMixedDay(CellWorld &ioWorld, Random &ioRandom)
{
	SetInvariantsAbort(true);
	ioWorld.Submit(LastingJob(4));
	for (int i = 0; i < 30; ++i)
	{
		const std::string id = "job" + std::to_string(i);
		const JobSpec job = MakeJob(id, 1 + static_cast<uint32>(ioRandom.Below(3)), 1 + static_cast<uint32>(ioRandom.Below(8)),
									500 + static_cast<int64>(ioRandom.Below(4000)), 800);
		ioWorld.Submit(job);
		// A repeat of an id stays one job
		if (ioRandom.Chance(20))
			ioWorld.Submit(job);
		ioWorld.Run(100 + static_cast<Millis>(ioRandom.Below(500)));
		if (ioRandom.Chance(10))
			ioWorld.Cancel(id);
	}
	ioWorld.Cancel("lasting");
}

Trouble AnyTrouble(Random &ioRandom)
{
	Trouble trouble;
	trouble.lost_order = ioRandom.Below(8);
	trouble.lost_answer = ioRandom.Below(8);
	trouble.late_order = ioRandom.Below(8);
	trouble.failing = ioRandom.Below(10);
	trouble.cut = ioRandom.Below(10);
	trouble.crash = ioRandom.Below(4);
	trouble.kill = ioRandom.Below(15);
	trouble.slow_log = ioRandom.Below(10);
	trouble.slow_clock_per_mille = 20;
	return trouble;
}

Trouble PlannedTroubleOf(Random &ioRandom, bool inLapses)
{
	Trouble trouble;
	trouble.failing = ioRandom.Below(10);
	trouble.log_ms = ioRandom.Below(100);
	trouble.slow_clock_per_mille = 20;
	trouble.stall = ioRandom.Below(30);
	trouble.leave = ioRandom.Below(6);
	trouble.taken_down = ioRandom.Below(30);
	// Entries that lapse are drawn here, so that seeds found before mean what they did
	if (inLapses)
		trouble.unlist = ioRandom.Below(6);
	trouble.hand_over = ioRandom.Below(15);
	trouble.slow_worker = ioRandom.Below(8);
	trouble.slow_stop = ioRandom.Below(60);
	trouble.ends_page = ioRandom.Chance(50) ? 2 + ioRandom.Below(4) : 0;
	trouble.listing_counts = true;
	return trouble;
}

Trouble PlannedTrouble(Random &ioRandom) { return PlannedTroubleOf(ioRandom, true); }

Trouble PlannedTroubleWithSlowAppends(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleOf(ioRandom, false);
	trouble.unlist = ioRandom.Below(6);
	trouble.slow_log = ioRandom.Below(30);
	return trouble;
}

Trouble PlannedTroubleWithLongStalls(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleOf(ioRandom, false);
	trouble.unlist = ioRandom.Below(6);
	trouble.long_stall = ioRandom.Below(6);
	return trouble;
}

Trouble PlannedTroubleWithBoth(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleWithSlowAppends(ioRandom);
	trouble.long_stall = ioRandom.Below(6);
	return trouble;
}

Trouble PlannedTroubleWithTakeOvers(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleWithBoth(ioRandom);
	trouble.taken_over = true;
	return trouble;
}

Trouble PlannedTroubleWithReuse(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleWithTakeOvers(ioRandom);
	trouble.reused = true;
	return trouble;
}

Trouble PlannedTroubleWithKills(Random &ioRandom)
{
	Trouble trouble = PlannedTrouble(ioRandom);
	trouble.kill = ioRandom.Below(10);
	trouble.unread_excused = true;
	return trouble;
}

Trouble PlannedTroubleWithKillsAndSlowAppends(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleWithSlowAppends(ioRandom);
	trouble.kill = ioRandom.Below(10);
	trouble.unread_excused = true;
	return trouble;
}

Trouble EveryTrouble(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleOf(ioRandom, false);
	const Trouble other = AnyTrouble(ioRandom);
	trouble.lost_order = other.lost_order;
	trouble.lost_answer = other.lost_answer;
	trouble.late_order = other.late_order;
	trouble.cut = other.cut;
	trouble.slow_log = ioRandom.Below(30);
	trouble.long_stall = ioRandom.Below(6);
	trouble.unlist = ioRandom.Below(6);
	trouble.crash = other.crash;
	trouble.kill = other.kill;
	trouble.repeated_start = ioRandom.Below(8);
	trouble.listing_counts = false;
	return trouble;
}

Trouble RestartsUnderOneId(Random &ioRandom)
{
	Trouble trouble;
	trouble.again = 5 + ioRandom.Below(25);
	trouble.failing = ioRandom.Below(10);
	trouble.log_ms = ioRandom.Below(100);
	trouble.ends_page = ioRandom.Chance(30) ? 2 + ioRandom.Below(4) : 0;
	trouble.slow_clock_per_mille = 20;
	return trouble;
}

Trouble RestartsWithLateOrders(Random &ioRandom)
{
	Trouble trouble = RestartsUnderOneId(ioRandom);
	trouble.late_order = ioRandom.Below(8);
	trouble.late_start = ioRandom.Below(8);
	trouble.lost_order = ioRandom.Below(8);
	trouble.lost_answer = ioRandom.Below(8);
	return trouble;
}

Trouble RestartsWithOtherOwners(Random &ioRandom)
{
	Trouble trouble = RestartsUnderOneId(ioRandom);
	trouble.kill = ioRandom.Below(15);
	trouble.hand_over = ioRandom.Below(15);
	trouble.slow_log = ioRandom.Below(30);
	trouble.stall = ioRandom.Below(30);
	return trouble;
}

Trouble PlannedReturnsUnderOneId(Random &ioRandom)
{
	Trouble trouble = PlannedTroubleWithTakeOvers(ioRandom);
	trouble.leave = 2 + ioRandom.Below(6);
	trouble.returns = 70;
	return trouble;
}

Trouble EveryTroubleWithRestarts(Random &ioRandom)
{
	Trouble trouble = EveryTrouble(ioRandom);
	trouble.again = ioRandom.Below(12);
	trouble.returns = 50;
	return trouble;
}

std::string PlayKind(uint64 inSeed, Trouble (*inKind)(Random &))
{
	Random random(inSeed);
	CellWorld world(inSeed, inKind(random), 3 + random.Below(4));
	JobSpec copies = MakeJob("copies", 2, 6, 1000, 800);
	for (StepSpec &step : copies.steps)
		step.may_copy = true;
	world.Submit(copies);
	PlayMixedDay(world, random);
	world.Run(10000);
	world.Calm();
	world.Run(60000);
	return world.Broken() + world.Open();
}

void PutInRacks(CellWorld &ioWorld)
{
	size_t number = 0;
	for (auto &[id, worker] : ioWorld.Workers())
		worker.rack = "r" + std::to_string(number++ / cWorkersARack);
}

void LoseARack(CellWorld &ioWorld, Random &ioRandom, size_t inRacks)
{
	const std::string rack = "r" + std::to_string(ioRandom.Below(inRacks));
	const bool closes = ioRandom.Chance(50);
	const Millis back = cWorldStepMs * static_cast<Millis>(50 + ioRandom.Below(800));
	for (auto &[id, worker] : ioWorld.Workers())
		if (worker.rack == rack && !worker.crashed)
			ioWorld.Crash(worker, closes, back);
}

JobSpec Crasher(CellWorld &ioWorld, const std::string &inId, uint32 inCount, Millis inAfterMs)
{
	ioWorld.crash_after_ms[inId] = inAfterMs;
	return MakeJob(inId, 1, inCount, 500, 800);
}

void SubmitSound(CellWorld &ioWorld, Random &ioRandom, int inJobs, int &ioNext)
{
	for (int i = 0; i < inJobs; ++i)
	{
		ioWorld.Submit(MakeJob("sound" + std::to_string(ioNext++), 1 + static_cast<uint32>(ioRandom.Below(2)),
							   1 + static_cast<uint32>(ioRandom.Below(6)), 500 + static_cast<int64>(ioRandom.Below(1500)), 800));
		ioWorld.Run(100 + static_cast<Millis>(ioRandom.Below(300)));
	}
}

} // namespace Loomreach::Jobs
