// The settings that a node of the settings tree may have, with type, range and default of each.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// A setting. It may be set on any node and is inherited by all nodes below.
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

/// Value of a setting: an integer (booleans as 0 and 1) or a word.
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

/// Properties of a setting.
struct SettingInfo
{
	ESetting setting;
	std::string_view name;
	ESettingType type;
	int64 min;            ///< Smallest integer allowed.
	int64 max;            ///< Largest integer allowed.
	int64 default_number; ///< Value where neither the node nor an ancestor sets one.
	std::string_view default_word;
	std::string_view choices; ///< Allowed words, separated by '|'; empty: any name.
	std::string_view meaning; ///< One-line description with the unit, shown to operators.
};

/// Returns the properties of a setting.
const SettingInfo &InfoOf(ESetting inSetting);

/// Returns the setting with a name, or nothing.
std::optional<ESetting> SettingOf(std::string_view inName);

/// Returns the value where neither the node nor an ancestor sets one.
SettingValue DefaultOf(ESetting inSetting);

/// Returns the value in TOML syntax.
std::string TextOf(ESetting inSetting, const SettingValue &inValue);

/// Whether a value is within its setting's range or choices. If not, the last reason is bad-settings and says what was expected.
bool CheckValue(ESetting inSetting, const SettingValue &inValue);

} // namespace Loomreach
