// A small seeded generator. Decisions never draw from a global source: the seed is part of the input, so runs repeat.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// SplitMix64, after Steele, Lea and Flood (2014): 64-bit state, one multiplication chain a draw.
class Random
{
public:
	explicit Random(uint64 inSeed) : state(inSeed) {}

	/// The next 64 random bits.
	uint64 Next()
	{
		this->state += 0x9e3779b97f4a7c15ULL;
		uint64 z = this->state;
		z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
		z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
		return z ^ (z >> 31);
	}

	/// A number below inBound; 0 when the bound is 0.
	uint64 Below(uint64 inBound) { return inBound == 0 ? 0 : this->Next() % inBound; }

	/// True with the given chance in percent.
	bool Chance(uint64 inPercent) { return this->Below(100) < inPercent; }

private:
	uint64 state;
};

} // namespace Loomreach
