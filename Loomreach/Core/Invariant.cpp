// Counts and logs broken invariants and, in tests, aborts on them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>

#include <atomic>
#include <cstdlib>

namespace Loomreach
{

static std::atomic<bool> sAbort = false;
static std::atomic<uint64> sBroken = 0;

void SetInvariantsAbort(bool inAbort) { sAbort = inAbort; }

uint64 BrokenInvariants() { return sBroken; }

void OnBrokenInvariant(const char *inCondition, const char *inWhy, const char *inFile, int inLine)
{
	++sBroken;
	LogEvent(ELogLevel::Error, "invariant_broken")
		.Field("condition", inCondition)
		.Field("why", inWhy)
		.Field("file", inFile)
		.Field("line", inLine);
	if (sAbort)
		std::abort();
}

} // namespace Loomreach
