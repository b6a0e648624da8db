// Computes the intervals at which entry hosts may use the store.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/StoreBudget.h>

namespace Loomreach::Jobs
{

static constexpr int64 cPercent = 100;
static constexpr int64 cMillisPerSecond = 1000;
static constexpr int64 cBytesPerKb = 1000;

/// Time that an amount takes, ms, at `inShare` percent of a limit per second.
static Millis TimeFor(int64 inAmount, int64 inPerSecond, int64 inShare)
{
	const int64 allowed = std::max<int64>(inPerSecond * inShare / cPercent, 1);
	return inAmount * cMillisPerSecond / allowed;
}

Millis StoreBudget::RoundInterval(size_t inHosts, uint32 inCalls) const
{
	return TimeFor(static_cast<int64>(inHosts) * inCalls, this->limits.reads_per_s, cSharePercent);
}

Millis StoreBudget::SpreadTime(size_t inHosts, size_t inBytes) const
{
	return TimeFor(static_cast<int64>(inHosts * inBytes), this->limits.read_kb_per_s * cBytesPerKb, cSharePercent);
}

} // namespace Loomreach::Jobs
