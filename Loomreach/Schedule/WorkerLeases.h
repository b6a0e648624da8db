// How long a cell's owners lease workers their runs. A successor waits for the longest lease that any owner may have given, so the log says
// what that is: by its own setting alone an owner with a shorter one would start tasks anew that are still at work.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// See the head of the file. Invariant: no lease is given that is longer than what the log holds, unless it holds nothing yet.
class WorkerLeases
{
public:
	/// What the log holds.
	void Restore(Millis inLogged) { this->logged = inLogged; }
	/// Takes the cell over: this owner gives leases of `inOwn`, and others of its version at most `inMost`.
	void Begin(Millis inOwn, Millis inMost, Millis inNow);
	/// The longest lease that a worker may have now.
	Millis Longest(Millis inNow) const { return inNow < this->former_over_at ? std::max(this->former, this->own) : this->own; }
	/// The lease to give now.
	Millis ToGive() const { return this->logged > 0 ? std::min(this->own, this->logged) : this->own; }
	/// Whether the log holds any lease: those of earlier versions do not.
	bool IsLogged() const { return this->logged > 0; }
	/// What the log should hold, if it does not.
	std::optional<Millis> ToLog(Millis inNow) const;
	/// An append that holds this is under way; it is through.
	void OnWriting(Millis inLease) { this->writing = inLease; }
	void OnLogged();

private:
	Millis own = 0;
	Millis former = 0;         ///< The longest that owners before this one may have given,
	Millis former_over_at = 0; ///< and by when such a lease is over.
	Millis logged = 0;         ///< 0: nothing yet.
	Millis writing = 0;        ///< 0: nothing of it is under way.
};

} // namespace Loomreach::Jobs
