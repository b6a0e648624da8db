// A good end that comes to be known while another run of its task is on its way into the log.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Two workers and one cell, played by hand: every look and order is answered as the test says.
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

	/// Lets time pass; orders are taken and answered.
	void Advance(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
		{
			this->now += 10;
			this->cell.Plan(this->now, this->now);
			this->AnswerOrders();
			if (this->cell.HasNews() && !this->writes && !this->cell.TakeBatch(this->now).empty())
				this->writes = true;
			if (this->writes && this->log_answers)
				this->Append();
		}
	}
	/// The append under way is in the log.
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
	std::string unresponsive;    ///< This worker gives no answers.
	std::vector<Order> started;  ///< Orders to start, in turn.
	std::vector<EndedRow> ended; ///< What the worker of the first of them lists as ended.

private:
	/// What was started there and has not ended.
	std::vector<RunningRow> RunningOn(const std::string &inWorker) const
	{
		std::vector<RunningRow> rows;
		for (const Order &order : this->started)
		{
			bool over = order.worker != inWorker;
			for (const EndedRow &row : this->ended)
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
			if (answer.result == EOrderResult::Done && order.kind == EOrder::Hold)
				answer.running = this->RunningOn(order.worker);
			const bool is_first = !this->started.empty() && order.worker == this->started.front().worker;
			if (answer.result == EOrderResult::Done && order.kind == EOrder::Hold && is_first)
				answer.ended = this->ended;
			this->cell.OnAnswer(order, answer, this->now - 5, this->now);
		}
	}
};

} // namespace

TEST(Cell, TellsNoRunOfATaskWhoseGoodEndIsKnown)
{
	// Failed first (kkt-loom-grown, trouble-1, found in the logs): a worker was silent until its lease was over, and listed its good end
	// while the next run of the task was being written. That run was told all the same, 14 ms after the end had been taken in
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

} // namespace Loomreach::Jobs
