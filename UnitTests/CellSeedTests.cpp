// Hundreds of seeds of each planned trouble. An end that a worker has listed is never lost, however the owner goes: its task would be done
// once more, and so would what it does outside.
//
// LOOM_SEEDS="first count" in the environment plays other seeds.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

struct SeedRange
{
	uint64 first = 1;
	uint64 count = 600;
};

SeedRange SeedsToPlay()
{
	SeedRange range;
	const char *chosen = std::getenv("LOOM_SEEDS");
	std::istringstream words(chosen == nullptr ? "" : chosen);
	SeedRange read;
	if (words >> read.first >> read.count)
		range = read;
	return range;
}

/// Every seed that broke a rule or left a job open, with what was seen.
std::string Broken(Trouble (*inKind)(Random &))
{
	const SeedRange range = SeedsToPlay();
	std::string broken;
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
	{
		const std::string seen = PlayKind(seed, inKind);
		if (!seen.empty())
			broken += "seed " + std::to_string(seed) + ": " + seen;
	}
	return broken;
}

} // namespace

TEST(CellSeeds, PlannedTrouble) { EXPECT_EQ(Broken(&PlannedTrouble), ""); }

TEST(CellSeeds, PlannedTroubleWithSlowAppends) { EXPECT_EQ(Broken(&PlannedTroubleWithSlowAppends), ""); }

TEST(CellSeeds, PlannedTroubleWithLongStandstills) { EXPECT_EQ(Broken(&PlannedTroubleWithLongStalls), ""); }

TEST(CellSeeds, PlannedTroubleWithSlowAppendsAndLongStandstills) { EXPECT_EQ(Broken(&PlannedTroubleWithBoth), ""); }

TEST(CellSeeds, EveryTrouble) { EXPECT_EQ(Broken(&EveryTrouble), ""); }

} // namespace Loomreach::Jobs
