// The closed list of settings that a node of the tree may state, with type, range and default of each.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// A setting. Every one may be stated on any node and is inherited by all beneath it.
enum class ESetting : uint8
{
	Kind,
	Team,
	Priority,
	Replicas,
	CpuMilli,
	MemoryMb,
	Accelerators,
	RunTimeS,
	DeadlineMs,
	Repeatable,
	QueueLimit,
	QueueShare,
	LongRequests,
	RetryBudgetPercent,
	MinAvailablePercent,
	BufferPercent,
	WaveWidth,
	RebootS,
	MaintainEveryDays,
	WeightMoves,
	WeightBuffer,
	QuotaCpuMilli,
	Count
};

/// Type of a setting's value.
enum class ESettingType : uint8
{
	Integer,
	Boolean,
	Word
};

/// A value: an integer (booleans as 0 and 1) or a word.
struct SettingValue
{
	int64 number = 0;
	std::string word;

	bool operator==(const SettingValue &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->word);
	}
};

/// What the table knows of one setting.
struct SettingInfo
{
	ESetting setting;
	std::string_view name;
	ESettingType type;
	int64 min;            ///< Smallest integer allowed.
	int64 max;            ///< Largest integer allowed.
	int64 default_number; ///< Value in force where no node states one.
	std::string_view default_word;
	std::string_view choices; ///< Words allowed, separated by '|'; empty: any name.
	std::string_view meaning; ///< One line for people, with the unit.
};

/// The row for a setting.
const SettingInfo &InfoOf(ESetting inSetting);

/// The setting called by a name, or nothing.
std::optional<ESetting> SettingOf(std::string_view inName);

/// The value in force where no node states one.
SettingValue DefaultOf(ESetting inSetting);

/// The value as it is written in TOML.
std::string TextOf(ESetting inSetting, const SettingValue &inValue);

/// Whether a value fits its setting's type and range; what was expected is left as the last reason.
bool CheckValue(ESetting inSetting, const SettingValue &inValue);

} // namespace Loomreach
