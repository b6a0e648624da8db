// An owner promises that a worker is empty and stays so for a while; the fleet's owner then takes the worker's host down. The promise is
// kept in memory alone, and outlives its owner's lease where that is short: a successor that begins before it is over knows nothing of it,
// and starts work on the worker.
//
//     at 2000: taken down with work on it: w0
//
// What ran there is lost and done again, and a lasting task may be away beyond what its step bears.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

static constexpr Millis cSlackMs = 300;

TEST(CellPromise, IsKeptByASuccessorThatBeginsBeforeItIsOver)
{
	std::string violations;
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		CellWorld simulation(seed, Trouble{}, 1);
		simulation.run_ms["job"] = 5000;
		simulation.Run(500);
		SimulatedWorker &worker = simulation.Workers().at("w0");
		worker.drain_requested = true;
		while (worker.leaves_at < 0)
			simulation.Run(cSimulationStepMs);
		// An owner stops acting this much before its lease is over
		simulation.Run(cSlackMs);
		simulation.ReplaceOwner();
		simulation.Submit(MakeJob("job", 1, 1, 500, 800));
		simulation.Run(3000);
		violations += simulation.Broken();
	}
	EXPECT_EQ(violations, "");
}

} // namespace Loomreach::Jobs
