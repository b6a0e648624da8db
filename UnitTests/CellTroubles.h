// Days and troubles that several tests of a cell play.

#pragma once

#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// A job of one step of tasks that last, each on another worker.
JobSpec LastingJob(uint32 inCount);
/// Hands in jobs over some seconds, some of which are cancelled, then lets everything settle.
void PlayMixedDay(CellWorld &ioWorld, Random &ioRandom);
Trouble AnyTrouble(Random &ioRandom);
/// Everything but disruptions of the network, the owner or the workers: an end that was listed counts.
Trouble PlannedTroubleOf(Random &ioRandom, bool inLapses);
Trouble PlannedTrouble(Random &ioRandom);
/// All of it together.
Trouble EveryTrouble(Random &ioRandom);

} // namespace Loomreach::Jobs
