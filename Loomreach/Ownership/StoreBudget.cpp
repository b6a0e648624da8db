// Shares out the store's limits.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/StoreBudget.h>

namespace Loomreach::Jobs
{

static constexpr int64 cPercent = 100;
static constexpr int64 cMillisPerSecond = 1000;
static constexpr int64 cBytesPerKb = 1000;

/// How long an amount takes with the share of a limit per second.
static Millis TimeFor(int64 inAmount, int64 inPerSecond, int64 inShare)
{
	const int64 allowed = std::max<int64>(inPerSecond * inShare / cPercent, 1);
	return inAmount * cMillisPerSecond / allowed;
}

Millis StoreBudget::RoundGap(size_t inHosts, uint32 inCalls) const
{
	return TimeFor(static_cast<int64>(inHosts) * inCalls, this->limits.reads_per_s, cShare);
}

Millis StoreBudget::Spread(size_t inHosts, size_t inBytes) const
{
	return TimeFor(static_cast<int64>(inHosts * inBytes), this->limits.read_kb_per_s * cBytesPerKb, cShare);
}

} // namespace Loomreach::Jobs
