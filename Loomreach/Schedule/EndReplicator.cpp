// Packs run ends into updates that fit into a datagram.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/EndReplicator.h>

namespace Loomreach::Jobs
{

/// Run ends in one update: at about 100 bytes each, half of the largest datagram between hosts.
static constexpr size_t cMaxEnds = 150;
/// The position that the log has reached is sent with the next run ends, or alone after this time.
static constexpr Millis cLoggedUpdateMs = 1000;

void RunEndReplicator::Begin(uint32 inCell, uint64 inEpoch)
{
	this->cell = inCell;
	this->epoch = inEpoch;
}

void RunEndReplicator::Add(const std::string &inWorker, const EndedRun &inRow)
{
	// Ends of other kinds may be lost: the task is started again in any case
	if (inRow.end != ERunEnd::Done && inRow.end != ERunEnd::Failed)
		return;
	const bool fits = !this->pending.empty() && this->pending.back().worker == inWorker && this->pending.back().ended.size() < cMaxEnds;
	if (!fits)
		this->pending.push_back({inWorker, this->epoch, {}});
	this->pending.back().ended.push_back(inRow);
}

std::optional<RunEndsUpdate> RunEndReplicator::TakeUpdate(Millis inNow)
{
	const bool sends_logged = this->logged > this->logged_sent && inNow - this->sent_at >= cLoggedUpdateMs;
	if (this->pending.empty() && !sends_logged)
		return std::nullopt;
	RunEndsUpdate update{this->cell, this->epoch, 0, this->logged, {}};
	size_t end_count = 0;
	size_t report_count = 0;
	while (report_count < this->pending.size() && (report_count == 0 || end_count + this->pending[report_count].ended.size() <= cMaxEnds))
		end_count += this->pending[report_count++].ended.size();
	update.reports.assign(std::make_move_iterator(this->pending.begin()),
						  std::make_move_iterator(this->pending.begin() + static_cast<std::ptrdiff_t>(report_count)));
	this->pending.erase(this->pending.begin(), this->pending.begin() + static_cast<std::ptrdiff_t>(report_count));
	if (report_count > 0)
		update.serial = ++this->serial;
	this->logged_sent = this->logged;
	this->sent_at = inNow;
	return update;
}

void RunEndReplicator::BeginWriting()
{
	// Pending ends get later serials when they are sent, so only the ends sent so far may be reported as logged
	this->to_write = this->serial;
}

} // namespace Loomreach::Jobs
