// Submits run ends to a cell's inbox: a host that has lost the cell passes on ends that workers listed to it and the cell's log does not
// contain. The cell's next owner reads them there. The workers may have shut down in the meantime; without these ends the tasks would run
// again.

#pragma once

#include <Loomreach/Entry/InboxWriter.h>
#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// Submits run ends to cells' inboxes and retries. Submitting an end twice, or one that the next owner knows already, is harmless: it
/// counts once.
template <class Store>
class EndsSubmitter : private Guarded
{
public:
	using WriterOf = std::function<InboxWriter<Store> &(uint32 inCell)>;

	explicit EndsSubmitter(WriterOf inWriterOf) : writer_of(std::move(inWriterOf)) {}

	/// Appends a report to the inbox of a cell; retries until the store has accepted it or `cGiveUpAfterMs` is over.
	void Submit(uint32 inCell, EndReport inReport);
	/// Number of reports without an outcome yet.
	size_t InFlight() const { return this->in_flight; }

private:
	/// A report without an outcome yet.
	struct Item
	{
		uint32 cell = 0;
		EndReport report;
		Millis give_up_at = 0;
	};

	static constexpr Millis cAttemptTimeoutMs = 700; ///< A slow store answers in 240 ms.
	static constexpr Millis cRetryDelayMs = 300;     ///< Delay between two attempts.
	/// While the store is down the cell has no next owner; after this long the tasks have been run again.
	static constexpr Millis cGiveUpAfterMs = 30000;

	void Try(const std::shared_ptr<const Item> &inItem);
	void OnAnswer(const std::shared_ptr<const Item> &inItem, const AppendAnswer &inAnswer);

	WriterOf writer_of;
	size_t in_flight = 0;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/EndsSubmitter.inl>
