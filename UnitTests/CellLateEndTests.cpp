// A successful run end becomes known while another run of its task is being written to the log.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Two workers and one cell, driven step by step: the test determines the answer to every poll and order.
class LateEndHarness
{
public:
	LateEndHarness() : cell(CellTuning{})
	{
		this->cell.Begin(1, this->now);
		std::vector<WorkerEntry> entries(2);
		for (size_t i = 0; i < entries.size(); ++i)
		{
			entries[i].id = "w" + std::to_string(i);
			entries[i].pool = "pool";
			entries[i].address = {"127.0.0.1", 1};
			entries[i].capacity = {16000, 32768, 0};
		}
		this->cell.SetWorkers(entries, this->now);
		this->cell.Ingest({EInbox::Submit, MakeJob("job", 2, 1, 1000, 500)}, 0, this->now, this->now);
	}

	/// Advances time; orders are taken and answered.
	void Advance(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
		{
			this->now += 10;
			this->cell.Plan(this->now, this->now);
			this->AnswerOrders();
			if (this->cell.HasUnwrittenChanges() && !this->writes && !this->cell.TakeBatch(this->now).empty())
				this->writes = true;
			if (this->writes && this->log_answers)
				this->Append();
		}
	}
	/// Completes the append in flight.
	void Append()
	{
		this->writes = false;
		this->cell.OnAppended(this->now);
		this->AnswerOrders();
	}

	Cell cell;
	Millis now = 1000;
	bool log_answers = true;
	bool writes = false;
	std::string unresponsive;    ///< Worker that does not answer.
	std::vector<Order> started;  ///< Start orders, oldest first.
	std::vector<EndedRun> ended; ///< Ends that the worker of the first start order lists.

private:
	/// Runs that were started on a worker and have not ended.
	std::vector<RunningRun> RunningOn(const std::string &inWorker) const
	{
		std::vector<RunningRun> rows;
		for (const Order &order : this->started)
		{
			bool over = order.worker != inWorker;
			for (const EndedRun &row : this->ended)
				over = over || (row.task == order.task && row.run == order.run);
			if (!over)
				rows.push_back({order.task, order.run, "", 0, 0});
		}
		return rows;
	}

	void AnswerOrders()
	{
		for (const Order &order : this->cell.TakeOrders(this->now))
		{
			OrderAnswer answer;
			if (order.kind == EOrder::Start)
				this->started.push_back(order);
			if (order.worker != this->unresponsive)
			{
				answer.result = EOrderResult::Done;
				answer.clock_ms = this->now;
			}
			if (answer.result == EOrderResult::Done && order.kind == EOrder::Poll)
				answer.running = this->RunningOn(order.worker);
			const bool is_first = !this->started.empty() && order.worker == this->started.front().worker;
			if (answer.result == EOrderResult::Done && order.kind == EOrder::Poll && is_first)
				answer.ended = this->ended;
			this->cell.OnAnswer(order, answer, this->now - 5, this->now);
		}
	}
};

} // namespace

TEST(Cell, DispatchesNoRunOfATaskKnownToBeDone)
{
	// A worker was unresponsive until its lease was over, and listed a successful end while the next run of the task was being written.
	// That run was dispatched all the same, 14 ms after the end had been read
	LateEndHarness harness;
	harness.Advance(200);
	ASSERT_EQ(harness.started.size(), 1u);
	harness.unresponsive = harness.started.front().worker;
	harness.Advance(4000);
	harness.log_answers = false;
	harness.Advance(1000);
	ASSERT_TRUE(harness.writes);
	harness.ended = {{1, {"job", 0, 0, 0}, 1, ERunEnd::Done, ""}};
	harness.unresponsive.clear();
	harness.Advance(500);
	harness.Append();
	harness.log_answers = true;
	harness.Advance(200);
	// Only the next step begins
	ASSERT_EQ(harness.started.size(), 2u);
	EXPECT_EQ(harness.started[1].task.step, 1u);
}

namespace
{

constexpr Millis cCallTimeoutMs = 1000; ///< Added to the wait of a poll.
constexpr Millis cAnswerMs = 10;        ///< Time to the answer of an order that is not lost.

/// Drives a cell with one task, whose worker ends its run after the start; the first polls after that are lost. Returns the number of
/// starts that were sent within `inForMs`.
size_t CountStarts(uint32 inLostPolls, Millis inForMs)
{
	struct Sent
	{
		Order order;
		Millis sent_at = 0;
		Millis answered_at = 0;
		OrderAnswer answer;
	};
	Cell cell{CellTuning{}};
	Millis now = 1000;
	cell.Begin(1, now);
	std::vector<WorkerEntry> entries(2);
	for (size_t i = 0; i < entries.size(); ++i)
	{
		entries[i].id = "w" + std::to_string(i);
		entries[i].pool = "pool";
		entries[i].address = {"127.0.0.1", 1};
		entries[i].capacity = {16000, 32768, 0};
	}
	cell.SetWorkers(entries, now);
	cell.Ingest({EInbox::Submit, MakeJob("job", 1, 1, 1000, 500)}, 0, now, now);
	std::vector<Sent> in_flight;
	std::string started_on;
	size_t starts = 0;
	for (const Millis end = now + inForMs; now < end; now += cAnswerMs)
	{
		for (size_t i = 0; i < in_flight.size();)
		{
			if (now < in_flight[i].answered_at)
			{
				++i;
				continue;
			}
			const Sent sent = in_flight[i];
			in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
			cell.OnAnswer(sent.order, sent.answer, sent.sent_at, now);
		}
		cell.Plan(now, now);
		if (cell.HasUnwrittenChanges() && !cell.TakeBatch(now).empty())
			cell.OnAppended(now);
		for (const Order &order : cell.TakeOrders(now))
		{
			Sent sent{order, now, now + cAnswerMs, {}};
			sent.answer.result = EOrderResult::Done;
			sent.answer.clock_ms = now;
			const bool has_run = order.kind == EOrder::Poll && order.worker == started_on;
			if (order.kind == EOrder::Start && ++starts == 1)
				started_on = order.worker;
			else if (has_run && inLostPolls > 0)
			{
				--inLostPolls;
				sent.answered_at = now + order.wait_ms + cCallTimeoutMs;
				sent.answer = OrderAnswer{};
			}
			else if (has_run && order.acknowledged_end == 0)
				sent.answer.ended.push_back({1, {"job", 0, 0, 0}, 1, ERunEnd::Done, ""});
			in_flight.push_back(std::move(sent));
		}
	}
	return starts;
}

} // namespace

/// A task that has ended is started again because the answers to two polls in a row were lost.
TEST(CellLateEnd, TwoLostPollsDoNotRestartAFinishedTask)
{
	EXPECT_EQ(CountStarts(0, 12000), 1u);
	EXPECT_EQ(CountStarts(1, 12000), 1u);
	EXPECT_EQ(CountStarts(2, 12000), 1u);
}

} // namespace Loomreach::Jobs
