// The replicated state: identical on all entry hosts that have applied the log up to the same offset. Plain data, together with
// values derived from it. It changes only when a proposal from the log is applied.

#pragma once

#include <Loomreach/State/Records.h>

namespace Loomreach
{

/// Phase of a host between service and maintenance.
enum class EHostPhase : uint8
{
	Active,   ///< Accepts work.
	Draining, ///< Accepts no new work; work in flight may finish.
	Drained,  ///< Nothing in flight; may be rebooted, moved to another pool, or returned to service.
	Out       ///< Out of service for its reboot.
};

/// Recorded health of a host.
enum class EHostHealth : uint8
{
	Unknown, ///< New, or back from maintenance and not yet checked.
	Healthy,
	Failed
};

/// State of a maintenance wave.
enum class EWaveState : uint8
{
	Running,
	Paused,
	Cancelled, ///< Starts no more drains; hosts already out of service still return.
	Done
};

/// Progress of a host within a wave.
enum class EWaveHost : uint8
{
	Pending,
	Leaving, ///< Draining, drained, out of service or returning.
	Done
};

std::string_view NameOfPhase(EHostPhase inPhase);
std::string_view NameOfHealth(EHostHealth inHealth);
std::string_view NameOfWaveState(EWaveState inState);

/// A host of the fleet.
struct Host
{
	HostSpec spec;
	std::string pool; ///< Path of its pool; a host belongs to exactly one.
	EHostPhase phase = EHostPhase::Active;
	EHostHealth health = EHostHealth::Unknown;
	bool quarantined = false;
	LogPosition generation = 0;    ///< Log position of its last accepted step; precondition of the next one.
	std::string wave;              ///< Wave that the present drain belongs to.
	uint64 boot_before_reboot = 0; ///< Boot id when it was taken out of service; another one shows that it has rebooted.
	std::string maintained_in;     ///< Last wave that it has completed.
	LogPosition maintained_at = 0;
	std::set<std::string> failed_jobs; ///< Distinct jobs that failed on it since its last release from quarantine; bounded.

	// Derived; rebuilt after decoding
	std::set<ReplicaKey> replicas; ///< Invariant: exactly the replicas placed on this host.
	Resources used;                ///< Invariant: sum of the resources requested by these replicas when they were placed.

	/// Whether the host counts as available in its pool's availability budget.
	bool IsAvailable() const { return this->phase == EHostPhase::Active && this->health == EHostHealth::Healthy && !this->quarantined; }
	/// Capacity not used by replicas.
	Resources Free() const;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->spec, this->pool, this->phase, this->health, this->quarantined, this->generation, this->wave,
				  this->boot_before_reboot, this->maintained_in, this->maintained_at, this->failed_jobs);
	}
};

/// Assignment of a replica to a host.
struct Placement
{
	std::string host;
	LogPosition generation = 0; ///< Fencing generation: log position of the proposal that placed it.
	Resources requested;        ///< Requested resources, as configured when it was placed.
	std::string team;
	int64 priority = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->generation, this->requested, this->team, this->priority);
	}
};

/// History of a job across its placements.
struct JobHistory
{
	std::set<uint32> finished;          ///< Batch replicas that ran to completion.
	std::set<std::string> failed_hosts; ///< Distinct hosts that it failed on; bounded.
	LogPosition last_failure = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->finished, this->failed_hosts, this->last_failure);
	}
};

/// A maintenance wave.
struct Wave
{
	std::string name;
	EWaveState state = EWaveState::Running;
	LogPosition started = 0;
	std::map<std::string, EWaveHost> hosts;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->state, this->started, this->hosts);
	}
};

/// Last applied proposal of a process.
struct ProposerMark
{
	LogPosition position = 0;
	uint64 sequence = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->position, this->sequence);
	}
};

/// Membership view: the entry hosts that take part in the cluster.
struct View
{
	uint64 number = 0;
	uint64 resets = 0; ///< Number of times that all holders of some claim range were lost.
	std::map<std::string, Member> members;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->resets, this->members);
	}
};

/// Effective settings of a job.
struct JobSpec
{
	std::string path;
	std::string pool;
	bool is_service = true;
	std::string team;
	int64 priority = 0;
	uint32 replicas = 0;
	Resources requested;
	int64 run_time_s = 0;
	int64 deadline_ms = 0;
	bool repeatable = true;
	uint32 queue_limit = 0;
	uint32 queue_share = 0;
	bool long_requests = false;
	uint32 retry_budget_percent = 0;
};

/// Effective settings of a pool.
struct PoolSpec
{
	std::string path;
	int64 min_available_percent = 0;
	int64 buffer_percent = 0;
	uint32 wave_width = 0;
	int64 reboot_s = 0;
	int64 maintain_every_days = 0;
	int64 weight_moves = 0;
	int64 weight_buffer = 0;
};

/// Number of hosts of a pool.
struct PoolCounts
{
	uint32 hosts = 0;
	uint32 available = 0;

	bool operator==(const PoolCounts &) const = default;
};

constexpr size_t cMaxFailureEntries = 16; ///< Bound of `Host::failed_jobs` and `JobHistory::failed_hosts`.
constexpr size_t cMaxWaves = 32;
constexpr size_t cMaxProposers = 4096;
constexpr uint32 cClaimRanges = 64;

/// The replicated state.
class FleetState
{
public:
	// Replicated; part of the snapshot
	LogOffset next_offset = 0;        ///< First offset not yet applied.
	LogPosition settings_version = 0; ///< Log position of the settings in force. Never decreases.
	SettingsTree settings;
	std::map<std::string, Host> hosts;
	std::map<ReplicaKey, Placement> placements;
	std::map<std::string, JobHistory> history;
	std::map<std::string, Wave> waves;
	std::map<std::string, int64> rolling_started; ///< Date of each pool's last turn in the rolling maintenance plan, seconds since 1970.
	View view;
	std::array<std::set<std::string>, cClaimRanges> claim_holders; ///< Members that have all claims of a range.
	std::map<std::string, LogPosition> zones_alive;                ///< Position of each zone's last log heartbeat.
	std::map<uint64, ProposerMark> proposers;                      ///< By incarnation of the proposing process.

	// Derived; rebuilt after decoding and after a change of settings
	std::map<std::string, JobSpec> jobs;
	std::map<std::string, PoolSpec> pools;
	std::map<std::string, std::string, std::less<>> services; ///< Job path by service name.
	std::map<std::string, int64> team_quota_cpu;              ///< Only teams that have a quota.
	std::map<std::string, int64> team_used_cpu;
	std::map<std::string, PoolCounts> pool_counts;

	/// Recomputes jobs, pools, services and quotas from the settings.
	void RebuildSettings();
	/// Recomputes all derived members.
	void RebuildDerived();
	/// Number of hosts that must stay available in a pool: its availability budget.
	uint32 RequiredAvailable(const std::string &inPool) const;
	/// Whether the system may make one more available host of the pool unavailable (voluntary disruption).
	bool HasRoomInBudget(const std::string &inPool) const;
	/// Adds (`inSign` 1) or removes (-1) a host in its pool's counts. A change to a host is made between a removal and an addition.
	void CountHost(const Host &inHost, int inSign);
	/// Adds a placement to the derived members of its host and team.
	void Attach(const ReplicaKey &inReplica, const Placement &inPlacement);
	/// Removes a placement from the derived members of its host and team.
	void Detach(const ReplicaKey &inReplica, const Placement &inPlacement);
	/// Hash of the replicated state: equal on all entry hosts that have applied the log up to the same offset.
	uint64 Hash() const;
	/// Checks that the derived members agree with the replicated ones. Slow; for tests, soak runs and after decoding.
	void CheckInvariants() const;
};

/// Encodes the replicated state.
std::string EncodeState(const FleetState &inState);

/// Decodes a state and rebuilds its derived members. Fails with corrupt if the content is inconsistent.
std::optional<FleetState> DecodeState(std::string_view inBytes);

} // namespace Loomreach
