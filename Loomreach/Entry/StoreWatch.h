// Whether the store answers this entry host at all, judged by the calls under way. A call into a silent store can only end in doubt, and
// its caller is better told at once that nothing was taken. Pure.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// See the head of the file. It is told only of calls that the store answers at once: none that wait for news.
class StoreWatch
{
public:
	/// A call left.
	void OnSent(Millis inNow);
	/// A call that left at `inSentAt` did what it should.
	void OnAnswered(Millis inSentAt, Millis inNow);
	/// Whether calls have left for so long without any good answer that a further one would hardly get one.
	bool IsSilent(Millis inNow) const;
	/// Whether an answer is late enough to look round for help, though it may come yet.
	bool IsLate(Millis inNow) const;
	/// How long an answer may take before its absence tells something.
	Millis Patience() const;

private:
	static constexpr Millis cLeastPatienceMs = 350;  ///< The users' stores answer within 4 ms; two losses of a packet take 300 ms.
	static constexpr Millis cMostPatienceMs = 1800;  ///< Later than an owner's lease nothing is left to be patient for.
	static constexpr double cPatienceOfAnswer = 3.0; ///< Answers of one store differ by half their mean.
	static constexpr Millis cLateOfPatience = 3;     ///< An answer is late after this part of the patience.
	static constexpr double cAnswerShare = 0.1;      ///< Weight of a sooner answer in the time that answers take; a later one counts whole.

	double answer_ms = 0.0;    ///< How long answers take of late.
	Millis waiting_since = -1; ///< When the first call left that no good answer has followed; -1: every call so far was followed by one.
};

/// Whether the store turns this host alone away. An owner then lets its cells go before its lease is over: nothing could be done in
/// between, and a successor begins half a second sooner. With LetGoBeat: worth +0.019, error 0.012, in 10 pairs of days with trouble.
class TurnedAwayWatch
{
public:
	/// What is known now: whether the store is silent towards this host, and whether others say that it answers them.
	bool Note(bool inSilent, bool inOthersReach, Millis inNow);

private:
	static constexpr Millis cSureMs = 150; ///< So long it must stand: another round of questions to the others (HelperSearch).

	Millis since = -1; ///< Since when both hold; -1: they do not.
};

} // namespace Loomreach::Jobs
