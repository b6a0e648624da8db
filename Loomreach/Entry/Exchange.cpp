// Writes answers to the messages of libsoup.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Entry/Exchange.h>
#include <Loomreach/Entry/Headers.h>

namespace Loomreach
{

Exchange::Exchange(SoupServerMessage *inMessage, std::string inEntry) : message(Share(inMessage)), entry(std::move(inEntry))
{
	soup_server_message_pause(inMessage);
	this->handlers[0] = g_signal_connect(inMessage, "finished", G_CALLBACK(&Exchange::OnFinished), this);
	this->handlers[1] = g_signal_connect(inMessage, "disconnected", G_CALLBACK(&Exchange::OnDisconnected), this);
	this->handlers[2] = g_signal_connect(inMessage, "wrote-chunk", G_CALLBACK(&Exchange::OnWroteChunk), this);
}

Exchange::~Exchange()
{
	LOOM_INVARIANT(this->answered || this->caller_disconnected, "every caller gets an answer");
	for (gulong handler : this->handlers)
		g_signal_handler_disconnect(this->message.get(), handler);
}

void Exchange::HandleDisconnect()
{
	if (this->caller_disconnected)
		return;
	this->caller_disconnected = true;
	// The callback may hold the last reference to the sender of the chunk, which must outlive the call of on_caller_disconnected
	const std::function<void()> keep_alive = std::move(this->on_chunk_written);
	this->on_chunk_written = nullptr;
	// The callback may destroy this object
	const std::function<void()> callback = this->on_caller_disconnected;
	if (callback)
		callback();
}

void Exchange::NotifyWritten()
{
	// The callback may destroy this object
	const std::function<void()> callback = std::move(this->on_written);
	this->on_written = nullptr;
	if (callback)
		callback();
}

void Exchange::OnFinished(SoupServerMessage *, gpointer inSelf)
{
	Exchange *self = static_cast<Exchange *>(inSelf);
	// If the message finishes before its answer is complete, the caller has disconnected
	if (!self->answered || self->streaming)
		return self->HandleDisconnect();
	self->NotifyWritten();
}

void Exchange::OnDisconnected(SoupServerMessage *inMessage, gpointer inSelf) { OnFinished(inMessage, inSelf); }

void Exchange::OnWroteChunk(SoupServerMessage *, gpointer inSelf)
{
	Exchange *self = static_cast<Exchange *>(inSelf);
	const std::function<void()> callback = std::move(self->on_chunk_written);
	self->on_chunk_written = nullptr;
	if (callback)
		callback();
}

void Exchange::SetOutcome(EOutcome inOutcome, EError inReason)
{
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(this->message.get());
	soup_message_headers_replace(headers, cHeaderOutcome, std::string(OutcomeName(inOutcome)).c_str());
	soup_message_headers_replace(headers, cHeaderEntry, this->entry.c_str());
	if (inReason != EError::None)
		soup_message_headers_replace(headers, cHeaderReason, std::string(AnswerOf(inReason).name).c_str());
}

void Exchange::Refuse(EError inError, uint32 inRetryAfterS, std::string_view inDetail)
{
	const ErrorAnswer &row = AnswerOf(inError);
	const nlohmann::json body = {
		{"error", row.name}, {"outcome", OutcomeName(row.outcome)}, {"meaning", row.meaning}, {"detail", inDetail}};
	if (row.retryable)
	{
		SoupMessageHeaders *headers = soup_server_message_get_response_headers(this->message.get());
		soup_message_headers_replace(headers, "Retry-After", std::to_string(std::max<uint32>(1, inRetryAfterS)).c_str());
	}
	this->Answer(row.http_status, "application/json", DumpJson(body) + "\n", row.outcome, inError);
}

void Exchange::Answer(uint32 inStatus, std::string_view inContentType, std::string_view inBody, EOutcome inOutcome, EError inReason)
{
	LOOM_INVARIANT(!this->answered, "a request is answered once");
	this->answered = true;
	if (this->caller_disconnected)
		return;
	this->SetOutcome(inOutcome, inReason);
	soup_server_message_set_status(this->message.get(), inStatus, nullptr);
	const std::string type = inContentType.empty() ? "application/octet-stream" : std::string(inContentType);
	soup_server_message_set_response(this->message.get(), type.c_str(), SOUP_MEMORY_COPY, inBody.data(), inBody.size());
	soup_server_message_unpause(this->message.get());
}

void Exchange::CopyHeaders(SoupMessageHeaders *inHeaders)
{
	// Date and Server are not hop-by-hop, but libsoup writes them itself
	static constexpr std::array<std::string_view, 10> cHopByHop = {
		"connection", "keep-alive", "transfer-encoding",  "content-length", "upgrade",
		"trailer",    "te",         "proxy-authenticate", "date",           "server"};
	SoupMessageHeaders *to = soup_server_message_get_response_headers(this->message.get());
	SoupMessageHeadersIter iterator;
	const char *name = nullptr;
	const char *value = nullptr;
	soup_message_headers_iter_init(&iterator, inHeaders);
	while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE)
	{
		const bool hop_by_hop =
			std::any_of(cHopByHop.begin(), cHopByHop.end(),
						[name](std::string_view inName) { return g_ascii_strcasecmp(std::string(inName).c_str(), name) == 0; });
		if (!hop_by_hop)
			soup_message_headers_append(to, name, value);
	}
}

void Exchange::BeginStream(uint32 inStatus, SoupMessageHeaders *inHeaders, int64 inLength)
{
	LOOM_INVARIANT(!this->answered, "a request is answered once");
	this->answered = true;
	this->streaming = true;
	if (this->caller_disconnected)
		return;
	this->CopyHeaders(inHeaders);
	this->SetOutcome(EOutcome::Ran, EError::None);
	SoupMessageHeaders *to = soup_server_message_get_response_headers(this->message.get());
	if (inLength >= 0)
		soup_message_headers_set_content_length(to, inLength);
	else
		soup_message_headers_set_encoding(to, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(this->message.get()), FALSE);
	soup_server_message_set_status(this->message.get(), inStatus, nullptr);
}

void Exchange::WriteChunk(GBytes *inBytes, std::function<void()> inOnWritten)
{
	if (this->caller_disconnected)
		return;
	this->on_chunk_written = std::move(inOnWritten);
	soup_message_body_append_bytes(soup_server_message_get_response_body(this->message.get()), inBytes);
	soup_server_message_unpause(this->message.get());
}

void Exchange::EndStream()
{
	this->streaming = false;
	if (this->caller_disconnected)
		return;
	soup_message_body_complete(soup_server_message_get_response_body(this->message.get()));
	soup_server_message_unpause(this->message.get());
}

void Exchange::AbortConnection()
{
	this->answered = true;
	if (this->caller_disconnected)
		return;
	this->caller_disconnected = true;
	this->streaming = false;
	const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(this->message.get()));
	if (stream != nullptr)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

} // namespace Loomreach
