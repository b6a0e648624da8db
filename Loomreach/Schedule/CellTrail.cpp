// Formats run and run-end events as log lines, one line for each batch.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/CellTrail.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// Longer lists are split over several lines, because glog truncates a message at 30,000 bytes.
static constexpr size_t cMaxItemBytes = 8000;

void RunEventLog::Begin(uint32 inCell, uint64 inEpoch)
{
	this->cell = inCell;
	this->epoch = inEpoch;
}

bool RunEventLog::IsFull(const Items &inItems) { return inItems.text.size() >= cMaxItemBytes; }

void RunEventLog::AddRun(Items &ioItems, const RunId &inRun)
{
	std::string unit = inRun.task.job + '.' + std::to_string(inRun.task.round) + '.' + std::to_string(inRun.task.step);
	// Runs of one step mostly arrive together, so the step is written once for all of them
	if (unit == ioItems.unit)
		ioItems.text += ',';
	else
	{
		if (!ioItems.text.empty())
			ioItems.text += ' ';
		ioItems.text += unit;
		ioItems.text += ':';
		ioItems.unit = std::move(unit);
	}
	ioItems.text += std::to_string(inRun.task.index);
	ioItems.text += '.';
	ioItems.text += std::to_string(inRun.run);
	++ioItems.count;
}

void RunEventLog::AddRange(Items &ioItems, const std::string &inWorker, uint64 inFrom, uint64 inTo)
{
	if (!ioItems.text.empty())
		ioItems.text += ' ';
	ioItems.text += inWorker;
	ioItems.text += ':';
	ioItems.text += std::to_string(inFrom);
	ioItems.text += '-';
	ioItems.text += std::to_string(inTo);
	++ioItems.count;
}

void RunEventLog::AddDispatched(const RunId &inRun)
{
	AddRun(this->dispatched, inRun);
	if (IsFull(this->dispatched))
		this->FlushDispatched();
}

void RunEventLog::AddDropped(const RunId &inRun, std::string_view inWhy)
{
	if (IsFull(this->dropped) || inWhy != this->dropped_why)
		this->FlushDropped();
	this->dropped_why = inWhy;
	AddRun(this->dropped, inRun);
}

void RunEventLog::AddAcknowledged(const std::string &inWorker, uint64 inFrom, uint64 inTo, Millis inPersistedAge)
{
	this->acknowledged_age = std::max(this->acknowledged_age, inPersistedAge);
	AddRange(this->acknowledged, inWorker, inFrom, inTo);
	if (IsFull(this->acknowledged))
		this->FlushAcknowledged();
}

void RunEventLog::AddPersisted(const std::string &inWorker, uint64 inFrom, uint64 inTo)
{
	AddRange(this->persisted, inWorker, inFrom, inTo);
	this->persisted_ends += inTo - inFrom + 1;
}

void RunEventLog::AddUnmatched(const EndedRun &inRow, std::string_view inPhase, bool inTaskDone)
{
	std::string &text = this->unmatched.text;
	// Ends that no longer fit into the line are only counted
	++this->unmatched.count;
	if (IsFull(this->unmatched))
		return;
	if (!text.empty())
		text += ' ';
	text += TaskText(inRow.task) + '.' + std::to_string(inRow.run) + '#' + std::to_string(inRow.sequence) + ':';
	text += NameOf(cRunEndNames, inRow.end);
	text += '/';
	text += inPhase;
	text += inTaskDone ? "/task-done" : "/task-open";
}

void RunEventLog::FlushDispatched()
{
	if (this->dispatched.count == 0)
		return;
	const Items items = std::exchange(this->dispatched, {});
	LogEvent(ELogLevel::Info, "runs_told")
		.Field("cell", this->cell)
		.Field("epoch", this->epoch)
		.Field("count", items.count)
		.Field("runs", items.text);
}

void RunEventLog::FlushDropped()
{
	if (this->dropped.count == 0)
		return;
	const Items items = std::exchange(this->dropped, {});
	LogEvent(ELogLevel::Info, "runs_dropped")
		.Field("cell", this->cell)
		.Field("epoch", this->epoch)
		.Field("count", items.count)
		.Field("runs", items.text)
		.Field("why", this->dropped_why);
}

void RunEventLog::FlushAcknowledged()
{
	if (this->acknowledged.count == 0)
		return;
	const Items items = std::exchange(this->acknowledged, {});
	LogEvent(ELogLevel::Info, "ends_covered")
		.Field("cell", this->cell)
		.Field("epoch", this->epoch)
		.Field("ends", items.text)
		.Field("logged_ms_ago", std::exchange(this->acknowledged_age, 0));
}

void RunEventLog::FlushOrders()
{
	this->FlushDropped();
	this->FlushDispatched();
	this->FlushAcknowledged();
}

void RunEventLog::FlushAppend(Millis inTook, size_t inRecords)
{
	// Most appends contain no run end
	if (this->persisted.count == 0)
		return;
	const Items items = std::exchange(this->persisted, {});
	LogEvent(ELogLevel::Info, "ends_logged")
		.Field("cell", this->cell)
		.Field("epoch", this->epoch)
		.Field("count", std::exchange(this->persisted_ends, 0))
		.Field("ends", items.text)
		.Field("records", inRecords)
		.Field("took_ms", inTook);
}

void RunEventLog::FlushUnmatched(const std::string &inWorker, Millis inPollAge)
{
	if (this->unmatched.count == 0)
		return;
	const Items items = std::exchange(this->unmatched, {});
	LogEvent(ELogLevel::Info, "ends_unmatched")
		.Field("cell", this->cell)
		.Field("epoch", this->epoch)
		.Field("worker", inWorker)
		.Field("count", items.count)
		.Field("ends", items.text)
		.Field("look_ms", inPollAge);
}

} // namespace Loomreach::Jobs
