// Weighted means of round trips, and the repeat time that follows from them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/RoundTrip.h>

namespace Loomreach
{

/// Longest repeat time. Longer round trips are measured while a process is paused, and say nothing about the link.
static constexpr Millis cMaxRepeatMs = 500;
// Weights and factor of RFC 6298
static constexpr double cMeanWeight = 0.125;
static constexpr double cDeviationWeight = 0.25;
static constexpr double cDeviationFactor = 4.0;

void RoundTrip::OnMeasured(Millis inRoundTripMs)
{
	const double measured = static_cast<double>(std::min(inRoundTripMs, cMaxRepeatMs));
	if (this->mean_ms < 0.0)
	{
		this->mean_ms = measured;
		this->deviation_ms = measured / 2;
		return;
	}
	this->deviation_ms += cDeviationWeight * (std::abs(measured - this->mean_ms) - this->deviation_ms);
	this->mean_ms += cMeanWeight * (measured - this->mean_ms);
}

Millis RoundTrip::RepeatAfterMs() const
{
	return std::clamp(static_cast<Millis>(this->mean_ms + cDeviationFactor * this->deviation_ms), cMinRepeatMs, cMaxRepeatMs);
}

} // namespace Loomreach
