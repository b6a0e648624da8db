// Takes a connection away from libsoup, writes the answer itself, and closes the connection.
//
// A socket that is closed while received bytes are unread sends a reset, and the client may lose the answer. So the sending side is closed
// first, and what still arrives is discarded until the client closes its side.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Entry/ConnectionGuard.h>
#include <Loomreach/Entry/EarlyAnswer.h>
#include <Loomreach/Entry/Headers.h>

namespace Loomreach
{

static constexpr Millis cMaxLingerMs = 1000;         ///< Time that a client has to read the answer.
static constexpr size_t cMaxLingerBytes = 256 << 10; ///< Of a client that goes on sending.
static constexpr uint32 cRetryAfterS = 1;

namespace
{

/// A connection whose answer has been written and whose client may still be sending.
class LingeringConnection
{
public:
	/// Deletes itself once the connection is closed.
	static void Start(ObjectPtr<GIOStream> inStream)
	{
		auto *self = new LingeringConnection;
		self->stream = std::move(inStream);
		GPollableInputStream *input = G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(self->stream.get()));
		self->source = g_pollable_input_stream_create_source(input, nullptr);
		g_source_set_callback(self->source, G_SOURCE_FUNC(&LingeringConnection::OnReadable), self, nullptr);
		g_source_attach(self->source, nullptr);
		self->timeout.Once(cMaxLingerMs, [self] { self->Close(); });
	}

private:
	static gboolean OnReadable(GObject *, gpointer inSelf)
	{
		auto *self = static_cast<LingeringConnection *>(inSelf);
		GPollableInputStream *input = G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(self->stream.get()));
		std::array<char, 8192> part{};
		ErrorPtr error;
		const gssize count = g_pollable_input_stream_read_nonblocking(input, part.data(), part.size(), nullptr, error.Out());
		if (count < 0 && error.Is(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			return G_SOURCE_CONTINUE;
		self->discarded += count > 0 ? static_cast<size_t>(count) : 0;
		if (count > 0 && self->discarded <= cMaxLingerBytes)
			return G_SOURCE_CONTINUE;
		self->Close();
		return G_SOURCE_REMOVE;
	}

	void Close()
	{
		g_source_destroy(this->source);
		g_source_unref(this->source);
		g_io_stream_close(this->stream.get(), nullptr, nullptr);
		// The timer's own callback may be running
		After(0, [this] { delete this; });
		this->timeout.Stop();
	}

	ObjectPtr<GIOStream> stream;
	GSource *source = nullptr;
	Timer timeout;
	size_t discarded = 0;
};

/// The answer as it is sent.
std::string TextOf(const ErrorAnswer &inRow, std::string_view inDetail)
{
	const std::string body = DumpJson({{"error", inRow.name}, {"detail", inDetail}});
	std::string text = "HTTP/1.1 " + std::to_string(inRow.http_status) + " " + std::string(inRow.name) + "\r\n";
	text += std::string(cHeaderOutcome) + ": " + std::string(OutcomeName(inRow.outcome)) + "\r\n";
	text += std::string(cHeaderReason) + ": " + std::string(inRow.name) + "\r\n";
	if (inRow.retryable)
		text += "Retry-After: " + std::to_string(cRetryAfterS) + "\r\n";
	text += "Connection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
	return text + body;
}

} // namespace

void RefuseEarly(SoupServerMessage &ioMessage, EError inError, std::string_view inDetail)
{
	GSocket *connected = SocketOf(ioMessage);
	const ObjectPtr<GSocket> socket(connected == nullptr ? nullptr : static_cast<GSocket *>(g_object_ref(connected)));
	ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(&ioMessage));
	if (stream == nullptr)
		return;
	const std::string text = TextOf(AnswerOf(inError), inDetail);
	GOutputStream *output = g_io_stream_get_output_stream(stream.get());
	// A socket whose send buffer has no room for these bytes has a client that doesn't read: it gets no answer
	ErrorPtr error;
	const gssize sent =
		g_pollable_output_stream_write_nonblocking(G_POLLABLE_OUTPUT_STREAM(output), text.data(), text.size(), nullptr, error.Out());
	const bool lingers =
		sent == static_cast<gssize>(text.size()) && socket != nullptr && g_socket_shutdown(socket.get(), FALSE, TRUE, nullptr) != FALSE;
	if (!lingers)
	{
		g_io_stream_close(stream.get(), nullptr, nullptr);
		return;
	}
	LingeringConnection::Start(std::move(stream));
}

bool AnnouncesBodyOver(SoupServerMessage &inMessage, uint64 inBytes)
{
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(&inMessage);
	const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
	if (encoding == SOUP_ENCODING_CHUNKED)
		return true;
	return encoding == SOUP_ENCODING_CONTENT_LENGTH &&
		   static_cast<uint64>(std::max<goffset>(soup_message_headers_get_content_length(headers), 0)) > inBytes;
}

} // namespace Loomreach
