// Tracks the response times of one address, to detect kept connections that have become unresponsive. Pure: the caller passes the time.
//
// A connection may become unresponsive for good while new ones work. It is detected by an answer over a kept connection that is overdue by
// the typical response time of the address. All kept connections of that age are then closed, not only the one that the call used. A server
// that has become slow also triggers this, once or twice, until the typical response time has adapted.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Response times of one address, and the answers that are expected from it.
class ResponseTimeTracker
{
public:
	/// Identifies a call in flight.
	using Key = const void *;

	/// A call is sent over a kept connection; the server may delay its answer by up to `inWaitMs`.
	void OnSent(Key inCall, Millis inWaitMs, Millis inNow);
	/// A call without a wait was answered, `inTookMs` after it was sent.
	void OnAnswered(Millis inTookMs);
	/// A call has ended, with an answer or without.
	void OnFinished(Key inCall);
	/// Whether the answer to a call is expected over a kept connection, and no connections were closed since the call was sent.
	bool IsExpected(Key inCall) const;
	/// When the first of the expected answers becomes overdue; nothing if none is expected.
	std::optional<Millis> OverdueAt() const;
	/// The kept connections have just been closed: calls sent before say nothing about the connections that are open now. Until answers
	/// arrive again, the next ones get twice the time, so that a server that is only slow does not get more and more repeated calls.
	void OnConnectionsClosed();

private:
	/// Time after which an answer is overdue, ms.
	Millis AnswerTimeout() const;

	double typical_ms = 0.0; ///< Response time, as a moving average.
	/// When the answers to calls over kept connections become overdue. A short list, as the connections to an address are limited in
	/// number.
	std::vector<std::pair<Millis, Key>> expected;
};

} // namespace Loomreach
