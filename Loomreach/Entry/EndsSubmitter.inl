// Appends reports of run ends to inboxes, with retries.

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

template <class Store>
void EndsSubmitter<Store>::Submit(uint32 inCell, EndReport inReport)
{
	++this->in_flight;
	this->Try(std::make_shared<const Item>(Item{inCell, std::move(inReport), NowMillis() + cGiveUpAfterMs}));
}

template <class Store>
void EndsSubmitter<Store>::Try(const std::shared_ptr<const Item> &inItem)
{
	std::string record = EncodeValue(InboxRecord{EInbox::Ends, {}, inItem->report});
	this->writer_of(inItem->cell)
		.Append(std::move(record), cAttemptTimeoutMs,
				this->Guard([this, item = inItem](const AppendAnswer &inAnswer) { this->OnAnswer(item, inAnswer); }),
				EInboxPriority::Control);
}

template <class Store>
void EndsSubmitter<Store>::OnAnswer(const std::shared_ptr<const Item> &inItem, const AppendAnswer &inAnswer)
{
	const bool done = inAnswer.result == EAppend::Done;
	if (!done && NowMillis() + cRetryDelayMs < inItem->give_up_at)
		return After(cRetryDelayMs, this->Guard([this, inItem] { this->Try(inItem); }));
	--this->in_flight;
	LogEvent(done ? ELogLevel::Info : ELogLevel::Warning, done ? "ends_handed_in" : "ends_not_handed_in")
		.Field("worker", inItem->report.worker)
		.Field("count", inItem->report.ended.size())
		.Field("cell", inItem->cell)
		.Field("epoch", inItem->report.epoch)
		.Field("took_ms", NowMillis() - (inItem->give_up_at - cGiveUpAfterMs));
}

} // namespace Loomreach::Jobs
