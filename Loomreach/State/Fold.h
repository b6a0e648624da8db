// Applies records of the replicated log to the state, in log order, and accepts or rejects each proposal at its position. A deterministic
// function without I/O. The safety of the control plane rests on it alone; leases and assigned planners only avoid duplicate work.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Outcome of one proposal.
struct ProposalOutcome
{
	ProposalId id;
	EProposal kind = EProposal::Count;
	LogPosition position = 0;
	EError error = EError::None; ///< `None` if it was accepted.
	std::string detail;

	bool Accepted() const { return this->error == EError::None; }
};

/// Applies one proposal at its log position.
ProposalOutcome ApplyProposal(FleetState &ioState, LogPosition inPosition, const Proposal &inProposal);

/// Applies the record at an offset not yet applied. A record that cannot be decoded changes nothing but the state's offset, on every entry
/// host, and gives one outcome with the reason.
std::vector<ProposalOutcome> ApplyLogRecord(FleetState &ioState, LogOffset inOffset, std::string_view inRecord);

} // namespace Loomreach
