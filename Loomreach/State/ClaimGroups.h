// Assigns ranges of caller-supplied request ids to members of the membership view by rendezvous hashing. The members of a range keep
// its claims (ids bound to the entry host that runs the request) and are in different availability zones, so that a claim survives
// the loss of a zone.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Members that keep the claims of one range; a claim needs the agreement of all of them.
constexpr size_t cClaimGroupSize = 2;

/// Returns the claim range of a service's request id.
uint32 ClaimRangeOf(std::string_view inService, std::string_view inId);

/// Returns the members that keep the claims of a range, greatest weight first. They are in different availability zones unless the view
/// has too few zones.
std::vector<std::string> ClaimGroupOf(const View &inView, uint32 inRange);

} // namespace Loomreach
