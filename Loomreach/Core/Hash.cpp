// Hashing by xxHash (XXH3) and rendezvous hashing.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>

#include <xxhash.h>

namespace Loomreach
{

uint64 HashBytes(std::string_view inBytes, uint64 inSeed) { return XXH3_64bits_withSeed(inBytes.data(), inBytes.size(), inSeed); }

uint64 RendezvousWeight(std::string_view inKey, std::string_view inCandidate) { return HashBytes(inKey, HashBytes(inCandidate)); }

std::string_view RendezvousOwner(std::string_view inKey, std::span<const std::string> inCandidates)
{
	std::string_view owner;
	uint64 best = 0;
	for (const std::string &candidate : inCandidates)
	{
		const uint64 weight = RendezvousWeight(inKey, candidate);
		const bool better = owner.empty() || weight > best || (weight == best && candidate < owner);
		if (!better)
			continue;
		owner = candidate;
		best = weight;
	}
	return owner;
}

} // namespace Loomreach
