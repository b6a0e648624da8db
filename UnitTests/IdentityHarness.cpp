// Lists workers, answers orders and keeps the log of the harness.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Schedule/WorkerToken.h>
#include <UnitTests/IdentityHarness.h>

namespace Loomreach::Jobs
{

/// Answered polls in a row, by which a worker is settled.
static constexpr int cSettledPolls = 4;
/// Clock of an incarnation when it is first heard of.
static constexpr Millis cFirstClockMs = 500;

IdentityHarness::IdentityHarness()
{
	SetInvariantsAbort(true);
	this->cell.Begin(cTokensPerEpoch, this->now);
}

WorkerEntry IdentityHarness::MakeEntry(const std::string &inId, int64 inStartedMs)
{
	WorkerEntry entry;
	entry.id = inId;
	entry.pool = "pool";
	entry.address = {"127.0.0.1", 1};
	entry.capacity = {16000, 32768, 0};
	entry.started_ms = inStartedMs;
	return entry;
}

void IdentityHarness::ListWorkers(const std::vector<WorkerEntry> &inWorkers) { this->cell.SetWorkers(inWorkers, this->now); }

void IdentityHarness::Submit(const JobSpec &inJob)
{
	this->cell.Ingest({EInbox::Submit, inJob, {}}, this->next_offset++, this->now, this->now);
}

std::vector<Order> IdentityHarness::Step(Millis inMillis)
{
	this->now += inMillis;
	this->cell.Plan(this->now, this->now);
	std::vector<Order> orders = std::exchange(this->other_orders, {});
	for (Order &order : this->cell.TakeOrders(this->now))
		orders.push_back(std::move(order));
	return orders;
}

void IdentityHarness::Answer(const Order &inOrder, int64 inStartedMs, const std::vector<RunningRun> &inRunning)
{
	const Millis begun = this->begun_at.try_emplace({inOrder.worker, inStartedMs}, this->now).first->second;
	OrderAnswer answer;
	answer.result = EOrderResult::Done;
	answer.clock_ms = cFirstClockMs + this->now - begun;
	if (inOrder.kind == EOrder::Poll)
	{
		answer.started_ms = inStartedMs;
		answer.running = inRunning;
	}
	this->cell.OnAnswer(inOrder, answer, this->now, this->now);
}

void IdentityHarness::AnswerPolls(const std::string &inWorker, int64 inStartedMs)
{
	for (int i = 0; i < cSettledPolls; ++i)
		for (const Order &order : this->Step(150))
		{
			if (order.kind == EOrder::Poll && order.worker == inWorker)
				this->Answer(order, inStartedMs);
			if (order.kind == EOrder::Start)
				this->starts.push_back(order);
		}
}

bool IdentityHarness::BeginAppend()
{
	this->cell.Plan(this->now, this->now);
	this->batch = this->cell.TakeBatch(this->now);
	return !this->batch.empty();
}

void IdentityHarness::EndAppend()
{
	for (const KeyedRecord &record : std::exchange(this->batch, {}))
		this->written[record.key] = record.value;
	this->cell.OnAppended(this->now);
}

size_t IdentityHarness::WriteAndDispatch()
{
	const size_t before = this->starts.size();
	if (this->BeginAppend())
		this->EndAppend();
	for (const Order &order : this->cell.TakeOrders(this->now))
		(order.kind == EOrder::Start ? this->starts : this->other_orders).push_back(order);
	return this->starts.size() - before;
}

Cell IdentityHarness::Successor(const CellTuning &inTuning) const
{
	Cell successor(inTuning);
	for (const auto &[key, value] : this->written)
		LOOM_INVARIANT(successor.Restore(key, value), "a record of the log can be read");
	successor.Begin(2 * cTokensPerEpoch, this->now);
	return successor;
}

} // namespace Loomreach::Jobs
