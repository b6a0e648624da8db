// The longest lease that workers may have of a cell's owners.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CellTypes.h>
#include <Loomreach/Schedule/WorkerLeases.h>

namespace Loomreach::Jobs
{

void WorkerLeases::Begin(Millis inOwn, Millis inMost, Millis inNow)
{
	this->own = inOwn;
	this->former = std::max(inMost, this->logged);
	this->former_over_at = inNow + LongestLease(this->former);
}

std::optional<Millis> WorkerLeases::ToLog(Millis inNow) const
{
	// A former owner's longer lease counts for the next one until it is over
	const Millis wanted = inNow < this->former_over_at ? std::max(this->own, this->logged) : this->own;
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
