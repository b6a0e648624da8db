// A cell with one worker that tests drive order by order, to play incarnations of the worker exactly.

#pragma once

#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/WorkerToken.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// A cell with one worker, driven step by step.
class IncarnationHarness
{
public:
	IncarnationHarness()
	{
		this->cell.Begin(cTokensPerEpoch, this->now);
		this->ListWorker(1000);
	}

	/// Lists the worker with an incarnation that started then.
	void ListWorker(int64 inStartedMs, bool inDrains = false)
	{
		WorkerEntry entry;
		entry.id = "w";
		entry.pool = "pool";
		entry.address = {"127.0.0.1", 1};
		entry.capacity = {16000, 32768, 0};
		entry.started_ms = inStartedMs;
		entry.draining = inDrains;
		this->cell.SetWorkers({entry}, this->now);
	}
	/// Advances time by 500 ms and returns the due orders.
	std::vector<Order> TakeDueOrders()
	{
		this->now += 500;
		this->cell.Plan(this->now, this->now);
		return this->cell.TakeOrders(this->now);
	}
	OrderAnswer PollAnswer(int64 inStartedMs, Millis inClock) const
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.started_ms = inStartedMs;
		answer.clock_ms = inClock;
		return answer;
	}

	/// Writes what is planned and dispatches it. Returns the number of starts.
	size_t WriteAndDispatch()
	{
		this->now += 500;
		this->cell.Plan(this->now, this->now);
		const std::vector<KeyedRecord> batch = this->cell.TakeBatch(this->now);
		this->written.insert(this->written.end(), batch.begin(), batch.end());
		if (!batch.empty())
			this->cell.OnAppended(this->now);
		const size_t before = this->started.size();
		for (const Order &order : this->cell.TakeOrders(this->now))
			(order.kind == EOrder::Start ? this->started : this->polls).push_back(order);
		return this->started.size() - before;
	}

	/// A cell that takes over from this one with the written records, and waits for no longer lease than its predecessor's.
	Cell Successor() const
	{
		CellTuning tuning;
		tuning.max_lease_ms = tuning.lease_ms;
		Cell successor(tuning);
		for (const KeyedRecord &record : this->written)
			EXPECT_TRUE(successor.Restore(record.key, record.value)) << record.key;
		successor.Begin(2 * cTokensPerEpoch, this->now);
		return successor;
	}

	Cell cell{CellTuning{}};
	Millis now = 1000;
	std::vector<Order> started; ///< Start orders, oldest first.
	std::vector<Order> polls;   ///< Polls that were sent with them.
	std::vector<KeyedRecord> written;
};

} // namespace Loomreach::Jobs
