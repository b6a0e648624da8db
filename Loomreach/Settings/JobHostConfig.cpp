// Reads and checks the entry host's configuration. Tables list the keys, with type, range and target member.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/JobHostConfig.h>
#include <Loomreach/Settings/TomlReader.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr double cMaxCores = 1024.0;
constexpr double cMaxSeconds = 86'400.0;
constexpr double cMaxAppendMs = 1000.0;
constexpr double cMaxLinkMbitPerS = 10'000'000.0;

/// A key with an integer value.
struct NumberKey
{
	std::string_view name;
	int64 JobHostConfig::*member;
	int64 min;
	int64 max;
};

/// A key with a string value.
struct TextKey
{
	std::string_view name;
	std::string JobHostConfig::*member;
};

/// A key with a value of the form "ip:port".
struct AddressKey
{
	std::string_view name;
	Address JobHostConfig::*member;
};

constexpr std::array cNumberKeys = {
	NumberKey{"metrics_port", &JobHostConfig::metrics_port, 0, 65535},
	NumberKey{"log_parts", &JobHostConfig::log_partitions, 1, 1024},
	NumberKey{"store_reads_per_s", &JobHostConfig::store_reads_per_s, 1, 100'000'000},
	NumberKey{"store_read_mb_per_s", &JobHostConfig::store_read_mb_per_s, 1, 1'000'000},
	NumberKey{"worker_lease_ms", &JobHostConfig::worker_lease_ms, 500, 60'000},
	NumberKey{"worker_most_lease_ms", &JobHostConfig::worker_max_lease_ms, 500, 600'000},
	NumberKey{"owner_lease_ms", &JobHostConfig::owner_lease_ms, 500, 60'000},
	NumberKey{"owner_short_lease_ms", &JobHostConfig::owner_short_lease_ms, 500, 60'000},
	NumberKey{"owner_slack_ms", &JobHostConfig::owner_slack_ms, 50, 10'000},
	NumberKey{"balance_headroom_percent", &JobHostConfig::balance_headroom_percent, 100, 1000},
	NumberKey{"balance_margin", &JobHostConfig::balance_margin, 0, 1000},
	NumberKey{"balance_slack", &JobHostConfig::balance_slack, 0, 1000},
	NumberKey{"demand_hold_ms", &JobHostConfig::demand_hold_ms, 0, 600'000},
	NumberKey{"keep_ended_ms", &JobHostConfig::keep_ended_ms, 1000, 86'400'000},
	NumberKey{"request_memory_kb", &JobHostConfig::request_memory_kb, 1024, 16'777'216},
	NumberKey{"max_connections", &JobHostConfig::max_connections, 10, 1'000'000},
	NumberKey{"request_stall_ms", &JobHostConfig::request_stall_ms, 100, 3'600'000},
	NumberKey{"request_time_ms", &JobHostConfig::request_time_ms, 100, 3'600'000},
	NumberKey{"max_job_values", &JobHostConfig::max_job_values, 100, 10'000'000},
	NumberKey{"records_name_queues", &JobHostConfig::records_name_queues, 0, 1},
};

constexpr std::array cTextKeys = {
	TextKey{"name", &JobHostConfig::name},
	TextKey{"availability_zone", &JobHostConfig::availability_zone},
};

constexpr std::array cAddressKeys = {
	AddressKey{"callers", &JobHostConfig::callers},
	AddressKey{"ready", &JobHostConfig::ready},
	AddressKey{"peers", &JobHostConfig::peers},
	AddressKey{"store", &JobHostConfig::store},
};

/// Reads one configuration document according to the tables above.
class JobConfigReader
{
public:
	explicit JobConfigReader(std::string_view inFile) : file(inFile) {}

	std::optional<JobHostConfig> Read(const toml::table &inDocument)
	{
		for (auto &&[key, value] : inDocument)
			if (!this->ReadKey(key, value))
				return std::nullopt;
		for (const TextKey &key : cTextKeys)
			if ((this->config.*key.member).empty())
				return Fail(EError::BadConfig, std::string(this->file) + ": '" + std::string(key.name) + "' is missing");
		for (const AddressKey &key : cAddressKeys)
			if ((this->config.*key.member).port == 0)
				return Fail(EError::BadConfig, std::string(this->file) + ": '" + std::string(key.name) + "' is missing");
		// Workers cap longer leases, so asking for one gains nothing
		this->config.worker_lease_ms = std::min(this->config.worker_lease_ms, this->config.worker_max_lease_ms);
		this->config.owner_short_lease_ms = std::min(this->config.owner_short_lease_ms, this->config.owner_lease_ms);
		if (this->config.owner_slack_ms * 2 >= this->config.owner_short_lease_ms)
			return Fail(EError::BadConfig,
						std::string(this->file) +
							": owner_slack_ms leaves no lease: expected less than half of owner_short_lease_ms and owner_lease_ms");
		return this->config;
	}

private:
	bool FailAt(const toml::source_region &inWhere, const std::string &inDetail)
	{
		return FailFalse(EError::BadConfig, PositionOf(inWhere, this->file) + ": " + inDetail);
	}

	bool ReadKey(const toml::key &inKey, const toml::node &inValue)
	{
		const std::string_view name = inKey.str();
		for (const NumberKey &key : cNumberKeys)
			if (key.name == name)
				return this->ReadNumber(key, inValue);
		const std::optional<std::string> text = inValue.value<std::string>();
		for (const TextKey &key : cTextKeys)
			if (key.name == name)
			{
				this->config.*key.member = text.value_or("");
				return text.has_value() || this->FailAt(inValue.source(), std::string(name) + " must be text");
			}
		for (const AddressKey &key : cAddressKeys)
			if (key.name == name)
			{
				const std::optional<Address> address = ParseAddress(text.value_or(""));
				this->config.*key.member = address.value_or(Address());
				return address.has_value() || this->FailAt(inValue.source(), std::string(name) + " must be \"ip:port\"");
			}
		if (name == "processor_share")
			return this->ReadThousandths(inValue, name, cMaxCores, this->config.processor_milli);
		if (name == "maintenance_s")
			return this->ReadThousandths(inValue, name, cMaxSeconds, this->config.maintenance_ms);
		if (name == "store_append_ms")
			return this->ReadFraction(inValue, name, cMaxAppendMs, this->config.store_append_ms);
		if (name == "link_mbit_per_s")
			return this->ReadFraction(inValue, name, cMaxLinkMbitPerS, this->config.link_mbit_per_s);
		if (name == "adviser")
			return this->ReadOptional(inValue, name, this->config.adviser);
		if (name == "machines")
			return this->ReadOptional(inValue, name, this->config.machines);
		return this->FailAt(inKey.source(), "unknown key '" + std::string(name) + "'");
	}

	/// Reads an address that is empty if there is no such service.
	bool ReadOptional(const toml::node &inValue, std::string_view inName, std::optional<Address> &outAddress)
	{
		const std::string text = inValue.value<std::string>().value_or("");
		if (text.empty())
			return true;
		outAddress = ParseAddress(text);
		return outAddress.has_value() || this->FailAt(inValue.source(), std::string(inName) + " must be \"ip:port\"");
	}

	bool ReadNumber(const NumberKey &inKey, const toml::node &inValue)
	{
		// The platform may write integers as fractions, such as 8.0
		const std::optional<double> number = inValue.value<double>();
		const bool fits = number.has_value() && *number >= static_cast<double>(inKey.min) && *number <= static_cast<double>(inKey.max);
		if (!fits)
			return this->FailAt(inValue.source(), std::string(inKey.name) + " must be from " + std::to_string(inKey.min) + " to " +
													  std::to_string(inKey.max));
		this->config.*inKey.member = static_cast<int64>(*number);
		return true;
	}

	/// Reads a number of cores or seconds, which may be a fraction, and stores it in thousandths.
	bool ReadThousandths(const toml::node &inValue, std::string_view inName, double inMax, int64 &outThousandths)
	{
		double number = 0.0;
		if (!this->ReadFraction(inValue, inName, inMax, number))
			return false;
		outThousandths = std::max<int64>(1, static_cast<int64>(number * 1000.0));
		return true;
	}

	/// Reads a number above 0, which may be a fraction.
	bool ReadFraction(const toml::node &inValue, std::string_view inName, double inMax, double &outNumber)
	{
		const std::optional<double> number = inValue.value<double>();
		if (!number.has_value() || *number <= 0.0 || *number > inMax)
			return this->FailAt(inValue.source(), std::string(inName) + " must be above 0 and at most " + std::to_string(inMax));
		outNumber = *number;
		return true;
	}

	std::string_view file;
	JobHostConfig config;
};

} // namespace

std::optional<JobHostConfig> ParseJobHostConfig(std::string_view inText, std::string_view inFile)
{
	const std::optional<toml::table> document = ParseToml(inText, inFile, EError::BadConfig);
	if (!document.has_value())
		return std::nullopt;
	return JobConfigReader(inFile).Read(*document);
}

} // namespace Loomreach::Jobs
