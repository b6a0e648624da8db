// How long a host waits for the reply to a datagram before it sends the datagram again. As in TCP (RFC 6298), the time follows from the
// round trips that were measured: over a link with a queue, repeats after a fixed time would lengthen the queue that delays the replies.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Round trips to one host. Pure.
class RoundTrip
{
public:
	/// Shortest repeat time; a round trip between zones takes 2 ms on an idle link.
	static constexpr Millis cMinRepeatMs = 60;

	/// Call with the time from a datagram to the reply to it. The time to the reply to a repeat of it must not be passed.
	void OnMeasured(Millis inRoundTripMs);
	/// Time without a reply after which a datagram counts as lost.
	Millis RepeatAfterMs() const;

private:
	double mean_ms = -1.0;     ///< Weighted mean; -1: nothing was measured yet.
	double deviation_ms = 0.0; ///< Weighted mean of the deviations from it.
};

} // namespace Loomreach
