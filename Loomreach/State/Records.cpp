// Names and encoding of records.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/State/Codec.h>
#include <Loomreach/State/Envelope.h>
#include <Loomreach/State/Records.h>

namespace Loomreach
{

static constexpr uint8 cBatchVersion = 1;

static constexpr std::array<EnumName<EHostStep>, 10> cStepNames = {{
	{EHostStep::Drain, "drain"},
	{EHostStep::Undrain, "undrain"},
	{EHostStep::Drained, "drained"},
	{EHostStep::Out, "out"},
	{EHostStep::Returned, "returned"},
	{EHostStep::Healthy, "healthy"},
	{EHostStep::Failed, "failed"},
	{EHostStep::Quarantine, "quarantine"},
	{EHostStep::Unquarantine, "unquarantine"},
	{EHostStep::Remove, "remove"},
}};

static constexpr std::array<EnumName<EStopReason>, 6> cStopNames = {{
	{EStopReason::Undeclared, "undeclared"},
	{EStopReason::Preempted, "preempted"},
	{EStopReason::HostLost, "host-lost"},
	{EStopReason::Finished, "finished"},
	{EStopReason::JobFailed, "job-failed"},
	{EStopReason::Cancelled, "cancelled"},
}};

static constexpr std::array<EnumName<EWaveAction>, 3> cActionNames = {{
	{EWaveAction::Pause, "pause"},
	{EWaveAction::Resume, "resume"},
	{EWaveAction::Cancel, "cancel"},
}};

static constexpr std::array<EnumName<EProposal>, static_cast<size_t>(EProposal::Count)> cProposalNames = {{
	{EProposal::ApplySettings, "apply-settings"},
	{EProposal::AddHost, "add-host"},
	{EProposal::StepHost, "step-host"},
	{EProposal::MoveHost, "move-host"},
	{EProposal::PlaceReplica, "place-replica"},
	{EProposal::StopReplica, "stop-replica"},
	{EProposal::StartWave, "start-wave"},
	{EProposal::ChangeWave, "change-wave"},
	{EProposal::ChangeView, "change-view"},
	{EProposal::TakeOver, "take-over"},
	{EProposal::ZoneAlive, "zone-alive"},
}};
static_assert(std::variant_size_v<ProposalBody> == static_cast<size_t>(EProposal::Count), "one kind for each alternative of ProposalBody");

Resources &Resources::operator+=(const Resources &inOther)
{
	this->cpu_milli += inOther.cpu_milli;
	this->memory_mb += inOther.memory_mb;
	this->accelerators += inOther.accelerators;
	return *this;
}

Resources &Resources::operator-=(const Resources &inOther)
{
	this->cpu_milli -= inOther.cpu_milli;
	this->memory_mb -= inOther.memory_mb;
	this->accelerators -= inOther.accelerators;
	return *this;
}

bool Resources::FitsInto(const Resources &inCapacity) const
{
	return this->cpu_milli <= inCapacity.cpu_milli && this->memory_mb <= inCapacity.memory_mb &&
		   this->accelerators <= inCapacity.accelerators;
}

std::string_view NameOfStep(EHostStep inStep) { return NameOf(cStepNames, inStep); }
std::string_view NameOfStopReason(EStopReason inReason) { return NameOf(cStopNames, inReason); }
std::string_view NameOfWaveAction(EWaveAction inAction) { return NameOf(cActionNames, inAction); }
std::string_view NameOfProposal(EProposal inKind) { return NameOf(cProposalNames, inKind); }

std::string EncodeBatch(const Batch &inBatch) { return SealEnvelope(EEnvelope::Batch, cBatchVersion, EncodeValue(inBatch)); }

std::optional<Batch> DecodeBatch(std::string_view inBytes)
{
	const std::optional<std::string_view> bytes = OpenEnvelope(EEnvelope::Batch, cBatchVersion, cMaxBatchBytes, inBytes);
	if (!bytes.has_value())
		return std::nullopt;
	std::optional<Batch> batch = DecodeValue<Batch>(*bytes);
	if (batch.has_value() && batch->size() > cMaxProposalsInBatch)
		return Fail(EError::TooLarge, "more than 1024 proposals in a batch");
	return batch;
}

} // namespace Loomreach
