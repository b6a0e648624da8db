// Builds accepted states of any size through the fold itself, for measurements.

#pragma once

#include <Loomreach/State/Fold.h>

namespace Loomreach
{

/// Sizes and shape of a fleet.
struct FleetShape
{
	uint32 hosts = 50;
	uint32 pools = 5;
	uint32 replicas = 50;
	uint32 zones = 3;
	uint32 members = 4;
	int64 min_available_percent = 75;
	int64 weight_buffer = 1;
	int64 weight_moves = 1;
	int64 replica_cpu = 4000;
	int64 buffer_percent = -1;
};

/// Msafiri and Kushiro as they are today, and the two-year size of the users' letter.
FleetShape MsafiriShape();
FleetShape KushiroShape();
FleetShape TwoYearShape();

/// Builds states by folding proposals.
class FleetBuilder
{
public:
	explicit FleetBuilder(const FleetShape &inShape);

	/// Folds a proposal at the next position.
	Verdict Fold(ProposalBody inBody);
	/// Places everything that can be placed.
	void PlaceAll();

	FleetState state;
	FleetShape shape;

private:
	uint64 sequence = 0;
};

/// Path of a pool by its number.
std::string PoolPathOf(uint32 inIndex);

} // namespace Loomreach
