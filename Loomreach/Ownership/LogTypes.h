// What the platform's log gives the product: partitions with an end, conditions and a producer's epoch. The adapter carries it out.

#pragma once

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach::Jobs
{

/// One partition of one topic.
struct LogName
{
	std::string topic;
	uint32 part = 0;

	auto operator<=>(const LogName &) const = default;
	bool operator==(const LogName &) const = default;
};

/// A record of a keyed log: the newest of a key is kept for good; an empty value removes the key.
struct LogRecord
{
	std::string key; ///< Empty in logs without keys.
	std::string value;
	uint64 offset = 0; ///< Place in the partition; set on reading.
};

/// How an append came out.
enum class EAppend : uint8
{
	Done,
	Fenced,     ///< A higher epoch has been seen: the log has another owner.
	NotAtEnd,   ///< The partition does not end where the caller thought.
	OutOfOrder, ///< The producer's number is not the next one.
	Refused,    ///< Certainly not appended; later perhaps.
	Unknown     ///< No answer: appended, or not, or to be appended yet.
};

inline constexpr std::array cAppendNames = {
	EnumName<EAppend>{EAppend::Done, "done"},           EnumName<EAppend>{EAppend::Fenced, "fenced"},
	EnumName<EAppend>{EAppend::NotAtEnd, "not-at-end"}, EnumName<EAppend>{EAppend::OutOfOrder, "out-of-order"},
	EnumName<EAppend>{EAppend::Refused, "refused"},     EnumName<EAppend>{EAppend::Unknown, "unknown"},
};

/// Who appends, so that a repeat is known and an earlier owner is shut out.
struct Producer
{
	std::string name;
	uint64 epoch = 0;
	uint64 number = 0; ///< Of this append within the epoch, from 0.
};

/// One append: all of its records or none.
struct AppendCall
{
	LogName log;
	bool keyed = false;
	std::vector<LogRecord> records;
	std::optional<uint64> at; ///< Only if the partition ends there.
	std::optional<Producer> producer;
	Millis timeout_ms = 1000;
};

struct AppendAnswer
{
	EAppend result = EAppend::Unknown;
	uint64 offset = 0; ///< Done: of the first record.
	uint64 end = 0;    ///< Done and NotAtEnd: where the partition ends.
};

/// How a read came out.
enum class ERead : uint8
{
	Done,
	Gone, ///< The records asked for have been removed; `first` says what is kept.
	Failed
};

struct ReadAnswer
{
	ERead result = ERead::Failed;
	uint64 end = 0;
	uint64 first = 0;
	uint64 next = 0; ///< Where to read on.
	std::vector<LogRecord> records;
};

/// The newest record of each key.
struct NewestAnswer
{
	bool good = false;
	std::vector<LogRecord> records;
	uint64 end = 0; ///< Of the partition when the first page was read: changes since are read from there.
};

} // namespace Loomreach::Jobs
