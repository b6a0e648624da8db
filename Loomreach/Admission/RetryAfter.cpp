// Seconds for refused callers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/RetryAfter.h>
#include <Loomreach/Core/Hash.h>

namespace Loomreach::Jobs
{

static constexpr Millis cSecondMs = 1000;
static constexpr Millis cMaxWaitS = 10;    ///< A longer estimate is too uncertain to keep a caller away.
static constexpr Millis cLongestStepS = 3; ///< Reached in the third second of an outage.
static constexpr uint64 cSpreadDivisor = 2;

int RetryAfterSeconds(const RetryBasis &inBasis)
{
	Millis seconds = std::min(inBasis.unavailable_ms / cSecondMs + 1, cLongestStepS);
	if (inBasis.expected_wait_ms.has_value())
		seconds = std::clamp<Millis>((*inBasis.expected_wait_ms + cSecondMs - 1) / cSecondMs, 1, cMaxWaitS);
	const bool later = HashBytes(inBasis.id) % cSpreadDivisor == 0;
	return static_cast<int>(seconds + (later ? 1 : 0));
}

} // namespace Loomreach::Jobs
