// Packs ends into updates that fit a datagram.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/EndReplicator.h>

namespace Loomreach::Jobs
{

/// Ends in one update: at some 100 bytes each, half of what a datagram between hosts may hold.
static constexpr size_t cMostRows = 150;
/// What the log holds is told with the next ends, or by itself after this.
static constexpr Millis cReleaseMs = 1000;

void EndReplicator::Begin(uint32 inCell, uint64 inEpoch)
{
	this->cell = inCell;
	this->epoch = inEpoch;
}

void EndReplicator::Note(const std::string &inWorker, const EndedRow &inRow)
{
	// The others change nothing that must not be lost: the task is started again in any case
	if (inRow.end != ERunEnd::Done && inRow.end != ERunEnd::Failed)
		return;
	const bool fits = !this->noted.empty() && this->noted.back().worker == inWorker && this->noted.back().ended.size() < cMostRows;
	if (!fits)
		this->noted.push_back({inWorker, this->epoch, {}});
	this->noted.back().ended.push_back(inRow);
}

std::optional<EndsUpdate> EndReplicator::Take(Millis inNow)
{
	const bool releases = this->logged > this->logged_told && inNow - this->told_at >= cReleaseMs;
	if (this->noted.empty() && !releases)
		return std::nullopt;
	EndsUpdate update{this->cell, this->epoch, 0, this->logged, {}};
	size_t rows = 0;
	size_t taken = 0;
	while (taken < this->noted.size() && (taken == 0 || rows + this->noted[taken].ended.size() <= cMostRows))
		rows += this->noted[taken++].ended.size();
	update.reports.assign(std::make_move_iterator(this->noted.begin()),
						  std::make_move_iterator(this->noted.begin() + static_cast<std::ptrdiff_t>(taken)));
	this->noted.erase(this->noted.begin(), this->noted.begin() + static_cast<std::ptrdiff_t>(taken));
	if (taken > 0)
		update.serial = ++this->serial;
	this->logged_told = this->logged;
	this->told_at = inNow;
	return update;
}

void EndReplicator::BeginWriting()
{
	// What was noted and not told yet gets the next serials: only what is told already is known to be covered
	this->to_write = this->serial;
}

} // namespace Loomreach::Jobs
