// Detects from the calls in flight that the store does not answer this entry host. The outcome of a call to an unresponsive store would be
// unknown, so it is better to tell the caller immediately that nothing was accepted. No I/O.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// Watches the store. Only calls that the store answers without waiting are reported to it, no long polls.
class StoreWatch
{
public:
	/// A call was sent.
	void OnSent(Millis inNow);
	/// A call sent at `inSentAt` succeeded.
	void OnAnswered(Millis inSentAt, Millis inNow);
	/// The store is slow, and appends to a partition wait for each other: the calls in flight no longer show whether it responds.
	void OnSlow(Millis inNow)
	{
		if (!this->IsUnresponsive(inNow))
			this->unanswered_since = -1;
	}
	/// Whether calls have gone without any success for so long that another one would hardly succeed.
	bool IsUnresponsive(Millis inNow) const;
	/// Whether an answer is late enough to look for helpers, although it may still arrive.
	bool IsLate(Millis inNow) const;
	/// How long calls have gone without any success; 0: none is waited for.
	Millis UnansweredFor(Millis inNow) const { return this->unanswered_since < 0 ? 0 : inNow - this->unanswered_since; }
	/// How long a call may take before the store counts as unresponsive.
	Millis AnswerTimeout() const;

private:
	static constexpr Millis cMinAnswerTimeoutMs = 350;  ///< The store usually answers within 4 ms; two lost packets cost 300 ms.
	static constexpr Millis cMaxAnswerTimeoutMs = 1800; ///< After this an owner's lease is over anyway.
	static constexpr double cTimeoutPerLatency = 3.0;   ///< The answer times of one store vary by half their mean.
	static constexpr Millis cLateDivisor = 3;           ///< An answer is late after the timeout divided by this.
	static constexpr double cLatencyWeight = 0.1;       ///< Weight of a faster answer in the mean latency; a slower one counts in full.

	double latency_ms = 0.0;      ///< Decaying mean of the calls' latency.
	Millis unanswered_since = -1; ///< When the first call was sent since the last success; -1: no call has been sent since.
};

/// Detects that the store does not answer this host while it answers others. An owner then releases its cells before its lease is over: it
/// could not do anything with them, and a successor starts half a second sooner.
class StoreIsolationWatch
{
public:
	/// Takes the current state: whether the store is unresponsive for this host, and whether other hosts say that they reach it. Returns
	/// whether both have held for long enough.
	bool Update(bool inSilent, bool inOthersReach, Millis inNow);

private:
	/// How long both must hold: enough for another round of questions to other hosts (HelperSearch).
	static constexpr Millis cConfirmMs = 150;

	Millis since = -1; ///< When both began to hold; -1: they do not.
};

} // namespace Loomreach::Jobs
