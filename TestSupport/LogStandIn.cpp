// The fake log service: appends under a token-bucket rate limit, and reads by offset.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <TestSupport/LogStandIn.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace Loomreach
{

static constexpr double cAppendsPerSecond = 100.0;
static constexpr double cBurstAppends = 100.0;
static constexpr uint64 cMaxRecordsPerRead = 1000;
static constexpr uint32 cTooManyRequests = 429;

void AnswerJson(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inText)
{
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, inText.data(), inText.size());
	soup_server_message_set_status(inMessage, inStatus, nullptr);
}

std::string QueryParameter(GHashTable *inQuery, const char *inKey)
{
	const void *value = inQuery == nullptr ? nullptr : g_hash_table_lookup(inQuery, inKey);
	return value == nullptr ? std::string() : std::string(static_cast<const char *>(value));
}

bool LogStandIn::TakeToken()
{
	const Millis now = NowMillis();
	this->tokens = std::min(cBurstAppends, this->tokens + static_cast<double>(now - this->refilled_at) * cAppendsPerSecond / 1000.0);
	this->refilled_at = now;
	if (this->tokens < 1.0)
		return false;
	this->tokens -= 1.0;
	return true;
}

void LogStandIn::Handle(SoupServerMessage *inMessage, const std::string &inStream, GHashTable *inQuery)
{
	Stream &stream = this->streams[inStream];
	if (std::string_view(soup_server_message_get_method(inMessage)) == "POST")
		return this->Append(inMessage, stream);
	this->Read(inMessage, stream, inQuery);
}

void LogStandIn::Append(SoupServerMessage *inMessage, Stream &ioStream)
{
	if (!this->TakeToken())
	{
		++this->throttled;
		return AnswerJson(inMessage, cTooManyRequests, "{}");
	}
	GBytes *bytes = soup_message_body_flatten(soup_server_message_get_request_body(inMessage));
	gsize size = 0;
	const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
	ioStream.records.emplace_back(data == nullptr ? "" : data, size);
	g_bytes_unref(bytes);
	++this->appends;
	const LogOffset offset = ioStream.first + ioStream.records.size() - 1;
	while (ioStream.records.size() > this->faults.retention)
	{
		ioStream.records.pop_front();
		++ioStream.first;
	}
	if (this->random.Chance(this->faults.lose_percent))
	{
		// The append has taken effect, but its answer is lost
		const ObjectPtr<GIOStream> connection(soup_server_message_steal_connection(inMessage));
		if (connection != nullptr)
			g_io_stream_close(connection.get(), nullptr, nullptr);
		return;
	}
	AnswerJson(inMessage, SOUP_STATUS_OK, nlohmann::json{{"offset", offset}}.dump());
}

void LogStandIn::Read(SoupServerMessage *inMessage, const Stream &inStream, GHashTable *inQuery)
{
	const LogOffset from = std::strtoull(QueryParameter(inQuery, "from").c_str(), nullptr, 10);
	const uint64 max = std::min<uint64>(cMaxRecordsPerRead, std::strtoull(QueryParameter(inQuery, "max").c_str(), nullptr, 10));
	const LogOffset next = inStream.first + inStream.records.size();
	nlohmann::json records = nlohmann::json::array();
	for (LogOffset offset = std::max(from, inStream.first); offset < next && records.size() < max; ++offset)
	{
		const std::string &bytes = inStream.records[offset - inStream.first];
		gchar *text = g_base64_encode(reinterpret_cast<const guchar *>(bytes.data()), bytes.size());
		records.push_back({{"offset", offset}, {"data", text}});
		g_free(text);
	}
	AnswerJson(inMessage, SOUP_STATUS_OK,
			   nlohmann::json{{"first", inStream.first}, {"next", next}, {"records", std::move(records)}}.dump());
}

} // namespace Loomreach
