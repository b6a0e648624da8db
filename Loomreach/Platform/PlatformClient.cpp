// Encodes the calls to the platform and decodes its JSON.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Platform/PlatformClient.h>

namespace Loomreach
{

using Json = nlohmann::json;

static constexpr uint64 cMaxAmount = 1'000'000'000'000; ///< Of a host's resources; far above any host's.
static constexpr uint32 cHttpNotModified = 304;
static constexpr Millis cAppendTimeoutMs = 3000;
static constexpr Millis cReadTimeoutMs = 3000;

/// Unsigned integer in a field of an object; nothing if absent or of another type.
static std::optional<uint64> UnsignedOf(const Json &inObject, const char *inKey)
{
	auto found = inObject.find(inKey);
	if (found == inObject.end() || !found->is_number_unsigned())
		return std::nullopt;
	return found->get<uint64>();
}

/// The same, at most `inMost`; 0 by default. Sums of what hosts have must not overflow.
static uint64 AmountOf(const Json &inObject, const char *inKey, uint64 inMost)
{
	return std::min(UnsignedOf(inObject, inKey).value_or(0), inMost);
}

/// String in a field of an object; empty if absent or of another type.
static std::string TextOfKey(const Json &inObject, const char *inKey)
{
	auto found = inObject.find(inKey);
	return found == inObject.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

std::optional<LogPage> ParseLogPage(const std::string &inBody)
{
	const Json body = ParseJson(inBody).value_or(Json());
	if (!body.is_object())
		return Fail(EError::Corrupt, "the platform's log page is not a JSON object");
	const std::optional<uint64> first = UnsignedOf(body, "first");
	const std::optional<uint64> next = UnsignedOf(body, "next");
	auto records = body.find("records");
	if (!first.has_value() || !next.has_value() || records == body.end() || !records->is_array())
		return Fail(EError::Corrupt, "the platform's log page lacks first, next or records");
	LogPage page{*first, *next, {}};
	for (const Json &record : *records)
	{
		const std::optional<uint64> offset = record.is_object() ? UnsignedOf(record, "offset") : std::nullopt;
		if (!offset.has_value())
			return Fail(EError::Corrupt, "a record of the platform's log page lacks its offset");
		const std::string data = TextOfKey(record, "data");
		gsize length = 0;
		guchar *bytes = g_base64_decode(data.c_str(), &length);
		page.records.push_back({*offset, std::string(reinterpret_cast<const char *>(bytes), length)});
		g_free(bytes);
	}
	return page;
}

/// Decodes one host of the list; fails with `EError::Corrupt` if it lacks a name or a valid address.
static std::optional<ListedHost> ParseHost(const Json &inHost)
{
	if (!inHost.is_object())
		return Fail(EError::Corrupt, "an entry of the host list is not a JSON object");
	ListedHost host;
	host.spec.name = TextOfKey(inHost, "name");
	std::optional<Address> address = ParseAddress(TextOfKey(inHost, "address"));
	if (host.spec.name.empty() || !address.has_value())
		return Fail(EError::Corrupt, "an entry of the host list lacks its name or a valid address");
	host.spec.address = std::move(*address);
	host.spec.region = TextOfKey(inHost, "region");
	host.spec.availability_zone = TextOfKey(inHost, "availability_zone");
	host.spec.rack = TextOfKey(inHost, "rack");
	host.spec.capacity.cpu_milli = static_cast<int64>(AmountOf(inHost, "cpu_milli", cMaxAmount));
	host.spec.capacity.memory_mb = static_cast<int64>(AmountOf(inHost, "memory_mb", cMaxAmount));
	host.spec.capacity.accelerators = static_cast<int64>(AmountOf(inHost, "accelerators", cMaxAmount));
	host.spec.slots = static_cast<uint32>(AmountOf(inHost, "slots", UINT32_MAX));
	host.spec.connections = static_cast<uint32>(AmountOf(inHost, "connections", UINT32_MAX));
	host.pool = TextOfKey(inHost, "pool");
	host.leaving = TextOfKey(inHost, "state") == "leaving";
	return host;
}

std::optional<std::map<std::string, ListedHost>> ParseHostList(const std::string &inBody)
{
	const Json body = ParseJson(inBody).value_or(Json());
	if (!body.is_array())
		return Fail(EError::Corrupt, "the host list is not a JSON array");
	std::map<std::string, ListedHost> hosts;
	for (const Json &element : body)
	{
		std::optional<ListedHost> host = ParseHost(element);
		if (!host.has_value())
			return std::nullopt;
		const std::string name = host->spec.name;
		hosts.emplace(name, std::move(*host));
	}
	return hosts;
}

void PlatformClient::Append(std::string_view inStream, std::string inBytes, std::function<void(std::optional<LogOffset>)> inDone)
{
	HttpCall call;
	call.method = "POST";
	call.to = this->platform;
	call.path = "/log/" + std::string(inStream);
	call.body = std::move(inBytes);
	call.content_type = "application/octet-stream";
	call.timeout_ms = cAppendTimeoutMs;
	this->http.Start(call,
					 [done = std::move(inDone)](const HttpResult &inResult)
					 {
						 const Json body = inResult.IsOk() ? ParseJson(inResult.body).value_or(Json()) : Json();
						 done(body.is_object() ? UnsignedOf(body, "offset") : std::nullopt);
					 });
}

void PlatformClient::Read(std::string_view inStream, LogOffset inFrom, uint32 inMax, std::function<void(std::optional<LogPage>)> inDone)
{
	HttpCall call;
	call.to = this->platform;
	call.path = "/log/" + std::string(inStream) + "?from=" + std::to_string(inFrom) + "&max=" + std::to_string(inMax);
	call.timeout_ms = cReadTimeoutMs;
	this->http.Start(call, [done = std::move(inDone)](const HttpResult &inResult)
					 { done(inResult.IsOk() ? ParseLogPage(inResult.body) : std::nullopt); });
}

void PlatformClient::ReadHosts(std::function<void(HostListResult)> inDone)
{
	HttpCall call;
	call.to = this->platform;
	call.path = "/hosts";
	call.timeout_ms = cReadTimeoutMs;
	if (!this->list_etag.empty())
		call.headers.emplace_back("If-None-Match", this->list_etag);
	this->http.Start(call,
					 [this, done = std::move(inDone)](const HttpResult &inResult)
					 {
						 HostListResult result;
						 if (inResult.status == cHttpNotModified)
							 result.answered = true;
						 else if (inResult.IsOk())
						 {
							 result.hosts = ParseHostList(inResult.body);
							 result.answered = result.hosts.has_value();
							 // Without the entity tag, the next read fetches a malformed list again
							 this->list_etag = result.answered ? inResult.etag : std::string();
						 }
						 done(std::move(result));
					 });
}

void PlatformClient::Reboot(const std::string &inHost, uint64 inBoot, std::function<void(bool)> inDone)
{
	HttpCall call;
	call.method = "POST";
	call.to = this->platform;
	call.path = "/hosts/" + UrlEscape(inHost) + "/reboot?boot=" + std::to_string(inBoot);
	call.timeout_ms = cReadTimeoutMs;
	this->http.Start(call, [done = std::move(inDone)](const HttpResult &inResult) { done(inResult.IsOk()); });
}

} // namespace Loomreach
