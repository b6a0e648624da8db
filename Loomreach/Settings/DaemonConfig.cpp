// Reads and checks the daemon's configuration. Tables list the keys, with type, range and target member.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/DaemonConfig.h>
#include <Loomreach/Settings/TomlReader.h>

#include <charconv>

#include <gio/gio.h>

namespace Loomreach
{

namespace
{

constexpr size_t cMinPeerKeyBytes = 16;

/// A key with an integer value.
struct IntegerKey
{
	std::string_view name;
	int64 DaemonConfig::*member;
	int64 min;
	int64 max;
};

/// A key with a string value.
struct TextKey
{
	std::string_view name;
	std::string DaemonConfig::*member;
	bool required;
	bool is_file; ///< The string is the path of a file that contains the value.
};

/// A key with a value of the form "ip:port".
struct AddressKey
{
	std::string_view name;
	Address DaemonConfig::*member;
};

constexpr std::array cIntegerKeys = {
	IntegerKey{"heartbeat_ms", &DaemonConfig::heartbeat_ms, 50, 10'000},
	IntegerKey{"suspect_after_ms", &DaemonConfig::suspect_after_ms, 200, 60'000},
	IntegerKey{"remove_after_ms", &DaemonConfig::remove_after_ms, 1000, 600'000},
	IntegerKey{"plan_interval_ms", &DaemonConfig::plan_interval_ms, 20, 10'000},
	IntegerKey{"worker_poll_ms", &DaemonConfig::worker_poll_ms, 50, 60'000},
	IntegerKey{"worker_pace_ms", &DaemonConfig::worker_pace_ms, 0, 10'000},
	IntegerKey{"snapshot_max_age_s", &DaemonConfig::snapshot_max_age_s, 10, 864'000},
	IntegerKey{"worker_lease_ms", &DaemonConfig::worker_lease_ms, 500, 600'000},
	IntegerKey{"worker_failed_after_ms", &DaemonConfig::worker_failed_after_ms, 200, 600'000},
	IntegerKey{"snapshot_every_records", &DaemonConfig::snapshot_every_records, 10, 1'000'000},
	IntegerKey{"append_per_s", &DaemonConfig::append_per_s, 1, 100},
	IntegerKey{"max_request_bytes", &DaemonConfig::max_request_bytes, 1024, 1 << 30},
	IntegerKey{"connect_timeout_ms", &DaemonConfig::connect_timeout_ms, 10, 60'000},
	IntegerKey{"claim_lease_ms", &DaemonConfig::claim_lease_ms, 500, 600'000},
	IntegerKey{"claim_quiet_ms", &DaemonConfig::claim_quiet_ms, 0, 3'600'000},
};

constexpr std::array cTextKeys = {
	TextKey{"name", &DaemonConfig::name, true, false},
	TextKey{"availability_zone", &DaemonConfig::availability_zone, true, false},
	TextKey{"region", &DaemonConfig::region, false, false},
	TextKey{"operators_token_file", &DaemonConfig::operators_token, false, true},
	TextKey{"peer_key_file", &DaemonConfig::peer_key, true, true},
};

constexpr std::array cAddressKeys = {
	AddressKey{"callers", &DaemonConfig::callers},
	AddressKey{"operators", &DaemonConfig::operators},
	AddressKey{"peers", &DaemonConfig::peers},
	AddressKey{"platform", &DaemonConfig::platform},
};

/// Reads one configuration document according to the tables above.
class ConfigReader
{
public:
	ConfigReader(std::string_view inFile, const std::string &inDirectory) : file(inFile), directory(inDirectory) {}

	bool Read(const toml::table &inDocument)
	{
		for (auto &&[key, value] : inDocument)
			if (!this->ReadKey(key, value))
				return false;
		return this->CheckDocument();
	}

	DaemonConfig config;

private:
	bool FailAt(const toml::source_region &inWhere, const std::string &inDetail)
	{
		return FailFalse(EError::BadConfig, PositionOf(inWhere, this->file) + ": " + inDetail);
	}

	bool ReadKey(const toml::key &inKey, const toml::node &inValue)
	{
		const std::string_view name = inKey.str();
		for (const IntegerKey &key : cIntegerKeys)
			if (key.name == name)
				return this->ReadInteger(key, inValue);
		for (const TextKey &key : cTextKeys)
			if (key.name == name)
				return this->ReadText(key, inValue);
		for (const AddressKey &key : cAddressKeys)
			if (key.name == name)
				return this->ReadAddress(inValue, name, this->config.*key.member);
		if (name == "seeds")
			return this->ReadSeeds(inValue);
		return this->FailAt(inKey.source(), "unknown key '" + std::string(name) + "'");
	}

	bool ReadInteger(const IntegerKey &inKey, const toml::node &inValue)
	{
		const std::string range = " from " + std::to_string(inKey.min) + " to " + std::to_string(inKey.max);
		const auto *number = inValue.as_integer();
		if (number == nullptr || **number < inKey.min || **number > inKey.max)
			return this->FailAt(inValue.source(), std::string(inKey.name) + ": expected a whole number" + range);
		this->config.*inKey.member = **number;
		return true;
	}

	bool ReadText(const TextKey &inKey, const toml::node &inValue)
	{
		const auto *text = inValue.as_string();
		if (text == nullptr || (**text).empty())
			return this->FailAt(inValue.source(), std::string(inKey.name) + ": expected text in quotes that is not empty");
		if (!inKey.is_file)
		{
			this->config.*inKey.member = **text;
			return true;
		}
		const std::string path = (**text).front() == '/' ? **text : this->directory + "/" + **text;
		std::optional<std::string> content = ReadFile(path);
		if (!content.has_value())
			return this->FailAt(inValue.source(), std::string(inKey.name) + ": " + LastReason().detail);
		while (!content->empty() && (content->back() == '\n' || content->back() == '\r'))
			content->pop_back();
		if (content->empty())
			return this->FailAt(inValue.source(), std::string(inKey.name) + ": the file is empty");
		this->config.*inKey.member = std::move(*content);
		return true;
	}

	bool ReadAddress(const toml::node &inValue, std::string_view inName, Address &outAddress)
	{
		const auto *text = inValue.as_string();
		std::optional<Address> address = text == nullptr ? std::nullopt : ParseAddress(**text);
		if (!address.has_value())
			return this->FailAt(inValue.source(), std::string(inName) + ": expected \"ip:port\" by numbers, such as \"127.0.0.1:8080\"");
		outAddress = std::move(*address);
		return true;
	}

	bool ReadSeeds(const toml::node &inValue)
	{
		const toml::array *array = inValue.as_array();
		if (array == nullptr)
			return this->FailAt(inValue.source(), "seeds: expected a list of \"ip:port\"");
		for (const toml::node &element : *array)
		{
			Address address;
			if (!this->ReadAddress(element, "seeds", address))
				return false;
			this->config.seeds.push_back(std::move(address));
		}
		return true;
	}

	bool CheckDocument()
	{
		const std::string where = std::string(this->file) + ": ";
		for (const TextKey &key : cTextKeys)
			if (key.required && (this->config.*key.member).empty())
				return FailFalse(EError::BadConfig, where + "missing key '" + std::string(key.name) + "'");
		for (const AddressKey &key : cAddressKeys)
			if ((this->config.*key.member).port == 0)
				return FailFalse(EError::BadConfig, where + "missing key '" + std::string(key.name) + "'");
		if (this->config.peer_key.size() < cMinPeerKeyBytes)
			return FailFalse(EError::BadConfig, where + "peer_key_file: expected at least 16 bytes");
		const bool loopback = this->config.operators.ip.starts_with("127.") || this->config.operators.ip == "::1";
		if (this->config.operators_token.empty() && !loopback)
			return FailFalse(EError::BadConfig, where + "operators: without operators_token_file the address must be loopback only");
		if (this->config.suspect_after_ms <= this->config.heartbeat_ms)
			return FailFalse(EError::BadConfig, where + "suspect_after_ms: expected more than heartbeat_ms");
		if (this->config.callers == this->config.operators)
			return FailFalse(EError::BadConfig, where + "callers and operators need addresses for listeners of their own");
		if (this->config.region.empty())
			this->config.region = this->config.availability_zone;
		return true;
	}

	std::string_view file;
	const std::string &directory;
};

} // namespace

std::optional<Address> ParseAddress(std::string_view inText)
{
	const size_t colon = inText.rfind(':');
	if (colon == std::string_view::npos)
		return Fail(EError::BadConfig, "expected ip:port");
	std::string ip(inText.substr(0, colon));
	if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
		ip = ip.substr(1, ip.size() - 2);
	const std::string_view digits = inText.substr(colon + 1);
	uint16 port = 0;
	const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
	const bool good_port = error == std::errc() && end == digits.data() + digits.size() && port != 0;
	if (!good_port || g_hostname_is_ip_address(ip.c_str()) == FALSE)
		return Fail(EError::BadConfig, "expected ip:port by numbers, with a port from 1 to 65535");
	return Address{std::move(ip), port};
}

std::optional<std::string> ReadFile(const std::string &inPath)
{
	gchar *content = nullptr;
	gsize length = 0;
	GError *error = nullptr;
	if (g_file_get_contents(inPath.c_str(), &content, &length, &error) == FALSE)
	{
		std::string why = error->message;
		g_error_free(error);
		return Fail(EError::BadConfig, std::move(why));
	}
	std::string text(content, length);
	g_free(content);
	return text;
}

std::optional<DaemonConfig> ParseDaemonConfig(std::string_view inText, std::string_view inFile, const std::string &inDirectory)
{
	const std::optional<toml::table> document = ParseToml(inText, inFile, EError::BadConfig);
	if (!document.has_value())
		return std::nullopt;
	ConfigReader reader(inFile, inDirectory);
	if (!reader.Read(*document))
		return std::nullopt;
	return std::move(reader.config);
}

} // namespace Loomreach
