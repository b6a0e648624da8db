// Builds fleet states of any size for measurements, by applying proposals in the way that the log's records are applied.

#pragma once

#include <Loomreach/State/Fold.h>

namespace Loomreach
{

/// Size of a fleet and settings of its planners.
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

/// A fleet of today's size whose planners give weight to the buffer, one whose planners give weight to few moves, and the size that is
/// expected in two years.
FleetShape BufferWeightedShape();
FleetShape MoveWeightedShape();
FleetShape TwoYearShape();

/// Builds a state by applying proposals.
class FleetBuilder
{
public:
	explicit FleetBuilder(const FleetShape &inShape);

	/// Applies a proposal at the next position of the log.
	ProposalOutcome Apply(ProposalBody inBody);
	/// Places all replicas for which there is a host.
	void PlaceAll();

	FleetState state;
	FleetShape shape;

private:
	uint64 sequence = 0;
};

/// Path of the pool with a number.
std::string PoolPathOf(uint32 inIndex);

} // namespace Loomreach
