// Fencing tokens of orders to workers. A worker refuses orders with a token lower than the highest it has seen. The epochs of owners are
// far enough apart that an owner has many tokens and can use a higher one for each new incarnation of a worker. The new incarnation, which
// may have the same id, thereby refuses a delayed order that was meant for the previous one.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Number of tokens of one owner.
inline constexpr uint64 cTokensPerEpoch = 1'000'000;

/// Epoch of the owner that follows one with this epoch.
constexpr uint64 NextEpoch(uint64 inEpoch) { return (inEpoch / cTokensPerEpoch + 1) * cTokensPerEpoch; }

/// Token of an owner's orders to an incarnation. `inIncarnation`: number of new incarnations that the owner had seen up to this one.
constexpr uint64 TokenOf(uint64 inEpoch, uint64 inIncarnation) { return inEpoch + std::min(inIncarnation, cTokensPerEpoch - 1); }

/// Epoch of the owner that issued a token.
constexpr uint64 EpochOf(uint64 inToken) { return inToken / cTokensPerEpoch * cTokensPerEpoch; }

} // namespace Loomreach::Jobs
