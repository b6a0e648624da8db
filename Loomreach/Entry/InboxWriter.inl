// Appends callers' records in batches.

namespace Loomreach::Jobs
{

template <class Store>
void InboxWriter<Store>::Enter(std::string inRecord, Millis inTimeoutMs, OnEntered inDone)
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
	const Millis gap = std::clamp(static_cast<Millis>(this->answer_ms) * cGapOfAnswer, cShortestGapMs, cLongestGapMs);
	// One lost answer must not hold up the records behind it for its whole time
	if (this->under_way > 0 && now - this->sent_at < gap)
	{
		if (!this->again.IsRunning())
			this->again.Once(gap - (now - this->sent_at), [this] { this->Flush(); });
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
	std::vector<Item> late;
	size_t bytes = 0;
	while (!this->waiting.empty() && items.size() < cMostRecords && bytes < cMostBytes)
	{
		Item item = std::move(this->waiting.front());
		this->waiting.pop_front();
		if (item.give_up_at <= inNow)
		{
			late.push_back(std::move(item));
			continue;
		}
		bytes += item.record.size();
		items.push_back(std::move(item));
	}
	AppendAnswer never_left;
	never_left.result = EAppend::Refused;
	for (const Item &item : late)
		item.done(never_left);
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
	call.timeout_ms = std::clamp(longest, cLeastTimeoutMs, cMostTimeoutMs);
	++this->under_way;
	this->sent_at = inNow;
	this->store.Append(call, this->Guard(
								 [this, inNow, items = std::move(inItems)](const AppendAnswer &inAnswer)
								 {
									 --this->under_way;
									 const auto took = static_cast<double>(NowMillis() - inNow);
									 this->answered_at = NowMillis();
									 this->answer_ms += cAnswerShare * (took - this->answer_ms);
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
