// Records of the replicated log: typed proposals with ids and preconditions, and the batch of proposals that one append writes.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>
#include <Loomreach/Settings/SettingsTree.h>

namespace Loomreach
{

/// Offset of a record in a log stream, assigned by the platform, from 0.
using LogOffset = uint64;

/// Position of one proposal in the log: offset * cMaxProposalsInBatch + index in the batch + 1. 0 means "never".
using LogPosition = uint64;

constexpr uint64 cMaxProposalsInBatch = 1024;
constexpr size_t cMaxBatchBytes = 4U << 20;

constexpr LogPosition PositionAt(LogOffset inOffset, uint64 inIndex) { return inOffset * cMaxProposalsInBatch + inIndex + 1; }

/// Unique id of a proposal: the incarnation of the proposing process and a sequence number that grows by one with each proposal.
struct ProposalId
{
	uint64 incarnation = 0;
	uint64 sequence = 0;

	auto operator<=>(const ProposalId &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->incarnation, this->sequence);
	}
};

/// Processor time (thousandths of a core), memory (MB) and accelerators.
struct Resources
{
	int64 cpu_milli = 0;
	int64 memory_mb = 0;
	int64 accelerators = 0;

	bool operator==(const Resources &) const = default;
	Resources &operator+=(const Resources &inOther);
	Resources &operator-=(const Resources &inOther);
	/// Whether no resource exceeds that of `inCapacity`.
	bool FitsInto(const Resources &inCapacity) const;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cpu_milli, this->memory_mb, this->accelerators);
	}
};

/// Description of a host in the platform's host list.
struct HostSpec
{
	std::string name;
	Address address; ///< Address of the worker's agent and endpoint.
	std::string region;
	std::string availability_zone;
	std::string rack;
	Resources capacity;
	uint32 slots = 0;
	uint32 connections = 0;

	bool operator==(const HostSpec &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->address, this->region, this->availability_zone, this->rack, this->capacity, this->slots,
				  this->connections);
	}
};

/// One replica of a job.
struct ReplicaKey
{
	std::string job; ///< Path of the job's node.
	uint32 index = 0;

	auto operator<=>(const ReplicaKey &) const = default;
	std::string Text() const { return this->job + '#' + std::to_string(this->index); }
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->job, this->index);
	}
};

/// Step of a host's lifecycle that a proposal requests.
enum class EHostStep : uint8
{
	Drain,        ///< Stop accepting new work.
	Undrain,      ///< Return to service before the reboot.
	Drained,      ///< Nothing is in flight, as reported by the endpoint and by every entry host.
	Out,          ///< Taken out of service for its reboot.
	Returned,     ///< Back from its reboot, not yet known to be healthy.
	Healthy,      ///< Health check passed.
	Failed,       ///< Health check failed.
	Quarantine,   ///< Many different jobs failed on it.
	Unquarantine, ///< Release from quarantine.
	Remove        ///< Permanently removed from the host list.
};

/// Reason for stopping a replica.
enum class EStopReason : uint8
{
	Undeclared, ///< No longer in the settings.
	Preempted,  ///< Displaced by a replica of higher priority.
	HostLost,   ///< Its host failed.
	Finished,   ///< A batch replica ran to completion.
	JobFailed,  ///< The task ended with a failure.
	Cancelled   ///< Cancelled by an operator.
};

/// Operator's action on a wave.
enum class EWaveAction : uint8
{
	Pause,
	Resume,
	Cancel
};

/// Name of a step, a reason or an action, for logs and responses.
std::string_view NameOfStep(EHostStep inStep);
std::string_view NameOfStopReason(EStopReason inReason);
std::string_view NameOfWaveAction(EWaveAction inAction);

/// Replaces the whole settings tree. Precondition: `base_version` is the version in force.
struct ApplySettings
{
	LogPosition base_version = 0;
	std::vector<SettingsNode> nodes;
	std::string author;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->base_version, this->nodes, this->author);
	}
};

/// Adds a host to the fleet and to its first pool.
struct AddHost
{
	HostSpec spec;
	std::string pool;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->spec, this->pool);
	}
};

/// Used in place of a wave's name when a host is drained because the platform is about to remove it.
constexpr std::string_view cPlatformDrainWave = "@platform";

/// Takes a host one step through its lifecycle. Precondition: `generation` is the host's present one.
struct StepHost
{
	std::string host;
	EHostStep step = EHostStep::Drain;
	LogPosition generation = 0;
	std::string wave; ///< Wave that the drain belongs to; empty if an operator requested it.
	std::string why;
	uint64 boot = 0; ///< For `Out`: the host's present boot id; a different one shows that it has rebooted.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->step, this->generation, this->wave, this->why, this->boot);
	}
};

/// Moves a drained host to another pool. Precondition: `from_pool` and `generation` are the host's present ones.
struct MoveHost
{
	std::string host;
	std::string from_pool;
	std::string to_pool;
	LogPosition generation = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->from_pool, this->to_pool, this->generation);
	}
};

/// Places a replica on a host. The proposal's log position becomes the placement's fencing generation.
struct PlaceReplica
{
	ReplicaKey replica;
	std::string host;
	LogPosition base_generation = 0; ///< Precondition: generation of the placement to replace; 0 if there is none.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->replica, this->host, this->base_generation);
	}
};

/// Ends a placement. Precondition: `generation` is the placement's present one.
struct StopReplica
{
	ReplicaKey replica;
	LogPosition generation = 0;
	EStopReason reason = EStopReason::Undeclared;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->replica, this->generation, this->reason);
	}
};

/// Starts a maintenance wave over the hosts that match `pool`, `availability_zone` and `rack`; an empty one matches all hosts.
struct StartWave
{
	std::string name;
	std::string pool;
	std::string availability_zone;
	std::string rack;
	int64 rolling_date_s = 0; ///< Date of the pool's turn in the rolling plan, seconds since 1970; 0: started by an operator.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->pool, this->availability_zone, this->rack, this->rolling_date_s);
	}
};

struct ChangeWave
{
	std::string name;
	EWaveAction action = EWaveAction::Pause;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->action);
	}
};

/// An entry host in a membership view.
struct Member
{
	std::string name;
	uint64 incarnation = 0; ///< Drawn at random at each start of the process.
	std::string region;
	std::string availability_zone;
	Address peers;
	Address callers;

	bool operator==(const Member &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->incarnation, this->region, this->availability_zone, this->peers, this->callers);
	}
};

/// Replaces the membership view. Precondition: `base_view` is the number of the present one.
struct ChangeView
{
	uint64 base_view = 0;
	std::vector<Member> members;
	bool reset = false; ///< All holders of some claim range are lost; claims are refused for claim_lease_ms + claim_quiet_ms.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->base_view, this->members, this->reset);
	}
};

/// A member has copied the claims of these ranges and now holds them in the present view.
struct TakeOver
{
	uint64 view = 0;
	std::string member;
	std::vector<uint32> ranges;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->view, this->member, this->ranges);
	}
};

/// Log heartbeat: shows that an availability zone is alive and reaches the platform, although other zones may not hear it over UDP.
struct ZoneAlive
{
	std::string availability_zone;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->availability_zone);
	}
};

/// Content of a proposal.
using ProposalBody = std::variant<ApplySettings, AddHost, StepHost, MoveHost, PlaceReplica, StopReplica, StartWave, ChangeWave, ChangeView,
								  TakeOver, ZoneAlive>;

/// Kinds of proposals, in the order of the alternatives of `ProposalBody`; used for metrics and for priorities in the append queue.
enum class EProposal : uint8
{
	ApplySettings,
	AddHost,
	StepHost,
	MoveHost,
	PlaceReplica,
	StopReplica,
	StartWave,
	ChangeWave,
	ChangeView,
	TakeOver,
	ZoneAlive,
	Count
};

struct Proposal
{
	ProposalId id;
	ProposalBody body;

	EProposal Kind() const { return static_cast<EProposal>(this->body.index()); }
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->body);
	}
};

/// Record written by one append: proposals of one process in the order of their sequence numbers.
using Batch = std::vector<Proposal>;

std::string_view NameOfProposal(EProposal inKind);

/// Encodes a batch in an envelope, with version and hash.
std::string EncodeBatch(const Batch &inBatch);

/// Decodes a batch. Fails if it is truncated, damaged, too long or of an unknown version.
std::optional<Batch> DecodeBatch(std::string_view inBytes);

} // namespace Loomreach
