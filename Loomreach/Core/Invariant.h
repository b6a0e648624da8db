// Invariants asserted inside the program. They are always compiled in: tests abort on the first broken one,
// a daemon in production counts and logs it and goes on serving.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Whether a broken invariant ends the process (tests, soak) or is counted and logged (production, the default).
void SetInvariantsAbort(bool inAbort);

/// How many invariants have been seen broken by this process.
uint64 BrokenInvariants();

/// Called by LOOM_INVARIANT when its condition is false.
void OnBrokenInvariant(const char *inCondition, const char *inWhy, const char *inFile, int inLine);

} // namespace Loomreach

/// States what must always hold. `inWhy` says which promise breaks otherwise.
#define LOOM_INVARIANT(inCondition, inWhy)                                                                                                 \
	do                                                                                                                                     \
	{                                                                                                                                      \
		if (!(inCondition)) [[unlikely]]                                                                                                   \
			::Loomreach::OnBrokenInvariant(#inCondition, inWhy, __FILE__, __LINE__);                                                       \
	} while (false)
