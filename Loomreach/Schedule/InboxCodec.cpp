// Encoding of inbox records.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/InboxCodec.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

namespace
{

/// A record about a job of a queue that is known to have moved.
struct PlacedRecord
{
	InboxRecord record;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->record, this->record.queue_key, this->record.queue_version);
	}
};

} // namespace

std::string EncodeInboxRecord(const InboxRecord &inRecord)
{
	return inRecord.queue_key == 0 ? EncodeValue(inRecord) : EncodeValue(PlacedRecord{inRecord});
}

std::optional<InboxRecord> DecodeInboxRecord(std::string_view inBytes)
{
	if (std::optional<InboxRecord> record = DecodeValue<InboxRecord>(inBytes))
		return record;
	std::optional<PlacedRecord> placed = DecodeValue<PlacedRecord>(inBytes);
	return placed.has_value() ? std::optional<InboxRecord>(std::move(placed->record)) : std::nullopt;
}

} // namespace Loomreach::Jobs
