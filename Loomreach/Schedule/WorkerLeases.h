// Durations of the leases that a cell's owners grant for the runs on workers. A new owner waits for the longest lease that any owner may
// have granted before it starts tasks again, so the cell's log stores that duration. Relying on its own setting, an owner with a shorter
// lease would start tasks whose runs are still going.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Lease durations of the present and the previous owners of a cell. Invariant: no lease is granted that is longer than the logged one,
/// unless none is logged yet.
class WorkerLeases
{
public:
	/// Takes the lease duration stored in the log.
	void Restore(Millis inLogged) { this->logged = inLogged; }
	/// A new owner takes over the cell. `inOwn`: the lease it grants; `inMost`: the longest that owners of its version grant.
	void Begin(Millis inOwn, Millis inMost, Millis inNow);
	/// The longest lease that a worker may hold now.
	Millis LongestGranted(Millis inNow) const
	{
		return inNow < this->previous_expired_at ? std::max(this->previous, this->own) : this->own;
	}
	/// The lease to grant now.
	Millis LeaseToGrant() const { return this->logged > 0 ? std::min(this->own, this->logged) : this->own; }
	/// Whether the log contains a lease duration; logs of earlier versions do not.
	bool IsLogged() const { return this->logged > 0; }
	/// The duration to write to the log, or nothing if the log is up to date.
	std::optional<Millis> LeaseToLog(Millis inNow) const;
	/// An append with this duration has begun.
	void OnWriting(Millis inLease) { this->writing = inLease; }
	/// The append has succeeded.
	void OnLogged();

private:
	Millis own = 0;                 ///< Lease that this owner grants.
	Millis previous = 0;            ///< Longest lease that previous owners may have granted.
	Millis previous_expired_at = 0; ///< When such a lease has certainly expired.
	Millis logged = 0;              ///< Duration in the log; 0: none yet.
	Millis writing = 0;             ///< Duration in the append in progress; 0: none.
};

} // namespace Loomreach::Jobs
