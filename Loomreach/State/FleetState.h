// The accepted state: what every entry host that has read as far in the log agrees on.
// Plain data with the derived figures beside it; only the fold changes it.

#pragma once

#include <Loomreach/State/Records.h>

namespace Loomreach
{

/// Where a host stands between work and maintenance.
enum class EHostPhase : uint8
{
	Active,   ///< Takes work.
	Draining, ///< Takes no new work; what is in flight ends.
	Drained,  ///< Nothing in flight; may go out, move to another pool, or be taken back.
	Out       ///< Handed over for its reboot.
};

/// What has been recorded of a host's health.
enum class EHostHealth : uint8
{
	Unknown, ///< New, or back from maintenance and not yet seen healthy.
	Healthy,
	Failed
};

/// State of a wave.
enum class EWaveState : uint8
{
	Running,
	Paused,
	Cancelled, ///< No new drains; hosts already out still come back.
	Done
};

/// Where a host stands within a wave.
enum class EWaveHost : uint8
{
	Pending,
	Leaving, ///< Drained, out or coming back.
	Done
};

std::string_view NameOfPhase(EHostPhase inPhase);
std::string_view NameOfHealth(EHostHealth inHealth);
std::string_view NameOfWaveState(EWaveState inState);

/// A host as accepted.
struct Host
{
	HostSpec spec;
	std::string pool; ///< The one pool that it belongs to.
	EHostPhase phase = EHostPhase::Active;
	EHostHealth health = EHostHealth::Unknown;
	bool quarantined = false;
	LogPosition generation = 0; ///< Position of its last accepted step; the precondition of the next one.
	std::string wave;           ///< Wave of the drain under way.
	uint64 out_boot = 0;        ///< Boot that it showed when it was handed over for its reboot.
	std::string maintained_in;  ///< Last wave that it came back from.
	LogPosition maintained_at = 0;
	std::set<std::string> failed_jobs; ///< Different jobs that failed on it since it was last trusted; at most cMaxBlame.

	// Derived, rebuilt after decoding
	std::set<ReplicaKey> replicas; ///< Invariant: exactly the placements whose host this is.
	Resources used;                ///< Invariant: sum of what these replicas need, as placed.

	/// Counts towards the pool's availability budget.
	bool IsAvailable() const { return this->phase == EHostPhase::Active && this->health == EHostHealth::Healthy && !this->quarantined; }
	/// Capacity not taken by replicas.
	Resources Free() const;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->spec, this->pool, this->phase, this->health, this->quarantined, this->generation, this->wave, this->out_boot,
				  this->maintained_in, this->maintained_at, this->failed_jobs);
	}
};

/// A replica on a host.
struct Placement
{
	std::string host;
	LogPosition generation = 0; ///< Fencing generation: the position of the accepted proposal.
	Resources need;             ///< As declared when it was placed.
	std::string team;
	int64 priority = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->generation, this->need, this->team, this->priority);
	}
};

/// What is remembered of a job between its placements.
struct JobHistory
{
	std::set<uint32> finished;          ///< Batch replicas that ran to their end.
	std::set<std::string> failed_hosts; ///< Different hosts that it failed on; at most cMaxBlame.
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

/// The last proposal of a process that has been folded.
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

/// The membership view: the entry hosts that count.
struct View
{
	uint64 number = 0;
	uint64 resets = 0; ///< How often every holder of some claim range was lost.
	std::map<std::string, Member> members;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->resets, this->members);
	}
};

/// What the settings in force say of a job.
struct JobSpec
{
	std::string path;
	std::string pool;
	bool is_service = true;
	std::string team;
	int64 priority = 0;
	uint32 replicas = 0;
	Resources need;
	int64 run_time_s = 0;
	int64 deadline_ms = 0;
	bool repeatable = true;
	uint32 queue_limit = 0;
	uint32 queue_share = 0;
	bool long_requests = false;
	uint32 retry_budget_percent = 0;
};

/// What the settings in force say of a pool.
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

/// Hosts of a pool, counted.
struct PoolCounts
{
	uint32 hosts = 0;
	uint32 available = 0;

	bool operator==(const PoolCounts &) const = default;
};

constexpr size_t cMaxBlame = 16;
constexpr size_t cMaxWaves = 32;
constexpr size_t cMaxProposers = 4096;
constexpr uint32 cClaimRanges = 64;

/// The accepted state.
class FleetState
{
public:
	// Accepted, in the snapshot
	LogOffset next_offset = 0;        ///< First offset not yet folded.
	LogPosition settings_version = 0; ///< Position of the settings in force. Never goes back.
	SettingsTree settings;
	std::map<std::string, Host> hosts;
	std::map<ReplicaKey, Placement> placements;
	std::map<std::string, JobHistory> history;
	std::map<std::string, Wave> waves;
	std::map<std::string, int64> rolling_started; ///< Pool to the date of its last turn in the rolling plan, s.
	View view;
	std::array<std::set<std::string>, cClaimRanges> claim_holders; ///< Members that hold all claims of a range.
	std::map<std::string, LogPosition> zones_alive;                ///< Last time that a zone of the view said by the log that it lives.
	std::map<uint64, ProposerMark> proposers;                      ///< Incarnation of a proposing process to its last proposal.

	// Derived, rebuilt after decoding and after new settings
	std::map<std::string, JobSpec> jobs;
	std::map<std::string, PoolSpec> pools;
	std::map<std::string, std::string, std::less<>> services; ///< Service name to job path.
	std::map<std::string, int64> team_quota_cpu;              ///< Teams with a quota.
	std::map<std::string, int64> team_used_cpu;
	std::map<std::string, PoolCounts> pool_counts;

	/// Recomputes jobs, pools, services and quotas from the settings.
	void RebuildSettings();
	/// Recomputes everything that is derived.
	void RebuildDerived();
	/// Hosts that must stay available in a pool: its budget.
	uint32 RequiredAvailable(const std::string &inPool) const;
	/// Whether one more available host of the pool may become unavailable by the system's own act.
	bool HasRoomInBudget(const std::string &inPool) const;
	/// Adds or takes a host's share of its pool's counts; called before and after a change to the host.
	void CountHost(const Host &inHost, int inSign);
	/// Attaches a placement to its host and team.
	void Attach(const ReplicaKey &inReplica, const Placement &inPlacement);
	/// Detaches a placement from its host and team.
	void Detach(const ReplicaKey &inReplica, const Placement &inPlacement);
	/// Hash of the accepted state: equal on all that have read as far.
	uint64 Hash() const;
	/// Checks every invariant that ties derived figures to accepted ones. Slow; for tests, soak and after decoding.
	void CheckInvariants() const;
};

/// Encodes the accepted state.
std::string EncodeState(const FleetState &inState);

/// Decodes a state and rebuilds what is derived.
std::optional<FleetState> DecodeState(std::string_view inBytes);

} // namespace Loomreach
