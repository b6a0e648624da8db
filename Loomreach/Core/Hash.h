// Hashing by xxHash, and rendezvous hashing, by which all entry hosts choose the same owner of a key without communication.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Returns a 64-bit hash of bytes, equal on all machines.
uint64 HashBytes(std::string_view inBytes, uint64 inSeed = 0);

/// Returns the rendezvous weight of a candidate for a key. The candidate with the greatest weight owns the key.
uint64 RendezvousWeight(std::string_view inKey, std::string_view inCandidate);

/// Returns the candidate that owns a key, or an empty view if there are no candidates. The order of the candidates does not matter.
std::string_view RendezvousOwner(std::string_view inKey, std::span<const std::string> inCandidates);

} // namespace Loomreach
