// Hashing by xxHash: state hashes, and rendezvous hashing, by which every entry host picks the same owner for a key without asking.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// 64-bit hash of bytes.
uint64 HashBytes(std::string_view inBytes, uint64 inSeed = 0);

/// Rendezvous weight of a candidate for a key: the candidate with the greatest weight owns the key.
uint64 RendezvousWeight(std::string_view inKey, std::string_view inCandidate);

/// The candidate that owns a key, or an empty view when there are no candidates. Independent of the order of the candidates.
std::string_view RendezvousOwner(std::string_view inKey, std::span<const std::string> inCandidates);

} // namespace Loomreach
