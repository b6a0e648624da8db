// Invariants that are checked at run time in all builds. Tests abort on the first broken one; a daemon in production counts and logs it and
// continues to serve.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Sets whether a broken invariant aborts the process (tests, soak runs) or is only counted and logged (the default, for production).
void SetInvariantsAbort(bool inAbort);

/// Returns how many times a broken invariant was detected in this process.
uint64 BrokenInvariants();

/// Called by LOOM_INVARIANT when its condition is false.
void OnBrokenInvariant(const char *inCondition, const char *inWhy, const char *inFile, int inLine);

} // namespace Loomreach

/// Checks a condition that must always hold. `inWhy` describes the invariant, for the log.
#define LOOM_INVARIANT(inCondition, inWhy)                                                                                                 \
	do                                                                                                                                     \
	{                                                                                                                                      \
		if (!(inCondition)) [[unlikely]]                                                                                                   \
			::Loomreach::OnBrokenInvariant(#inCondition, inWhy, __FILE__, __LINE__);                                                       \
	} while (false)
