// Guards against a successor that does not know its predecessor's drain grant. An owner grants that a worker stays empty for a while, and
// the fleet's owner then removes the worker's host. A grant kept in memory alone may outlive its owner's lease where that is short, and a
// successor that begins before it ends starts work on the worker:
//
//     at 2000: taken down with work on it: w0
//
// The runs there are lost and repeated, and a long-running task may be missing beyond the limit of its step.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

static constexpr Millis cSlackMs = 300;

TEST(CellDrainGrant, IsKeptByASuccessorThatBeginsBeforeItIsOver)
{
	std::string violations;
	for (uint64 seed = 1; seed <= 20; ++seed)
	{
		CellSimulation simulation(seed, SimulationFaults{}, 1);
		simulation.run_ms["job"] = 5000;
		simulation.Run(500);
		SimulatedWorker &worker = simulation.Workers().at("w0");
		worker.drain_requested = true;
		while (worker.leaves_at < 0)
			simulation.Run(cSimulationStepMs);
		// An owner stops acting this long before its lease is over
		simulation.Run(cSlackMs);
		simulation.ReplaceOwner();
		simulation.Submit(MakeJob("job", 1, 1, 500, 800));
		simulation.Run(3000);
		violations += simulation.Violations();
	}
	EXPECT_EQ(violations, "");
}

} // namespace Loomreach::Jobs
