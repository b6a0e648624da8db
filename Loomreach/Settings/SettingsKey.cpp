// Table of the settings and checks of their values.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/SettingsKey.h>

namespace Loomreach
{

static constexpr size_t cSettingCount = static_cast<size_t>(ESetting::Count);
static constexpr int64 cDayMs = 86'400'000;

using enum ESettingType;

static constexpr std::array<SettingInfo, cSettingCount> cSettings = {{
	{ESetting::Kind, "kind", Word, 0, 0, 0, "service", "service|batch",
	 "service: replicas answer requests; batch: replicas run until they end"},
	{ESetting::Team, "team", Word, 0, 0, 0, "none", "", "team whose quota the job counts against"},
	{ESetting::Priority, "priority", Integer, 0, 1000, 100, "", "", "priority of the job; greater values go first"},
	{ESetting::Replicas, "replicas", Integer, 0, 5000, 1, "", "", "number of replicas wanted of a job"},
	{ESetting::CpuMilli, "cpu_milli", Integer, 1, 1'000'000, 1000, "", "", "processor time of a replica, thousandths of a core"},
	{ESetting::MemoryMb, "memory_mb", Integer, 1, 16'000'000, 1024, "", "", "memory of a replica, MB"},
	{ESetting::Accelerators, "accelerators", Integer, 0, 64, 0, "", "", "accelerators of a replica"},
	{ESetting::RunTimeS, "run_time_s", Integer, 0, 31'536'000, 0, "", "", "declared run time of a batch replica, s; 0: not declared"},
	{ESetting::DeadlineMs, "deadline_ms", Integer, 1, cDayMs, 5000, "", "", "time in which a request must begin and end, ms"},
	{ESetting::Repeatable, "repeatable", Boolean, 0, 1, 1, "", "", "whether requests may be repeated unless the request says otherwise"},
	{ESetting::QueueLimit, "queue_limit", Integer, 0, 100'000, 128, "", "", "requests that may wait at one entry host"},
	{ESetting::QueueShare, "queue_share", Integer, 0, 100, 10, "", "",
	 "share of request starts reserved for the service when higher priorities fill a worker, percent"},
	{ESetting::LongRequests, "long_requests", Boolean, 0, 1, 0, "", "", "whether requests last for minutes to hours (holds, call legs)"},
	{ESetting::RetryBudgetPercent, "retry_budget_percent", Integer, 0, 100, 10, "", "",
	 "retries allowed, percent of requests that are not retries"},
	{ESetting::MinAvailablePercent, "min_available_percent", Integer, 0, 100, 80, "", "",
	 "availability budget: hosts of the pool that stay available, percent"},
	{ESetting::BufferPercent, "buffer_percent", Integer, -1, 100, -1, "", "",
	 "spare capacity kept in the pool, percent; -1: the capacity of its largest rack"},
	{ESetting::WaveWidth, "wave_width", Integer, 1, 5000, 1000, "", "", "hosts of the pool that may be out at once in a wave"},
	{ESetting::RebootS, "reboot_s", Integer, 0, 86'400, 300, "", "", "time in which a host returns from its maintenance, s"},
	{ESetting::MaintainEveryDays, "maintain_every_days", Integer, 0, 365, 0, "", "",
	 "interval of the maintenance of every host of the pool, days; 0: maintained only in operators' waves"},
	{ESetting::WeightMoves, "weight_moves", Integer, 0, 1000, 1, "", "", "cost of displacing a replica, against weight_buffer"},
	{ESetting::WeightBuffer, "weight_buffer", Integer, 0, 1000, 1, "", "", "cost of an idle host, against weight_moves"},
	{ESetting::QuotaCpuMilli, "quota_cpu_milli", Integer, 0, 1'000'000'000, 0, "", "",
	 "processor time that the team's replicas may hold, thousandths of a core; 0: no quota"},
}};

static constexpr bool TableIsOrdered()
{
	for (size_t i = 0; i < cSettingCount; ++i)
		if (cSettings[i].setting != static_cast<ESetting>(i))
			return false;
	return true;
}
static_assert(TableIsOrdered(), "one row for each setting, in the order of ESetting");

const SettingInfo &InfoOf(ESetting inSetting) { return cSettings[std::min(static_cast<size_t>(inSetting), cSettingCount - 1)]; }

std::optional<ESetting> SettingOf(std::string_view inName)
{
	for (const SettingInfo &row : cSettings)
		if (row.name == inName)
			return row.setting;
	return std::nullopt;
}

SettingValue DefaultOf(ESetting inSetting)
{
	const SettingInfo &info = InfoOf(inSetting);
	return {info.default_number, std::string(info.default_word)};
}

std::string TextOf(ESetting inSetting, const SettingValue &inValue)
{
	switch (InfoOf(inSetting).type)
	{
	case Integer: return std::to_string(inValue.number);
	case Boolean: return inValue.number != 0 ? "true" : "false";
	case Word: return '"' + inValue.word + '"';
	}
	return {};
}

static bool IsChoice(std::string_view inChoices, std::string_view inWord)
{
	while (!inChoices.empty())
	{
		const size_t bar = inChoices.find('|');
		if (inChoices.substr(0, bar) == inWord)
			return true;
		inChoices = bar == std::string_view::npos ? std::string_view() : inChoices.substr(bar + 1);
	}
	return false;
}

bool CheckValue(ESetting inSetting, const SettingValue &inValue)
{
	const SettingInfo &info = InfoOf(inSetting);
	if (info.type == Word)
	{
		if (!info.choices.empty() && !IsChoice(info.choices, inValue.word))
			return FailFalse(EError::BadSettings, "expected one of " + std::string(info.choices));
		const bool is_name = !inValue.word.empty() && inValue.word.find_first_of(" /\"\\\n\r\t") == std::string::npos;
		if (!is_name)
			return FailFalse(EError::BadSettings, "expected a name without spaces, quotes or slashes");
		return true;
	}
	if (inValue.number < info.min || inValue.number > info.max)
		return FailFalse(EError::BadSettings, "expected a number from " + std::to_string(info.min) + " to " + std::to_string(info.max) +
												  ", got " + std::to_string(inValue.number));
	return true;
}

} // namespace Loomreach
