// Tracks the longest lease that a cell's owners may have granted to workers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CellTypes.h>
#include <Loomreach/Schedule/WorkerLeases.h>

namespace Loomreach::Jobs
{

void WorkerLeases::Begin(Millis inOwn, Millis inMost, Millis inNow)
{
	this->own = inOwn;
	this->previous = std::max(inMost, this->logged);
	this->previous_expired_at = inNow + LongestLease(this->previous);
}

std::optional<Millis> WorkerLeases::LeaseToLog(Millis inNow) const
{
	// Until a previous owner's longer lease has expired, a successor must be able to read it
	const Millis wanted = inNow < this->previous_expired_at ? std::max(this->own, this->logged) : this->own;
	if (wanted == this->logged)
		return std::nullopt;
	return wanted;
}

void WorkerLeases::OnLogged()
{
	if (this->writing > 0)
		this->logged = std::exchange(this->writing, 0);
}

} // namespace Loomreach::Jobs
