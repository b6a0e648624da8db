// Detects that one of this host's appends has had no response for several times the usual duration. Checked by a timer while appends are
// in flight, so that a slow store is known before the first response arrives. No I/O.
//
// A process that was paused or starved of processor time has not read responses that arrived meanwhile. A check counts only if it was on
// time, and if the check before it, which gave the main loop time to read responses, was on time as well.

#pragma once

#include <Loomreach/Admission/InboxPaths.h>

#include <cmath>

namespace Loomreach::Jobs
{

/// The appends of this host without a response.
class OpenAppends
{
public:
	/// Outcome of a check.
	struct Verdict
	{
		std::optional<ESlowSign> sign; ///< An append is overdue; each append is reported once.
		Millis waited_ms = 0;          ///< With a sign: how long it has had no response.
		Millis next_check_ms = -1;     ///< Delay until the next check; -1: none is needed until the next append.
	};

	/// `inAppendMs`: usual duration of an append.
	explicit OpenAppends(double inAppendMs) : overdue_ms(static_cast<Millis>(std::ceil(inAppendMs * cOverdueFactor))) {}

	/// An append was sent. Returns its number.
	uint64 Add(ESlowSign inSign, Millis inNow);
	/// An append got its outcome, or is no longer waited for.
	void Remove(uint64 inNumber) { this->open.erase(inNumber); }
	/// Checks the oldest append. `inDueAt`: when this check was due.
	Verdict Check(Millis inDueAt, Millis inNow);
	/// Time without a response after which an append is overdue.
	Millis OverdueAfter() const { return this->overdue_ms; }

private:
	/// An append without a response.
	struct Open
	{
		ESlowSign sign = ESlowSign::InboxAppend;
		Millis sent_at = 0;
	};

	static constexpr double cOverdueFactor = 6.0; ///< A partition that serves a short burst takes up to five appends.
	static constexpr Millis cTimelyMs = 2;        ///< A check that is later than this says that the main loop was busy.
	static constexpr Millis cConfirmMs = 2;       ///< Delay between the two checks that must be on time.

	Millis overdue_ms;
	std::map<uint64, Open> open; ///< By number, so the oldest is first.
	uint64 next_number = 1;
	bool confirmed = false; ///< Whether the previous check found an overdue append and was on time.
};

} // namespace Loomreach::Jobs
