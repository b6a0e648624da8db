// Collects the body of each request in one buffer, and counts its bytes and chunks as they arrive.
//
// libsoup would keep a buffer of its own for each chunk, and that one is as large as its reads, whatever the chunk's size.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Entry/BodyLimit.h>
#include <Loomreach/Entry/ConnectionGuard.h>
#include <Loomreach/Entry/EarlyAnswer.h>
#include <Loomreach/Entry/Headers.h>

namespace Loomreach
{

/// A client that sends this many times the limit is not waiting for an answer.
static constexpr uint64 cMaxDiscardedFactor = 64;
/// Chunks have at least this mean size, bytes, once there are more than cFreeChunks: each costs the work of a read and of a line of text.
static constexpr uint64 cMinMeanChunkBytes = 32;
static constexpr uint64 cFreeChunks = 512;
static constexpr const char *cBodyKey = "loomreach-body";

namespace
{

/// What has arrived of the body of one request. Invariant: `text` is empty once the request is refused.
struct ReceivedBody
{
	size_t max_bytes = 0;
	uint64 received = 0;
	uint64 chunks = 0;
	bool is_chunked = false;
	bool refused = false;
	std::string text = {};
};

ReceivedBody *BodyOf(SoupServerMessage *inMessage) { return static_cast<ReceivedBody *>(g_object_get_data(G_OBJECT(inMessage), cBodyKey)); }

/// Drops what has arrived and sets the answer, which makes the server skip its handlers.
void Refuse(SoupServerMessage *inMessage, ReceivedBody &ioBody)
{
	if (std::exchange(ioBody.refused, true))
		return;
	ioBody.text = std::string();
	const ErrorAnswer &row = AnswerOf(EError::TooLarge);
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(inMessage);
	soup_message_headers_replace(headers, cHeaderOutcome, std::string(OutcomeName(row.outcome)).c_str());
	soup_message_headers_replace(headers, cHeaderReason, std::string(row.name).c_str());
	soup_message_headers_replace(headers, "Connection", "close");
	const std::string text = DumpJson({{"error", row.name}});
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	soup_server_message_set_status(inMessage, row.http_status, nullptr);
}

void OnHead(SoupServerMessage *inMessage, gpointer)
{
	ReceivedBody &body = *BodyOf(inMessage);
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(inMessage);
	const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
	body.is_chunked = encoding == SOUP_ENCODING_CHUNKED;
	const bool has_length = encoding == SOUP_ENCODING_CONTENT_LENGTH;
	if (has_length && static_cast<uint64>(std::max<goffset>(soup_message_headers_get_content_length(headers), 0)) > body.max_bytes)
		Refuse(inMessage, body);
}

/// Closes the connection of a request that goes on far beyond its limit.
void Abort(SoupServerMessage *inMessage)
{
	const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(inMessage));
	if (stream != nullptr)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

void OnChunk(SoupServerMessage *inMessage, GBytes *inBytes, gpointer)
{
	ReceivedBody &body = *BodyOf(inMessage);
	gsize size = 0;
	const void *data = g_bytes_get_data(inBytes, &size);
	body.received += size;
	++body.chunks;
	if (body.received > body.max_bytes)
		Refuse(inMessage, body);
	if (body.received > body.max_bytes * cMaxDiscardedFactor)
		return Abort(inMessage);
	if (body.is_chunked && body.chunks > cFreeChunks + body.received / cMinMeanChunkBytes)
	{
		body.text = std::string();
		return RefuseEarly(*inMessage, EError::BadRequest, "chunks of less than 32 bytes on average");
	}
	if (body.refused)
		return;
	body.text.append(static_cast<const char *>(data), size);
	Connection *connection = ConnectionOf(*inMessage);
	if (connection == nullptr || connection->SetBodyBytes(body.text.capacity()))
		return;
	body.text = std::string();
	connection->SetBodyBytes(0);
	RefuseEarly(*inMessage, EError::QueueFull, "unfinished requests take as much memory as they may");
}

void OnRequest(SoupServer *, SoupServerMessage *inMessage, gpointer inMaxBytes)
{
	const auto delete_body = [](gpointer inBody) { delete static_cast<ReceivedBody *>(inBody); };
	g_object_set_data_full(G_OBJECT(inMessage), cBodyKey, new ReceivedBody{*static_cast<size_t *>(inMaxBytes)}, delete_body);
	soup_message_body_set_accumulate(soup_server_message_get_request_body(inMessage), FALSE);
	g_signal_connect(inMessage, "got-headers", G_CALLBACK(&OnHead), nullptr);
	g_signal_connect(inMessage, "got-chunk", G_CALLBACK(&OnChunk), nullptr);
}

} // namespace

void LimitBodies(SoupServer &ioServer, size_t inMaxBytes)
{
	g_signal_connect_data(
		&ioServer, "request-started", G_CALLBACK(&OnRequest), new size_t(inMaxBytes),
		[](gpointer inHeld, GClosure *) { delete static_cast<size_t *>(inHeld); }, static_cast<GConnectFlags>(0));
}

std::string_view ViewBody(SoupServerMessage &inMessage)
{
	const ReceivedBody *body = BodyOf(&inMessage);
	return body == nullptr ? std::string_view() : std::string_view(body->text);
}

std::string TakeBody(SoupServerMessage &ioMessage)
{
	ReceivedBody *body = BodyOf(&ioMessage);
	return body == nullptr ? std::string() : std::exchange(body->text, {});
}

uint64 ReceivedBytes(SoupServerMessage &inMessage)
{
	const ReceivedBody *body = BodyOf(&inMessage);
	return body == nullptr ? 0 : body->received;
}

} // namespace Loomreach
