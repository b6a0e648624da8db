// Log lines on the progress of runs and run ends through a cell: runs dispatched or dropped before dispatch, run ends persisted in the
// cell's log and acknowledged to workers. There is one line for each batch rather than for each task, because an owner starts thousands of
// tasks a second on a small share of a processor.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// Collects the events of a batch and writes them as few log lines. docs/OPERATIONS.md explains how to read them.
class RunEventLog
{
public:
	void Begin(uint32 inCell, uint64 inEpoch);
	uint32 Cell() const { return this->cell; }
	uint64 Epoch() const { return this->epoch; }

	/// A start order is sent to the run's worker.
	void AddDispatched(const RunId &inRun);
	/// A run is dropped that was never dispatched to its worker.
	void AddDropped(const RunId &inRun, std::string_view inWhy);
	/// A poll is sent that acknowledges run ends; the cell's log has contained them for `inPersistedAge`.
	void AddAcknowledged(const std::string &inWorker, uint64 inFrom, uint64 inTo, Millis inPersistedAge);
	/// An append with run ends of a worker was confirmed.
	void AddPersisted(const std::string &inWorker, uint64 inFrom, uint64 inTo);
	/// A worker lists the end of a run that the job records do not contain.
	void AddUnmatched(const EndedRun &inRow, std::string_view inPhase, bool inTaskDone);

	/// Writes the runs dispatched and dropped and the run ends acknowledged.
	void FlushOrders();
	/// Writes the run ends that an append has persisted. `inTook`: time since the batch was taken; `inRecords`: number of records in it.
	void FlushAppend(Millis inTook, size_t inRecords);
	/// Writes the run ends that match no run. `inPollAge`: time since the poll that listed them was sent; 0: a previous
	/// owner submitted them.
	void FlushUnmatched(const std::string &inWorker, Millis inPollAge);

private:
	/// Text of several items and their number.
	struct Items
	{
		std::string text;
		std::string unit; ///< Job, round and step of the last run; the next run may share them.
		size_t count = 0;
	};

	static void AddRun(Items &ioItems, const RunId &inRun);
	static void AddRange(Items &ioItems, const std::string &inWorker, uint64 inFrom, uint64 inTo);
	static bool IsFull(const Items &inItems);
	void FlushDispatched();
	void FlushDropped();
	void FlushAcknowledged();

	uint32 cell = 0;
	uint64 epoch = 0;
	Items dispatched;
	Items dropped;
	std::string dropped_why;
	Items acknowledged;
	Millis acknowledged_age = 0;
	Items persisted;
	uint64 persisted_ends = 0;
	Items unmatched;
};

} // namespace Loomreach::Jobs
