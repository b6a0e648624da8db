// Derived members, encoding and invariants of the replicated state.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/Codec.h>
#include <Loomreach/State/Envelope.h>
#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

static constexpr uint8 cStateVersion = 1;
static constexpr size_t cMaxStateBytes = 256U << 20;

static constexpr std::array<EnumName<EHostPhase>, 4> cPhaseNames = {{
	{EHostPhase::Active, "active"},
	{EHostPhase::Draining, "draining"},
	{EHostPhase::Drained, "drained"},
	{EHostPhase::Out, "out"},
}};

static constexpr std::array<EnumName<EHostHealth>, 3> cHealthNames = {{
	{EHostHealth::Unknown, "unknown"},
	{EHostHealth::Healthy, "healthy"},
	{EHostHealth::Failed, "failed"},
}};

static constexpr std::array<EnumName<EWaveState>, 4> cWaveStateNames = {{
	{EWaveState::Running, "running"},
	{EWaveState::Paused, "paused"},
	{EWaveState::Cancelled, "cancelled"},
	{EWaveState::Done, "done"},
}};

std::string_view NameOfPhase(EHostPhase inPhase) { return NameOf(cPhaseNames, inPhase); }
std::string_view NameOfHealth(EHostHealth inHealth) { return NameOf(cHealthNames, inHealth); }
std::string_view NameOfWaveState(EWaveState inState) { return NameOf(cWaveStateNames, inState); }

Resources Host::Free() const
{
	Resources free = this->spec.capacity;
	free -= this->used;
	return free;
}

static JobSpec JobSpecOf(const SettingsTree &inTree, const SettingsNode &inNode)
{
	const std::string &path = inNode.path;
	JobSpec job;
	job.path = path;
	job.pool = std::string(ParentPath(path));
	job.is_service = inTree.Word(path, ESetting::Kind) == "service";
	job.team = inTree.Word(path, ESetting::Team);
	job.priority = inTree.Number(path, ESetting::Priority);
	job.replicas = static_cast<uint32>(inTree.Number(path, ESetting::Replicas));
	job.requested = {inTree.Number(path, ESetting::CpuMilli), inTree.Number(path, ESetting::MemoryMb),
					 inTree.Number(path, ESetting::Accelerators)};
	job.run_time_s = inTree.Number(path, ESetting::RunTimeS);
	job.deadline_ms = inTree.Number(path, ESetting::DeadlineMs);
	job.repeatable = inTree.Number(path, ESetting::Repeatable) != 0;
	job.queue_limit = static_cast<uint32>(inTree.Number(path, ESetting::QueueLimit));
	job.queue_share = static_cast<uint32>(inTree.Number(path, ESetting::QueueShare));
	job.long_requests = inTree.Number(path, ESetting::LongRequests) != 0;
	job.retry_budget_percent = static_cast<uint32>(inTree.Number(path, ESetting::RetryBudgetPercent));
	return job;
}

static PoolSpec PoolSpecOf(const SettingsTree &inTree, const SettingsNode &inNode)
{
	const std::string &path = inNode.path;
	PoolSpec pool;
	pool.path = path;
	pool.min_available_percent = inTree.Number(path, ESetting::MinAvailablePercent);
	pool.buffer_percent = inTree.Number(path, ESetting::BufferPercent);
	pool.wave_width = static_cast<uint32>(inTree.Number(path, ESetting::WaveWidth));
	pool.maintain_every_days = inTree.Number(path, ESetting::MaintainEveryDays);
	pool.reboot_s = inTree.Number(path, ESetting::RebootS);
	pool.weight_moves = inTree.Number(path, ESetting::WeightMoves);
	pool.weight_buffer = inTree.Number(path, ESetting::WeightBuffer);
	return pool;
}

void FleetState::RebuildSettings()
{
	this->jobs.clear();
	this->pools.clear();
	this->services.clear();
	this->team_quota_cpu.clear();
	for (const SettingsNode &node : this->settings.Nodes())
	{
		if (node.kind == ENodeKind::Pool)
			this->pools.emplace(node.path, PoolSpecOf(this->settings, node));
		if (node.kind != ENodeKind::Job)
			continue;
		JobSpec job = JobSpecOf(this->settings, node);
		// A team's quota is the greatest that applies to any of its jobs
		const int64 quota = this->settings.Number(node.path, ESetting::QuotaCpuMilli);
		if (quota > 0)
		{
			int64 &team_quota = this->team_quota_cpu[job.team];
			team_quota = std::max(team_quota, quota);
		}
		if (job.is_service)
			this->services.emplace(LeafName(node.path), node.path);
		this->jobs.emplace(node.path, std::move(job));
	}
}

void FleetState::RebuildDerived()
{
	this->RebuildSettings();
	this->pool_counts.clear();
	this->team_used_cpu.clear();
	for (auto &[name, host] : this->hosts)
	{
		host.replicas.clear();
		host.used = {};
		this->CountHost(host, 1);
	}
	for (const auto &[replica, placement] : this->placements)
		this->Attach(replica, placement);
}

uint32 FleetState::RequiredAvailable(const std::string &inPool) const
{
	auto pool = this->pools.find(inPool);
	auto counts = this->pool_counts.find(inPool);
	if (pool == this->pools.end() || counts == this->pool_counts.end())
		return 0;
	const int64 product = pool->second.min_available_percent * counts->second.hosts;
	return static_cast<uint32>((product + 99) / 100);
}

bool FleetState::HasRoomInBudget(const std::string &inPool) const
{
	auto counts = this->pool_counts.find(inPool);
	return counts != this->pool_counts.end() && counts->second.available > this->RequiredAvailable(inPool);
}

void FleetState::CountHost(const Host &inHost, int inSign)
{
	PoolCounts &counts = this->pool_counts[inHost.pool];
	counts.hosts += static_cast<uint32>(inSign);
	if (inHost.IsAvailable())
		counts.available += static_cast<uint32>(inSign);
	if (counts.hosts == 0)
		this->pool_counts.erase(inHost.pool);
}

void FleetState::Attach(const ReplicaKey &inReplica, const Placement &inPlacement)
{
	auto host = this->hosts.find(inPlacement.host);
	LOOM_INVARIANT(host != this->hosts.end(), "a placement is on a known host");
	if (host == this->hosts.end())
		return;
	host->second.replicas.insert(inReplica);
	host->second.used += inPlacement.requested;
	this->team_used_cpu[inPlacement.team] += inPlacement.requested.cpu_milli;
}

void FleetState::Detach(const ReplicaKey &inReplica, const Placement &inPlacement)
{
	auto host = this->hosts.find(inPlacement.host);
	LOOM_INVARIANT(host != this->hosts.end(), "a placement is on a known host");
	if (host == this->hosts.end())
		return;
	host->second.replicas.erase(inReplica);
	host->second.used -= inPlacement.requested;
	auto used = this->team_used_cpu.find(inPlacement.team);
	used->second -= inPlacement.requested.cpu_milli;
	if (used->second == 0)
		this->team_used_cpu.erase(used);
}

uint64 FleetState::Hash() const { return HashBytes(EncodeState(*this)); }

void FleetState::CheckInvariants() const
{
	FleetState rebuilt = *this;
	rebuilt.RebuildDerived();
	LOOM_INVARIANT(rebuilt.pool_counts == this->pool_counts, "pool counts follow from the hosts");
	LOOM_INVARIANT(rebuilt.team_used_cpu == this->team_used_cpu, "team usage follows from the placements");
	for (const auto &[name, host] : this->hosts)
	{
		const Host &expected = rebuilt.hosts.find(name)->second;
		LOOM_INVARIANT(expected.replicas == host.replicas && expected.used == host.used, "a host's replicas follow from the placements");
		LOOM_INVARIANT(host.used.FitsInto(host.spec.capacity), "a host's replicas take no more than its capacity");
		LOOM_INVARIANT(host.phase == EHostPhase::Active || host.phase == EHostPhase::Draining || host.replicas.empty(),
					   "a host that is drained or out of service has no replica");
		LOOM_INVARIANT(this->pools.count(host.pool) == 1, "each host belongs to one configured pool");
	}
	for (const auto &[team, quota] : this->team_quota_cpu)
		LOOM_INVARIANT(quota > 0, "a quota in force is positive");
}

namespace
{

/// The replicated members of the state in the order of their encoding.
struct EncodedState
{
	LogOffset next_offset = 0;
	LogPosition settings_version = 0;
	std::vector<SettingsNode> nodes;
	std::map<std::string, Host> hosts;
	std::map<ReplicaKey, Placement> placements;
	std::map<std::string, JobHistory> history;
	std::map<std::string, Wave> waves;
	std::map<std::string, int64> rolling_started;
	View view;
	std::vector<std::set<std::string>> claim_holders;
	std::map<std::string, LogPosition> zones_alive;
	std::map<uint64, ProposerMark> proposers;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->next_offset, this->settings_version, this->nodes, this->hosts, this->placements, this->history, this->waves,
				  this->rolling_started, this->view, this->claim_holders, this->zones_alive, this->proposers);
	}
};

} // namespace

std::string EncodeState(const FleetState &inState)
{
	const EncodedState encoded{
		inState.next_offset,
		inState.settings_version,
		inState.settings.Nodes(),
		inState.hosts,
		inState.placements,
		inState.history,
		inState.waves,
		inState.rolling_started,
		inState.view,
		std::vector<std::set<std::string>>(inState.claim_holders.begin(), inState.claim_holders.end()),
		inState.zones_alive,
		inState.proposers,
	};
	return SealEnvelope(EEnvelope::Snapshot, cStateVersion, EncodeValue(encoded));
}

std::optional<FleetState> DecodeState(std::string_view inBytes)
{
	const std::optional<std::string_view> bytes = OpenEnvelope(EEnvelope::Snapshot, cStateVersion, cMaxStateBytes, inBytes);
	if (!bytes.has_value())
		return std::nullopt;
	std::optional<EncodedState> encoded = DecodeValue<EncodedState>(*bytes);
	if (!encoded.has_value())
		return std::nullopt;
	std::optional<SettingsTree> tree = SettingsTree::FromNodes(std::move(encoded->nodes));
	if (!tree.has_value() || encoded->claim_holders.size() != cClaimRanges)
		return Fail(EError::Corrupt, "the settings or claim ranges of the snapshot are malformed");
	FleetState state;
	state.next_offset = encoded->next_offset;
	state.settings_version = encoded->settings_version;
	state.settings = std::move(*tree);
	state.hosts = std::move(encoded->hosts);
	state.placements = std::move(encoded->placements);
	state.history = std::move(encoded->history);
	state.waves = std::move(encoded->waves);
	state.rolling_started = std::move(encoded->rolling_started);
	state.view = std::move(encoded->view);
	std::move(encoded->claim_holders.begin(), encoded->claim_holders.end(), state.claim_holders.begin());
	state.zones_alive = std::move(encoded->zones_alive);
	state.proposers = std::move(encoded->proposers);
	for (const auto &[replica, placement] : state.placements)
		if (state.hosts.count(placement.host) == 0)
			return Fail(EError::Corrupt, "a placement is on a host that is not in the snapshot");
	state.RebuildDerived();
	return state;
}

} // namespace Loomreach
