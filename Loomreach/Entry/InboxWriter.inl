// Batching of appends to an inbox.

namespace Loomreach::Jobs
{

template <class Store>
void InboxWriter<Store>::Append(std::string inRecord, Millis inTimeoutMs, OnOutcome inDone)
{
	this->waiting.push_back({std::move(inRecord), NowMillis() + inTimeoutMs, std::move(inDone)});
	this->Flush();
}

template <class Store>
void InboxWriter<Store>::Flush()
{
	if (this->waiting.empty())
		return;
	const Millis now = NowMillis();
	const Millis gap = std::clamp(static_cast<Millis>(this->latency_ms) * cGapPerLatency, cMinGapMs, cMaxGapMs);
	// One lost answer must not delay the records behind it for a call's whole timeout
	if (this->in_flight > 0 && now - this->sent_at < gap)
	{
		if (!this->flush_timer.IsRunning())
			this->flush_timer.Once(gap - (now - this->sent_at), [this] { this->Flush(); });
		return;
	}
	std::vector<Item> items = this->TakeItems(now);
	if (!items.empty())
		this->Send(std::move(items), now);
}

template <class Store>
std::vector<typename InboxWriter<Store>::Item> InboxWriter<Store>::TakeItems(Millis inNow)
{
	std::vector<Item> items;
	std::vector<Item> timed_out;
	size_t bytes = 0;
	while (!this->waiting.empty() && items.size() < cMaxRecords && bytes < cMaxBytes)
	{
		Item item = std::move(this->waiting.front());
		this->waiting.pop_front();
		if (item.give_up_at <= inNow)
		{
			timed_out.push_back(std::move(item));
			continue;
		}
		bytes += item.record.size();
		items.push_back(std::move(item));
	}
	AppendAnswer never_sent;
	never_sent.result = EAppend::Refused;
	for (const Item &item : timed_out)
		item.done(never_sent);
	return items;
}

template <class Store>
void InboxWriter<Store>::Send(std::vector<Item> inItems, Millis inNow)
{
	AppendCall call;
	call.log = this->inbox;
	Millis longest = 0;
	for (const Item &item : inItems)
	{
		call.records.push_back({"", item.record, 0});
		longest = std::max(longest, item.give_up_at - inNow);
	}
	call.timeout_ms = std::clamp(longest, cMinTimeoutMs, cMaxTimeoutMs);
	++this->in_flight;
	this->sent_at = inNow;
	this->store.Append(call, this->Guard(
								 [this, inNow, items = std::move(inItems)](const AppendAnswer &inAnswer)
								 {
									 --this->in_flight;
									 const auto took = static_cast<double>(NowMillis() - inNow);
									 this->answered_at = NowMillis();
									 this->latency_ms += cLatencyWeight * (took - this->latency_ms);
									 AppendAnswer each = inAnswer;
									 for (const Item &item : items)
									 {
										 item.done(each);
										 ++each.offset;
									 }
									 this->Flush();
								 }));
}

} // namespace Loomreach::Jobs
