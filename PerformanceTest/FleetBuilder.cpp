// Builds fleet states by proposals.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/PlacementPlanner.h>
#include <PerformanceTest/FleetBuilder.h>

namespace Loomreach
{

static constexpr uint32 cHostsPerRack = 4;
static constexpr int cPlacementRounds = 8;

FleetShape BufferWeightedShape()
{
	FleetShape shape;
	shape.min_available_percent = 70;
	shape.weight_buffer = 10;
	return shape;
}

FleetShape MoveWeightedShape()
{
	FleetShape shape;
	shape.zones = 4;
	shape.weight_moves = 10;
	return shape;
}

FleetShape TwoYearShape()
{
	FleetShape shape;
	shape.hosts = 1800;
	shape.pools = 298;
	shape.replicas = 10'000;
	shape.zones = 13;
	shape.members = 78;
	shape.replica_cpu = 2000;
	return shape;
}

std::string PoolPathOf(uint32 inIndex) { return "/group/pool-" + std::to_string(inIndex); }

FleetBuilder::FleetBuilder(const FleetShape &inShape) : shape(inShape)
{
	std::vector<SettingsNode> nodes = {{"/group", ENodeKind::Group, {}}};
	nodes[0].stated[ESetting::MinAvailablePercent] = {inShape.min_available_percent, {}};
	nodes[0].stated[ESetting::WeightBuffer] = {inShape.weight_buffer, {}};
	nodes[0].stated[ESetting::WeightMoves] = {inShape.weight_moves, {}};
	nodes[0].stated[ESetting::BufferPercent] = {inShape.buffer_percent, {}};
	for (uint32 i = 0; i < inShape.pools; ++i)
	{
		const uint32 replicas = inShape.replicas / inShape.pools + (i < inShape.replicas % inShape.pools ? 1 : 0);
		nodes.push_back({PoolPathOf(i), ENodeKind::Pool, {}});
		SettingsNode job{PoolPathOf(i) + "/service-" + std::to_string(i), ENodeKind::Job, {}};
		job.stated[ESetting::Replicas] = {replicas, {}};
		job.stated[ESetting::CpuMilli] = {inShape.replica_cpu, {}};
		job.stated[ESetting::MemoryMb] = {256, {}};
		nodes.push_back(std::move(job));
	}
	this->Apply(ApplySettings{0, nodes, "builder"});
	for (uint32 i = 0; i < inShape.hosts; ++i)
	{
		HostSpec spec;
		spec.name = "host-" + std::to_string(i);
		spec.address = {"127.0.0.1", 1};
		spec.region = "region-" + std::to_string(i % inShape.zones % 4);
		spec.availability_zone = "zone-" + std::to_string(i % inShape.zones);
		spec.rack = spec.availability_zone + "-rack-" + std::to_string(i / inShape.zones / cHostsPerRack);
		spec.capacity = {16'000, 32'768, 2};
		spec.slots = 8;
		spec.connections = 64;
		const ProposalOutcome added = this->Apply(AddHost{spec, PoolPathOf(i % inShape.pools)});
		this->Apply(StepHost{spec.name, EHostStep::Healthy, added.position, "", "", 0});
	}
	ChangeView view{0, {}, true};
	for (uint32 i = 0; i < inShape.members; ++i)
		view.members.push_back({"entry-" + std::to_string(i),
								i + 100,
								"region",
								"zone-" + std::to_string(i % inShape.zones),
								{"127.0.0.1", 1},
								{"127.0.0.1", 2}});
	this->Apply(std::move(view));
}

ProposalOutcome FleetBuilder::Apply(ProposalBody inBody)
{
	const Proposal proposal{{1, ++this->sequence}, std::move(inBody)};
	return ApplyProposal(this->state, PositionAt(this->state.next_offset++, 0), proposal);
}

void FleetBuilder::PlaceAll()
{
	for (int round = 0; round < cPlacementRounds; ++round)
		for (uint32 i = 0; i < this->shape.pools; ++i)
			for (ProposalBody &body : PlacementPlanner(this->state, PoolPathOf(i)).Plan().proposals)
				this->Apply(std::move(body));
}

} // namespace Loomreach
