// Encodes and decodes the records of inboxes.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// Earlier versions read the records of all queues except those that are known to have moved.
std::string EncodeInboxRecord(const InboxRecord &inRecord);
std::optional<InboxRecord> DecodeInboxRecord(std::string_view inBytes);

} // namespace Loomreach::Jobs
