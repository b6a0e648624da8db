// Maintenance waves beside workers that start again under their ids, changes of owner and cuts, over many seeds.
//
// LOOM_SEEDS="first count" in the environment runs other seeds.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>
#include <UnitTests/WaveWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

static constexpr uint64 cWaveSeeds = 40;

/// Plays the seeds. Returns those that broke a rule.
static std::string BrokenSeeds(const SimulationFaults &inFaults, const WaveFaults &inWaveFaults)
{
	const SeedRange range = SeedsToRun(cWaveSeeds);
	std::string broken;
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
		if (const std::string seen = WaveSimulation(seed, inFaults, inWaveFaults).Play(); !seen.empty())
			broken += "seed " + std::to_string(seed) + ": " + seen;
	return broken;
}

/// A host is taken down under the runs of the next incarnation of a worker that was reported empty.
TEST(WaveRestarts, TakesNoHostDownUnderTheNextIncarnationsRuns)
{
	const WaveFaults faults{.restart_after_grant = 40, .restart = 5, .slow_order = 30, .unknown_outcome = 10};
	EXPECT_EQ(BrokenSeeds({}, faults), "");
}

/// The same where the owner that reported it empty is lost.
TEST(WaveRestarts, ASuccessorKeepsADrainGrantOverARestart)
{
	const WaveFaults faults{.restart_after_grant = 40,
							.owner_change_after_grant = 40,
							.restart = 5,
							.owner_change = 5,
							.slow_order = 30,
							.unknown_outcome = 10};
	EXPECT_EQ(BrokenSeeds({}, faults), "");
}

/// The same where restarted workers are cut off, and another host plans the waves.
TEST(WaveRestarts, KeepsTheRulesOverCutsAndOtherOwners)
{
	const WaveFaults faults{.restart_after_grant = 30,
							.owner_change_after_grant = 20,
							.restart = 8,
							.cut = 8,
							.owner_change = 5,
							.fleet_owner_change = 5,
							.slow_order = 30,
							.unknown_outcome = 10};
	EXPECT_EQ(BrokenSeeds({}, faults), "");
}

/// The same with orders that are carried out late, and slow appends.
TEST(WaveRestarts, KeepsTheRulesWithLateOrders)
{
	SimulationFaults orders;
	orders.late_order = 4;
	orders.late_start = 4;
	orders.lost_answer = 4;
	orders.slow_append = 10;
	const WaveFaults faults{.restart_after_grant = 30,
							.owner_change_after_grant = 20,
							.restart = 8,
							.cut = 5,
							.owner_change = 3,
							.slow_order = 30,
							.unknown_outcome = 10};
	EXPECT_EQ(BrokenSeeds(orders, faults), "");
}

} // namespace Loomreach::Jobs
