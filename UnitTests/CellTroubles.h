// Days and troubles that several tests of a cell play.

#pragma once

#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// Seeds to play: those of the test, or others that the environment names as LOOM_SEEDS="first count".
struct SeedRange
{
	uint64 first = 1;
	uint64 count = 600;
};

SeedRange SeedsToPlay(uint64 inCount = 600);

/// A job of one step of tasks that last, each on another worker.
JobSpec LastingJob(uint32 inCount);
/// Hands in jobs over some seconds, some of which are cancelled, then lets everything settle.
void PlayMixedDay(CellWorld &ioWorld, Random &ioRandom);
Trouble AnyTrouble(Random &ioRandom);
/// Everything but disruptions of the network, the owner or the workers: an end that was listed counts.
Trouble PlannedTroubleOf(Random &ioRandom, bool inLapses);
Trouble PlannedTrouble(Random &ioRandom);
/// Planned trouble, and appends that take a second.
Trouble PlannedTroubleWithSlowAppends(Random &ioRandom);
/// Planned trouble, and standstills beyond the owner's lease.
Trouble PlannedTroubleWithLongStalls(Random &ioRandom);
/// Planned trouble, and both of these.
Trouble PlannedTroubleWithBoth(Random &ioRandom);
/// The same, and other owners take over from those that stand still.
Trouble PlannedTroubleWithTakeOvers(Random &ioRandom);
/// The same, and the addresses of workers that have left are used again.
Trouble PlannedTroubleWithReuse(Random &ioRandom);
/// Planned trouble, and owners that are killed: an end that the owner read counts all the same.
Trouble PlannedTroubleWithKills(Random &ioRandom);
/// The same with slow appends.
Trouble PlannedTroubleWithKillsAndSlowAppends(Random &ioRandom);
/// Workers crash, and soon start again under their ids; nothing else.
Trouble RestartsUnderOneId(Random &ioRandom);
/// The same, and orders are carried out late, by whichever life there is then.
Trouble RestartsWithLateOrders(Random &ioRandom);
/// The same with owners that are killed, and slow appends.
Trouble RestartsWithOtherOwners(Random &ioRandom);
/// Planned trouble with takeovers, and workers that leave come back under their ids.
Trouble PlannedReturnsUnderOneId(Random &ioRandom);
/// Every trouble, and all of this.
Trouble EveryTroubleWithRestarts(Random &ioRandom);
/// All of it together.
Trouble EveryTrouble(Random &ioRandom);
/// A mixed day with the troubles of one kind, beside a job whose tasks may run twice at once; then calm. What was broken, and what did not
/// end.
std::string PlayKind(uint64 inSeed, Trouble (*inKind)(Random &));
inline constexpr size_t cWorkersARack = 4;
/// Workers in racks of four.
void PutInRacks(CellWorld &ioWorld);
/// A rack of so many goes, dark or with its connections closed, and is back after half a second to eight and a half.
void LoseARack(CellWorld &ioWorld, Random &ioRandom, size_t inRacks);
/// A job whose tasks crash their workers.
JobSpec Crasher(CellWorld &ioWorld, const std::string &inId, uint32 inCount, Millis inAfterMs);
/// Hands in sound jobs over some seconds; `ioNext` numbers them.
void SubmitSound(CellWorld &ioWorld, Random &ioRandom, int inJobs, int &ioNext);

} // namespace Loomreach::Jobs
