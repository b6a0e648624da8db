// Small seeded random number generator. There is no global generator: decision logic gets its seed as an input, so that runs can be
// repeated.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// SplitMix64 (Steele, Lea and Flood, 2014); 64-bit state.
class Random
{
public:
	explicit Random(uint64 inSeed) : state(inSeed) {}

	/// Returns the next 64 random bits.
	uint64 Next()
	{
		this->state += 0x9e3779b97f4a7c15ULL;
		uint64 z = this->state;
		z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
		z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
		return z ^ (z >> 31);
	}

	/// Returns a number from 0 to `inBound` - 1; 0 if the bound is 0.
	uint64 Below(uint64 inBound) { return inBound == 0 ? 0 : this->Next() % inBound; }

	/// Returns true with a probability of `inPercent` percent.
	bool Chance(uint64 inPercent) { return this->Below(100) < inPercent; }

private:
	uint64 state;
};

} // namespace Loomreach
