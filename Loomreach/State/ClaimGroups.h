// Which members of a view guard which callers' own request ids: rendezvous over the view, members in different availability zones.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Members that guard one id; a claim needs the word of all of them.
constexpr size_t cClaimGroupSize = 2;

/// The range that an id falls into.
uint32 ClaimRangeOf(std::string_view inService, std::string_view inId);

/// The members that guard a range, greatest weight first, in different availability zones as far as there are any.
std::vector<std::string> ClaimGroupOf(const View &inView, uint32 inRange);

} // namespace Loomreach
