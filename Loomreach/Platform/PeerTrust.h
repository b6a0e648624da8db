// Whether kept connections to one address can be trusted, by how long answers over them take. Pure: time comes in.
//
// A connection may fall silent for good while new ones work. A call over a kept connection whose answer is overdue, by what is usual for
// the address, is the sign: then all kept connections of that age are given up, not only the one that it used. A server that has
// become slow gives the same sign once or twice, until the usual time has followed.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// See the head of the file.
class PeerTrust
{
public:
	/// A call that is under way, of whatever kind.
	using Key = const void *;

	/// A call leaves over a kept connection; the other side may keep its answer back for `inWaitMs`.
	void OnSent(Key inCall, Millis inWaitMs, Millis inNow);
	/// An answer came, `inTookMs` after the call left, to one that did not wait.
	void OnAnswered(Millis inTookMs);
	/// A call is over, whichever way.
	void OnOver(Key inCall);
	/// Whether a call's answer is expected over a kept connection, and none was given up since it left.
	bool IsExpected(Key inCall) const;
	/// When the first answer is overdue; nothing: none is expected.
	std::optional<Millis> OverdueAt() const;
	/// Kept connections have just been given up: what was sent before says nothing about those that are there now. Until answers come
	/// again, the next ones are waited for twice as long: a server that is only slow must not be asked for more and more.
	void OnGivenUp();

private:
	/// How long an answer may take before it is overdue.
	Millis Patience() const;

	double usual_ms = 0.0; ///< How long answers take, a mean that forgets.
	/// Calls over kept connections, and when their answers are overdue. They are a handful: connections to one address are limited.
	std::vector<std::pair<Millis, Key>> expected;
};

} // namespace Loomreach
