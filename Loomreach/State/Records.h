// The records that go through the platform's log: typed proposals with ids and preconditions, and the batch that one append carries.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>
#include <Loomreach/Settings/SettingsTree.h>

namespace Loomreach
{

/// Offset of a record in a log stream, counted by the platform from 0.
using LogOffset = uint64;

/// Place of one proposal in the log: offset * cMaxProposalsInBatch + index in the batch + 1. 0 means "never".
using LogPosition = uint64;

constexpr uint64 cMaxProposalsInBatch = 1024;
constexpr size_t cMaxBatchBytes = 4U << 20;

/// Position of a proposal.
constexpr LogPosition PositionAt(LogOffset inOffset, uint64 inIndex) { return inOffset * cMaxProposalsInBatch + inIndex + 1; }

/// Unique id of a proposal: the proposing process and its own count, which grows by one with each proposal.
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
	/// Whether these fit into inRoom.
	bool FitIn(const Resources &inRoom) const;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cpu_milli, this->memory_mb, this->accelerators);
	}
};

/// What the host list says of a host.
struct HostSpec
{
	std::string name;
	Address address; ///< Of the worker's agent and endpoint.
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

/// A step of a host's life that a proposal asks for.
enum class EHostStep : uint8
{
	Drain,        ///< No new work from now on.
	Undrain,      ///< Taken back before the reboot.
	Drained,      ///< Nothing is in flight, by the endpoint's word and every entry host's.
	Out,          ///< Handed over for its reboot.
	Returned,     ///< Back, not yet seen healthy.
	Healthy,      ///< Seen healthy.
	Failed,       ///< Seen failing.
	Quarantine,   ///< Many different jobs fail on it.
	Unquarantine, ///< Trusted again.
	Remove        ///< Gone from the host list for good.
};

/// Why a replica stops.
enum class EStopReason : uint8
{
	Undeclared, ///< The settings no longer ask for it.
	Preempted,  ///< Gives way to a higher priority.
	HostLost,   ///< Its host failed.
	Finished,   ///< A batch replica ran to its end.
	JobFailed,  ///< The task ended with a failure.
	Cancelled   ///< An operator's wish.
};

/// What an operator asks of a wave.
enum class EWaveAction : uint8
{
	Pause,
	Resume,
	Cancel
};

/// Name of a step, a reason or an action, for logs and answers.
std::string_view NameOfStep(EHostStep inStep);
std::string_view NameOfStopReason(EStopReason inReason);
std::string_view NameOfWaveAction(EWaveAction inAction);

/// Replaces the whole settings tree, if base_version is still the one in force.
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

/// Makes a host known and puts it into its first pool.
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

/// Stands for a wave in the drain of a host that the platform itself is about to take away.
constexpr std::string_view cPlatformDrain = "@platform";

/// Takes a host one step further, if its generation is still the one given.
struct StepHost
{
	std::string host;
	EHostStep step = EHostStep::Drain;
	LogPosition generation = 0;
	std::string wave; ///< Wave that the drain belongs to; empty: an operator's own.
	std::string why;
	uint64 boot = 0; ///< With Out: the boot that the host shows now; it has returned when it shows another.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->host, this->step, this->generation, this->wave, this->why, this->boot);
	}
};

/// Moves a drained host to another pool.
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

/// Puts a replica onto a host. The placement's position in the log is its fencing generation.
struct PlaceReplica
{
	ReplicaKey replica;
	std::string host;
	LogPosition base_generation = 0; ///< Generation of the placement that this replaces; 0: there is none.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->replica, this->host, this->base_generation);
	}
};

/// Ends a placement, if its generation is still the one given.
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

/// Starts a maintenance wave over the hosts that match; an empty field matches all.
struct StartWave
{
	std::string name;
	std::string pool;
	std::string availability_zone;
	std::string rack;
	int64 rolling_date_s = 0; ///< Of a pool's turn in the rolling plan, seconds since 1970; 0: an operator's wave.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->pool, this->availability_zone, this->rack, this->rolling_date_s);
	}
};

/// Pauses, resumes or cancels a wave.
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

/// One entry host in a membership view.
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

/// Replaces the membership view, if base_view is still the present one.
struct ChangeView
{
	uint64 base_view = 0;
	std::vector<Member> members;
	bool reset = false; ///< Every holder of some claim range is gone; claims stay refused for the stated time.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->base_view, this->members, this->reset);
	}
};

/// A member has taken over the claims of these ranges for the present view.
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

/// An availability zone that other zones may not hear by UDP tells by the log that it lives and reaches the platform.
struct ZoneAlive
{
	std::string availability_zone;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->availability_zone);
	}
};

/// What a proposal asks for.
using ProposalBody = std::variant<ApplySettings, AddHost, StepHost, MoveHost, PlaceReplica, StopReplica, StartWave, ChangeWave, ChangeView,
								  TakeOver, ZoneAlive>;

/// Kinds of proposals in the order of ProposalBody, for counters and for the priority of the append queue.
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

/// One proposal.
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

/// What one append carries: proposals of one process in the order of their sequence numbers.
using Batch = std::vector<Proposal>;

/// Name of a kind of proposal.
std::string_view NameOfProposal(EProposal inKind);

/// Encodes a batch with its version and a hash over all of it.
std::string EncodeBatch(const Batch &inBatch);

/// Decodes a batch. Nothing when it is cut short, damaged, too long or of an unknown version.
std::optional<Batch> DecodeBatch(std::string_view inBytes);

} // namespace Loomreach
