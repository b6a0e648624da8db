// A cell whose workers the test lists and answers for by hand, one step at a time: for cases of several incarnations under one id, and of
// several workers on one host.

#pragma once

#include <Loomreach/Ownership/LogTypes.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class IdentityHarness
{
public:
	IdentityHarness();

	/// A worker of the harness's pool, by its id and the start time of its incarnation.
	static WorkerEntry MakeEntry(const std::string &inId, int64 inStartedMs);
	/// Sets the worker list.
	void ListWorkers(const std::vector<WorkerEntry> &inWorkers);
	/// Submits a job.
	void Submit(const JobSpec &inJob);
	/// Advances time, plans, and takes the due orders, and those that WriteAndDispatch left.
	std::vector<Order> Step(Millis inMillis = 500);
	/// Answers an order on behalf of an incarnation. Its clock starts with it.
	void Answer(const Order &inOrder, int64 inStartedMs, const std::vector<RunningRun> &inRunning = {});
	/// Answers each due poll of a worker on behalf of an incarnation until none is due. Other orders are kept in `starts`.
	void AnswerPolls(const std::string &inWorker, int64 inStartedMs);
	/// Begins an append of what the cell has to write. Returns whether there was any.
	bool BeginAppend();
	/// Ends the append.
	void EndAppend();
	/// Appends, and takes the start orders that follow. Returns their number.
	size_t WriteAndDispatch();
	/// The next owner of the cell, which knows what has been appended.
	Cell Successor(const CellTuning &inTuning) const;

	Cell cell{CellTuning{}};
	Millis now = 1000;
	std::vector<Order> starts; ///< Start orders, oldest first.

private:
	uint64 next_offset = 0;
	std::vector<Order> other_orders;                          ///< Orders but starts that WriteAndDispatch has taken.
	std::vector<KeyedRecord> batch;                           ///< Of the append in flight.
	std::map<std::string, std::string> written;               ///< The log.
	std::map<std::pair<std::string, int64>, Millis> begun_at; ///< When each incarnation was first heard of.
};

} // namespace Loomreach::Jobs
