// What the record of a cancellation says besides the job. It is kept in the record's payload, which only submissions use otherwise: the
// format of the records stays the same, and earlier versions pass the details on unread.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

struct CancelDetails
{
	uint64 key_hash = 0; ///< Of the caller's key, see Admission; 0: none was needed.
	/// By the current cell of a queue to a former one, which does not pass it back.
	bool handed_on = false;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->key_hash, this->handed_on);
	}
};

/// The details of a cancellation; defaults if it has none.
CancelDetails DetailsOf(const InboxRecord &inRecord);
void SetDetails(InboxRecord &ioRecord, const CancelDetails &inDetails);

/// The inbox record of an early cancellation.
InboxRecord CancelRecord(const std::string &inJob, const EarlyCancel &inCancel);

} // namespace Loomreach::Jobs
