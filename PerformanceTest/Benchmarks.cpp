// Benchmarks of the work of each role, for the growth figures in docs/CAPACITY.md. The argument is the number of hosts; pools, replicas and
// members grow with it, up to the two-year size (1,800 hosts, 298 pools, 10,000 replicas, 78 members in 13 availability zones).

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Request/ShareUpdate.h>
#include <Loomreach/State/Snapshot.h>
#include <PerformanceTest/FleetBuilder.h>

#include <malloc.h>

#include <benchmark/benchmark.h>

namespace
{

using namespace Loomreach;

FleetShape ShapeFor(int64 inHosts)
{
	FleetShape shape = TwoYearShape();
	const auto scaled = [inHosts](uint32 inFull) { return std::max<uint32>(1, static_cast<uint32>(inFull * inHosts / 1800)); };
	shape.hosts = static_cast<uint32>(inHosts);
	shape.pools = scaled(shape.pools);
	shape.replicas = scaled(shape.replicas);
	shape.members = std::max<uint32>(4, scaled(shape.members));
	return shape;
}

/// A fleet of the given number of hosts with its replicas placed. Each size is built once.
FleetBuilder &FleetOf(int64 inHosts)
{
	static std::map<int64, std::unique_ptr<FleetBuilder>> built;
	std::unique_ptr<FleetBuilder> &fleet = built[inHosts];
	if (fleet == nullptr)
	{
		fleet = std::make_unique<FleetBuilder>(ShapeFor(inHosts));
		fleet->PlaceAll();
	}
	return *fleet;
}

void FoldPlacements(benchmark::State &ioState)
{
	FleetBuilder fleet = FleetOf(ioState.range(0));
	std::vector<std::pair<ReplicaKey, std::string>> placed;
	for (const auto &[replica, placement] : fleet.state.placements)
		placed.emplace_back(replica, placement.host);
	size_t next = 0;
	for (auto _ : ioState)
	{
		const auto &[replica, host] = placed[next++ % placed.size()];
		const LogPosition base = fleet.state.placements.find(replica)->second.generation;
		benchmark::DoNotOptimize(fleet.Apply(PlaceReplica{replica, host, base}));
	}
	ioState.SetItemsProcessed(ioState.iterations());
}

void FoldRecords(benchmark::State &ioState)
{
	// Each record is a batch of eight host steps, which is decoded and applied
	FleetBuilder fleet = FleetOf(ioState.range(0));
	uint64 sequence = 1'000'000;
	for (auto _ : ioState)
	{
		ioState.PauseTiming();
		Batch batch;
		auto host = fleet.state.hosts.begin();
		for (int i = 0; i < 8; ++i, ++host)
			batch.push_back({{2, ++sequence}, StepHost{host->first, EHostStep::Unquarantine, host->second.generation, "", "", 0}});
		const std::string record = EncodeBatch(batch);
		ioState.ResumeTiming();
		benchmark::DoNotOptimize(ApplyLogRecord(fleet.state, fleet.state.next_offset, record));
	}
	ioState.SetItemsProcessed(ioState.iterations());
}

void ApplySettingsWhole(benchmark::State &ioState)
{
	FleetBuilder fleet = FleetOf(ioState.range(0));
	const std::vector<SettingsNode> nodes = fleet.state.settings.Nodes();
	for (auto _ : ioState)
		benchmark::DoNotOptimize(fleet.Apply(ApplySettings{fleet.state.settings_version, nodes, "bench"}));
	ioState.counters["record_bytes"] = static_cast<double>(EncodeBatch({{{1, 1}, ApplySettings{0, nodes, "bench"}}}).size());
}

void Encode(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	size_t bytes = 0;
	for (auto _ : ioState)
		bytes = EncodeState(fleet.state).size();
	ioState.counters["bytes"] = static_cast<double>(bytes);
}

void Decode(benchmark::State &ioState)
{
	const std::string bytes = EncodeState(FleetOf(ioState.range(0)).state);
	for (auto _ : ioState)
		benchmark::DoNotOptimize(DecodeState(bytes));
}

void MemoryOfState(benchmark::State &ioState)
{
	const std::string bytes = EncodeState(FleetOf(ioState.range(0)).state);
	double used = 0;
	for (auto _ : ioState)
	{
		const size_t before = mallinfo2().uordblks;
		const std::optional<FleetState> copy = DecodeState(bytes);
		used = static_cast<double>(mallinfo2().uordblks - before);
		benchmark::DoNotOptimize(copy);
	}
	ioState.counters["heap_bytes"] = used;
}

void PlanOnePool(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	for (auto _ : ioState)
	{
		benchmark::DoNotOptimize(PlacementPlanner(fleet.state, PoolPathOf(0)).Plan());
		benchmark::DoNotOptimize(WavePlanner(fleet.state, PoolPathOf(0), {}).Plan());
	}
}

void PlanAllPools(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	for (auto _ : ioState)
		for (uint32 i = 0; i < fleet.shape.pools; ++i)
		{
			benchmark::DoNotOptimize(PlacementPlanner(fleet.state, PoolPathOf(i)).Plan());
			benchmark::DoNotOptimize(WavePlanner(fleet.state, PoolPathOf(i), {}).Plan());
		}
}

/// A tracker that has received a heartbeat message from every member.
PeerTracker TrackAllMembers(const FleetState &inState)
{
	PeerTracker tracker("entry-0", "zone-0", 1000, 1000);
	for (const auto &[name, member] : inState.view.members)
	{
		HeartbeatMessage heartbeat;
		heartbeat.name = name;
		heartbeat.incarnation = member.incarnation;
		heartbeat.sequence = 1;
		heartbeat.availability_zone = member.availability_zone;
		heartbeat.reaches_platform = true;
		heartbeat.zone_reaches_platform = true;
		tracker.OnHeartbeat(std::move(heartbeat), 0);
	}
	return tracker;
}

void PickStewards(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	const PeerTracker tracker = TrackAllMembers(fleet.state);
	for (auto _ : ioState)
	{
		const PlannerAssignment assignment(fleet.state.view, tracker, "entry-0", true, false, 10);
		for (const auto &[path, pool] : fleet.state.pools)
			benchmark::DoNotOptimize(assignment.IsAssigned("pool:" + path));
	}
}

void PickKeepers(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	const PeerTracker tracker = TrackAllMembers(fleet.state);
	for (auto _ : ioState)
	{
		const PlannerAssignment assignment(fleet.state.view, tracker, "entry-0", true, false, 10);
		for (const auto &[name, host] : fleet.state.hosts)
			benchmark::DoNotOptimize(assignment.IsAssignedInZone("host:" + name, host.spec.availability_zone));
	}
}

void UpdateRoutes(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	EndpointTable table;
	for (auto _ : ioState)
		table.Update(fleet.state, {});
}

void UpdateShares(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	Dispatcher dispatcher("zone-0");
	std::vector<Decision> decisions;
	dispatcher.Update(fleet.state, {}, 0, decisions);
	const std::vector<MemberDemand> members = {{"entry-0", true, {}},   {"entry-13", false, {}}, {"entry-26", false, {}},
											   {"entry-39", false, {}}, {"entry-52", false, {}}, {"entry-65", false, {}}};
	for (auto _ : ioState)
		UpdateLimits(dispatcher, "zone-0", members);
}

void DigestSealAndOpen(benchmark::State &ioState)
{
	const PeerCodec codec("a key of sixteen bytes");
	HeartbeatMessage heartbeat;
	heartbeat.name = "entry-0";
	heartbeat.availability_zone = "zone-0";
	heartbeat.peers = {"127.0.0.1", 1000};
	for (int64 i = 0; i < ioState.range(0); ++i)
		heartbeat.demands.push_back({static_cast<uint32>(i), 1});
	size_t bytes = 0;
	for (auto _ : ioState)
	{
		const std::string sealed = codec.SealHeartbeat(heartbeat);
		bytes = sealed.size();
		benchmark::DoNotOptimize(codec.OpenHeartbeat(sealed));
	}
	ioState.counters["bytes"] = static_cast<double>(bytes);
}

void DispatchOne(benchmark::State &ioState)
{
	const FleetBuilder &fleet = FleetOf(ioState.range(0));
	Dispatcher dispatcher("zone-0");
	std::vector<Decision> decisions;
	dispatcher.Update(fleet.state, {}, 0, decisions);
	RequestId id = 0;
	const std::string job = fleet.state.jobs.begin()->first;
	for (auto _ : ioState)
	{
		decisions.clear();
		dispatcher.Arrive({++id, job, 100, 1000, true}, 1, decisions);
		dispatcher.Ended(id, EAttempt::Answered, false, 1, decisions);
	}
	ioState.SetItemsProcessed(ioState.iterations());
}

BENCHMARK(FoldPlacements)->Arg(450)->Arg(900)->Arg(1800);
BENCHMARK(FoldRecords)->Arg(450)->Arg(900)->Arg(1800);
BENCHMARK(ApplySettingsWhole)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(Encode)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(Decode)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(MemoryOfState)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(PlanOnePool)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMicrosecond);
BENCHMARK(PlanAllPools)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(PickStewards)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMicrosecond);
BENCHMARK(PickKeepers)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMicrosecond);
BENCHMARK(UpdateRoutes)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMillisecond);
BENCHMARK(UpdateShares)->Arg(450)->Arg(900)->Arg(1800)->Unit(benchmark::kMicrosecond);
BENCHMARK(DigestSealAndOpen)->Arg(0)->Arg(16)->Arg(32)->Unit(benchmark::kMicrosecond);
BENCHMARK(DispatchOne)->Arg(50)->Arg(450)->Arg(1800);

} // namespace

BENCHMARK_MAIN();
