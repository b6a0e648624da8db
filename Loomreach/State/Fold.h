// The fold: one pure function that takes records in log order and accepts or rejects each proposal at its place.
// All safety of the control side rests on it; leases and stewards only save work.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// What became of one proposal.
struct Verdict
{
	ProposalId id;
	EProposal kind = EProposal::Count;
	LogPosition position = 0;
	EError error = EError::None; ///< None: accepted.
	std::string detail;

	bool Accepted() const { return this->error == EError::None; }
};

/// Folds one proposal at its position.
Verdict FoldProposal(FleetState &ioState, LogPosition inPosition, const Proposal &inProposal);

/// Folds the record at the state's next offset. A record that can't be decoded is skipped by everyone alike, with one verdict that says
/// why.
std::vector<Verdict> FoldRecord(FleetState &ioState, LogOffset inOffset, std::string_view inRecord);

} // namespace Loomreach
