// Requests and answers of the platform's log service: partitioned topics with offsets, conditional appends and producer epochs. The
// platform adapter makes the calls.

#pragma once

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Ownership/RecordLimit.h>
#include <Loomreach/Platform/LinkUsage.h>

namespace Loomreach::Jobs
{

/// Names one partition of one topic.
struct LogName
{
	std::string topic;
	uint32 partition = 0;

	auto operator<=>(const LogName &) const = default;
	bool operator==(const LogName &) const = default;
};

/// A log record. A keyed log keeps the newest record of each key indefinitely; an empty value removes the key.
struct LogRecord
{
	std::string key; ///< Empty in logs without keys.
	std::string value;
	uint64 offset = 0; ///< Offset in the partition; set when the record is read.
};

/// Outcome of an append.
enum class EAppend : uint8
{
	Done,
	Fenced,     ///< A higher producer epoch has been seen: the log has a new owner.
	NotAtEnd,   ///< The partition does not end at the expected offset.
	OutOfOrder, ///< The producer's sequence number is not the next one.
	Refused,    ///< Certainly not appended; a later attempt may succeed.
	TooLong,    ///< Not appended: the call or one of its records exceeds a limit of the service, so that no repeat of it can succeed.
	Unknown     ///< No answer: it may have been appended, or may still be.
};

/// Names of the outcomes in log lines.
inline constexpr std::array cAppendNames = {
	EnumName<EAppend>{EAppend::Done, "done"},           EnumName<EAppend>{EAppend::Fenced, "fenced"},
	EnumName<EAppend>{EAppend::NotAtEnd, "not-at-end"}, EnumName<EAppend>{EAppend::OutOfOrder, "out-of-order"},
	EnumName<EAppend>{EAppend::Refused, "refused"},     EnumName<EAppend>{EAppend::TooLong, "too-long"},
	EnumName<EAppend>{EAppend::Unknown, "unknown"},
};

/// Bytes that a record takes in an append.
inline size_t BytesInAppend(const LogRecord &inRecord) { return cRecordFrameBytes + inRecord.key.size() + inRecord.value.size(); }

/// Whether a record is too long for the service, whatever the append.
inline bool ExceedsRecordLimit(const LogRecord &inRecord) { return BytesInAppend(inRecord) > cMaxRecordBytes; }

/// Identifies the producer of an append, so that the log recognizes a repeated append and fences an earlier owner.
struct Producer
{
	std::string name;
	uint64 epoch = 0;
	uint64 sequence = 0; ///< Sequence number of this append within the epoch, from 0.
};

/// One append. Atomic: either all records are appended, or none.
struct AppendCall
{
	LogName log;
	bool keyed = false;
	std::vector<LogRecord> records;
	std::optional<uint64> expected_end; ///< Append only if the partition ends at this offset.
	std::optional<Producer> producer;
	Millis timeout_ms = 1000;           ///< Time for the answer; the time that the records take on the link of this host comes on top.
	ETraffic traffic = ETraffic::Other; ///< Kind under which its bytes are counted.
};

/// Answer to an append.
struct AppendAnswer
{
	EAppend result = EAppend::Unknown;
	uint64 offset = 0; ///< Done: offset of the first record.
	uint64 end = 0;    ///< Done and NotAtEnd: end offset of the partition.
};

/// Outcome of a read.
enum class ERead : uint8
{
	Done,
	Gone, ///< The requested records have been removed; `first` is the oldest offset that is kept.
	Failed
};

/// Answer to a read.
struct ReadAnswer
{
	ERead result = ERead::Failed;
	uint64 end = 0;   ///< End offset of the partition.
	uint64 first = 0; ///< Oldest offset that is kept.
	uint64 next = 0;  ///< Offset to continue reading from.
	std::vector<LogRecord> records;
};

/// Answer to a request for the newest record of each key.
struct NewestAnswer
{
	bool good = false;
	std::vector<LogRecord> records;
	uint64 end = 0; ///< End offset of the partition when the first page was read; later changes are read from there.
};

} // namespace Loomreach::Jobs
