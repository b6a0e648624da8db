// Counts the bytes of each request's body as they arrive.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Entry/BodyLimit.h>
#include <Loomreach/Entry/Headers.h>

namespace Loomreach
{

/// A client that sends this many times the limit is not waiting for an answer.
static constexpr uint64 cMaxDiscardedFactor = 64;

namespace
{

/// What has arrived of the body of one request.
struct BodyCount
{
	size_t max_bytes = 0;
	uint64 received = 0;
	bool refused = false;
};

void Delete(gpointer inCount, GClosure *) { delete static_cast<BodyCount *>(inCount); }

/// Drops what has arrived and sets the answer, which makes the server skip its handlers.
void Refuse(SoupServerMessage *inMessage, BodyCount &ioCount)
{
	if (std::exchange(ioCount.refused, true))
		return;
	SoupMessageBody *body = soup_server_message_get_request_body(inMessage);
	soup_message_body_set_accumulate(body, FALSE);
	soup_message_body_truncate(body);
	const ErrorAnswer &row = AnswerOf(EError::TooLarge);
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(inMessage);
	soup_message_headers_replace(headers, cHeaderOutcome, std::string(OutcomeName(row.outcome)).c_str());
	soup_message_headers_replace(headers, cHeaderReason, std::string(row.name).c_str());
	soup_message_headers_replace(headers, "Connection", "close");
	const std::string text = DumpJson({{"error", row.name}});
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	soup_server_message_set_status(inMessage, row.http_status, nullptr);
}

void OnHead(SoupServerMessage *inMessage, gpointer inCount)
{
	BodyCount &count = *static_cast<BodyCount *>(inCount);
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(inMessage);
	const bool has_length = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
	if (has_length && static_cast<uint64>(std::max<goffset>(soup_message_headers_get_content_length(headers), 0)) > count.max_bytes)
		Refuse(inMessage, count);
}

void OnChunk(SoupServerMessage *inMessage, GBytes *inBytes, gpointer inCount)
{
	BodyCount &count = *static_cast<BodyCount *>(inCount);
	count.received += g_bytes_get_size(inBytes);
	if (count.received > count.max_bytes)
		Refuse(inMessage, count);
	if (count.received <= count.max_bytes * cMaxDiscardedFactor)
		return;
	const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(inMessage));
	if (stream != nullptr)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

void OnRequest(SoupServer *, SoupServerMessage *inMessage, gpointer inMaxBytes)
{
	// Both handlers share the count; the one that is connected last, and so is removed with it, owns it
	auto *count = new BodyCount{*static_cast<size_t *>(inMaxBytes)};
	g_signal_connect(inMessage, "got-headers", G_CALLBACK(&OnHead), count);
	g_signal_connect_data(inMessage, "got-chunk", G_CALLBACK(&OnChunk), count, &Delete, static_cast<GConnectFlags>(0));
}

} // namespace

void LimitBodies(SoupServer &ioServer, size_t inMaxBytes)
{
	g_signal_connect_data(
		&ioServer, "request-started", G_CALLBACK(&OnRequest), new size_t(inMaxBytes),
		[](gpointer inHeld, GClosure *) { delete static_cast<size_t *>(inHeld); }, static_cast<GConnectFlags>(0));
}

} // namespace Loomreach
