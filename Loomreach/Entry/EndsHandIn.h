// Hands ends in: what workers listed to an owner that has lost its cell, and the cell's log does not hold, goes into the cell's inbox,
// where the next owner reads it. The worker may have left meanwhile; nobody else knows that its tasks are done, and they would be done
// again.

#pragma once

#include <Loomreach/Entry/InboxWriter.h>
#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// See the head of the file. An end may be handed in twice, or be known already: it counts once.
template <class Store>
class EndsHandIn : private Guarded
{
public:
	using WriterOf = std::function<InboxWriter<Store> &(uint32 inCell)>;

	explicit EndsHandIn(WriterOf inWriterOf) : writer_of(std::move(inWriterOf)) {}

	/// Tries until the store has taken it, or for as long as that is of use.
	void HandIn(uint32 inCell, EndReport inReport);
	/// How many reports are on their way.
	size_t UnderWay() const { return this->under_way; }

private:
	/// A report on its way.
	struct Item
	{
		uint32 cell = 0;
		EndReport report;
		Millis give_up_at = 0;
	};

	static constexpr Millis cTryMs = 700;   ///< Slow answers of the users' store take 240 ms.
	static constexpr Millis cAgainMs = 300; ///< Between two tries.
	static constexpr Millis cForMs = 30000; ///< While the store is away there is no next owner; later, the tasks have been done anew.

	void Try(const std::shared_ptr<const Item> &inItem);
	void OnAnswer(const std::shared_ptr<const Item> &inItem, const AppendAnswer &inAnswer);

	WriterOf writer_of;
	size_t under_way = 0;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/EndsHandIn.inl>
