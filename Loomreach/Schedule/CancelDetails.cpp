// Details of cancellations in inbox records.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CancelDetails.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

CancelDetails DetailsOf(const InboxRecord &inRecord)
{
	const std::string &encoded = inRecord.spec.payload;
	return encoded.empty() ? CancelDetails{} : DecodeValue<CancelDetails>(encoded).value_or(CancelDetails{});
}

void SetDetails(InboxRecord &ioRecord, const CancelDetails &inDetails) { ioRecord.spec.payload = EncodeValue(inDetails); }

InboxRecord CancelRecord(const std::string &inJob, const EarlyCancel &inCancel)
{
	InboxRecord record;
	record.kind = EInbox::Cancel;
	record.spec.id = inJob;
	record.spec.queue = inCancel.queue;
	record.spec.team = inCancel.team;
	SetDetails(record, {inCancel.key_hash, false});
	return record;
}

} // namespace Loomreach::Jobs
