// Batching of appends to an inbox.

#include <Loomreach/Core/LogEvent.h>

namespace Loomreach::Jobs
{

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::Append(std::string inRecord, Millis inTimeoutMs, OnOutcome inDone, EInboxPriority inPriority,
									  Millis inRetryRefusedMs)
{
	const Millis now = this->time.Now();
	this->load.OnArrived(inRecord.size(), now);
	this->Waiting(inPriority).push_back({std::move(inRecord), now, now + inTimeoutMs, std::move(inDone), false, now + inRetryRefusedMs});
	if (!this->check_timer.IsRunning())
		this->check_timer.Once(cCheckMs, [this] { this->Check(); });
	this->Flush();
}

template <class Store, TimeSource Time>
std::vector<UnsentRecord> InboxWriter<Store, Time>::TakeUnsent(EInboxPriority inHighest)
{
	const Millis now = this->time.Now();
	std::vector<UnsentRecord> unsent;
	for (size_t i = static_cast<size_t>(inHighest); i < this->waiting.size(); ++i)
	{
		std::deque<Item> kept;
		for (Item &item : this->waiting[i])
		{
			if (item.carried)
			{
				kept.push_back(std::move(item));
				continue;
			}
			this->load.OnTaken(1, item.record.size());
			unsent.push_back({std::move(item.record), item.give_up_at - now, static_cast<EInboxPriority>(i), std::move(item.done)});
		}
		this->waiting[i] = std::move(kept);
	}
	return unsent;
}

template <class Store, TimeSource Time>
InboxFigures InboxWriter<Store, Time>::Figures() const
{
	const Millis now = this->time.Now();
	InboxFigures figures = this->load.Figures(now);
	figures.oldest_ms = this->OldestMs(now);
	return figures;
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::Flush()
{
	if (this->load.WaitingRecords() == 0)
		return;
	const Millis now = this->time.Now();
	const std::optional<Millis> next_at = this->load.NextCallAt();
	if (!next_at.has_value())
		return;
	if (*next_at > now)
	{
		if (!this->flush_timer.IsRunning() || this->flush_at != *next_at)
			this->flush_timer.Once(*next_at - now, [this] { this->Flush(); });
		this->flush_at = *next_at;
		return;
	}
	const std::vector<OnOutcome> late = this->RemoveLate(now);
	Call call = this->TakeItems(now);
	if (!call.items.empty())
		this->Send(std::move(call), now);
	Report(late, EAppend::Refused);
}

template <class Store, TimeSource Time>
typename InboxWriter<Store, Time>::Call InboxWriter<Store, Time>::TakeItems(Millis inNow)
{
	Call call;
	call.sent_at = inNow;
	size_t bytes = 0;
	for (size_t i = 0; i < this->waiting.size(); ++i)
	{
		std::deque<Item> &queue = this->waiting[i];
		auto next = queue.begin();
		for (; next != queue.end() && call.items.size() < InboxLoad::cMaxRecords && bytes < InboxLoad::cMaxBytes; ++next)
		{
			bytes += next->record.size();
			next->carried = true;
			call.items.push_back(std::move(*next));
			call.priorities.push_back(static_cast<EInboxPriority>(i));
		}
		queue.erase(queue.begin(), next);
	}
	this->load.OnTaken(call.items.size(), bytes);
	return call;
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::Send(Call inCall, Millis inNow)
{
	AppendCall append;
	append.log = this->inbox;
	Millis longest = 0;
	size_t bytes = 0;
	for (const Item &item : inCall.items)
	{
		append.records.push_back({"", item.record, 0});
		longest = std::max(longest, item.give_up_at - inNow);
		bytes += item.record.size();
	}
	append.timeout_ms = this->load.CallTimeout(longest, inNow);
	const uint64 number = this->load.OnSent(bytes, inNow);
	this->calls.emplace(number, std::move(inCall));
	this->store.Append(append, this->Guard([this, number](const AppendAnswer &inAnswer) { this->OnAnswer(number, inAnswer); }));
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::OnAnswer(uint64 inCall, const AppendAnswer &inAnswer)
{
	auto node = this->calls.extract(inCall);
	if (node.empty())
		return;
	const Millis now = this->time.Now();
	// Nothing of a call that is too long has been appended; each record is tried until its own time is over
	const EAppend result = inAnswer.result == EAppend::TooLong ? EAppend::Refused : inAnswer.result;
	this->load.OnEnded(inCall, result, now);
	Call &call = node.mapped();
	if (result == EAppend::Refused)
	{
		const std::vector<OnOutcome> refused_records = this->Return(std::move(call), now);
		this->GiveUpLate(now);
		Report(refused_records, EAppend::Refused);
	}
	else
	{
		AppendAnswer each = inAnswer;
		size_t late = 0;
		for (const Item &item : call.items)
		{
			if (item.done != nullptr)
				item.done(each);
			else
				++late;
			++each.offset;
		}
		if (inAnswer.result == EAppend::Done)
			this->load.OnDoneLate(late);
	}
	this->LogBacklog(now);
	this->Flush();
}

template <class Store, TimeSource Time>
std::vector<typename InboxWriter<Store, Time>::OnOutcome> InboxWriter<Store, Time>::Return(Call inCall, Millis inNow)
{
	std::vector<OnOutcome> refused_records;
	for (size_t i = inCall.items.size(); i-- > 0;)
	{
		Item &item = inCall.items[i];
		// Without a callback it was given up in the meantime
		if (item.done == nullptr)
			continue;
		if (inNow >= item.retry_until)
		{
			refused_records.push_back(std::move(item.done));
			continue;
		}
		this->load.OnReturned(1, item.record.size());
		this->Waiting(inCall.priorities[i]).push_front(std::move(item));
	}
	return refused_records;
}

template <class Store, TimeSource Time>
std::vector<typename InboxWriter<Store, Time>::OnOutcome> InboxWriter<Store, Time>::RemoveLate(Millis inNow)
{
	std::vector<OnOutcome> late;
	for (std::deque<Item> &queue : this->waiting)
	{
		std::erase_if(queue,
					  [&](Item &ioItem)
					  {
						  if (ioItem.give_up_at > inNow)
							  return false;
						  this->load.OnTaken(1, ioItem.record.size());
						  late.push_back(std::move(ioItem.done));
						  return true;
					  });
	}
	return late;
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::GiveUpLate(Millis inNow)
{
	const std::vector<OnOutcome> never_appended = this->RemoveLate(inNow);
	std::vector<OnOutcome> in_doubt;
	for (auto &[number, call] : this->calls)
	{
		if (inNow < call.sent_at + InboxLoad::cMaxQuickTimeoutMs)
			continue;
		// The answer to the call may still arrive; these records are then found without a callback
		for (Item &item : call.items)
			if (item.give_up_at <= inNow && item.done != nullptr)
				in_doubt.push_back(std::exchange(item.done, nullptr));
	}
	Report(never_appended, EAppend::Refused);
	Report(in_doubt, EAppend::Unknown);
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::Report(const std::vector<OnOutcome> &inRecords, EAppend inResult)
{
	AppendAnswer answer;
	answer.result = inResult;
	for (const OnOutcome &done : inRecords)
		done(answer);
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::Check()
{
	const Millis now = this->time.Now();
	if (this->load.WaitingRecords() > 0 || !this->calls.empty())
		this->check_timer.Once(cCheckMs, [this] { this->Check(); });
	this->GiveUpLate(now);
	this->LogBacklog(now);
}

template <class Store, TimeSource Time>
void InboxWriter<Store, Time>::LogBacklog(Millis inNow)
{
	if (!this->load.TakeReportDue(inNow))
		return;
	const InboxFigures figures = this->Figures();
	LogEvent(ELogLevel::Warning, "inbox_behind")
		.Field("topic", this->inbox.topic)
		.Field("partition", this->inbox.partition)
		.Field("in_flight", figures.in_flight)
		.Field("waiting", figures.waiting)
		.Field("waiting_bytes", figures.waiting_bytes)
		.Field("oldest_ms", figures.oldest_ms)
		.Field("latency_ms", figures.latency_ms)
		.Field("abandoned", figures.abandoned - std::exchange(this->abandoned_reported, figures.abandoned))
		.Field("refused", figures.refused - std::exchange(this->refused_reported, figures.refused))
		.Field("done_late", figures.done_late - std::exchange(this->done_late_reported, figures.done_late));
}

template <class Store, TimeSource Time>
Millis InboxWriter<Store, Time>::OldestMs(Millis inNow) const
{
	Millis oldest_at = inNow;
	// Returned records are at the front, so that the first record of a queue is its oldest
	for (const std::deque<Item> &queue : this->waiting)
		if (!queue.empty())
			oldest_at = std::min(oldest_at, queue.front().arrived_at);
	for (const auto &[number, call] : this->calls)
		for (const Item &item : call.items)
			if (item.done != nullptr)
				oldest_at = std::min(oldest_at, item.arrived_at);
	return inNow - oldest_at;
}

} // namespace Loomreach::Jobs
