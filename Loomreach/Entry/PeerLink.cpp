// Sockets of GLib, and the framing of requests and replies on TCP: a length of 4 bytes, big endian, then the sealed message.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/PeerLink.h>

namespace Loomreach
{

namespace
{

constexpr size_t cLengthBytes = 4;
/// Bytes that a sealed frame may have beyond its content: the authentication code and the header.
constexpr size_t cFrameOverheadBytes = 64;
constexpr guint cConnectionTimeoutS = 10;
/// Datagrams read in one call of the main loop.
constexpr int cMaxDatagramsPerWakeup = 64;

/// Reads one frame: its length, then as many bytes. Calls back once, with nothing on any error.
struct FrameReader
{
	ObjectPtr<GInputStream> stream;
	ObjectPtr<GCancellable> cancellable;
	size_t max_bytes = 0;
	std::array<uint8, cLengthBytes> length{};
	std::string bytes;
	std::function<void(std::optional<std::string>)> done;

	static void Start(std::unique_ptr<FrameReader> inReader)
	{
		FrameReader *raw = inReader.release();
		g_input_stream_read_all_async(raw->stream.get(), raw->length.data(), cLengthBytes, G_PRIORITY_DEFAULT, raw->cancellable.get(),
									  &OnLength, raw);
	}

	static void OnLength(GObject *inStream, GAsyncResult *inResult, gpointer inReader)
	{
		std::unique_ptr<FrameReader> reader(static_cast<FrameReader *>(inReader));
		gsize got = 0;
		const bool good = g_input_stream_read_all_finish(G_INPUT_STREAM(inStream), inResult, &got, nullptr) != FALSE && got == cLengthBytes;
		size_t expected = 0;
		for (uint8 byte : reader->length)
			expected = expected << 8 | byte;
		if (!good || expected == 0 || expected > reader->max_bytes)
			return reader->done(std::nullopt);
		reader->bytes.resize(expected);
		FrameReader *raw = reader.release();
		g_input_stream_read_all_async(raw->stream.get(), raw->bytes.data(), expected, G_PRIORITY_DEFAULT, raw->cancellable.get(), &OnBytes,
									  raw);
	}

	static void OnBytes(GObject *inStream, GAsyncResult *inResult, gpointer inReader)
	{
		const std::unique_ptr<FrameReader> reader(static_cast<FrameReader *>(inReader));
		gsize got = 0;
		const bool good =
			g_input_stream_read_all_finish(G_INPUT_STREAM(inStream), inResult, &got, nullptr) != FALSE && got == reader->bytes.size();
		reader->done(good ? std::optional(std::move(reader->bytes)) : std::nullopt);
	}
};

/// Writes one frame. Calls back once with whether all of it was written.
struct FrameWriter
{
	ObjectPtr<GOutputStream> stream;
	ObjectPtr<GCancellable> cancellable;
	std::string bytes;
	std::function<void(bool)> done;

	static void Start(std::unique_ptr<FrameWriter> inWriter)
	{
		std::string framed;
		for (int shift = 24; shift >= 0; shift -= 8)
			framed += static_cast<char>((inWriter->bytes.size() >> shift) & 0xff);
		framed += inWriter->bytes;
		inWriter->bytes = std::move(framed);
		FrameWriter *raw = inWriter.release();
		g_output_stream_write_all_async(raw->stream.get(), raw->bytes.data(), raw->bytes.size(), G_PRIORITY_DEFAULT, raw->cancellable.get(),
										&OnWritten, raw);
	}

	static void OnWritten(GObject *inStream, GAsyncResult *inResult, gpointer inWriter)
	{
		const std::unique_ptr<FrameWriter> writer(static_cast<FrameWriter *>(inWriter));
		writer->done(g_output_stream_write_all_finish(G_OUTPUT_STREAM(inStream), inResult, nullptr, nullptr) != FALSE);
	}
};

ObjectPtr<GSocketAddress> SocketAddress(const Address &inAddress)
{
	return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(inAddress.ip.c_str(), inAddress.port));
}

} // namespace

/// A request to a peer, from its connection to its reply.
struct PeerLink::OutgoingRequest : std::enable_shared_from_this<PeerLink::OutgoingRequest>
{
	PeerLink *link = nullptr;
	std::shared_ptr<bool> alive;
	uint64 nonce = 0;
	std::string sealed;
	ReplyCallback done;
	ObjectPtr<GSocketClient> client;
	ObjectPtr<GSocketConnection> connection;
	ObjectPtr<GCancellable> cancellable;
	guint timeout = 0;

	void Finish(std::optional<PeerReply> inReply)
	{
		if (this->timeout != 0)
			g_source_remove(this->timeout);
		this->timeout = 0;
		ReplyCallback callback = std::move(this->done);
		this->done = nullptr;
		if (callback && *this->alive)
			callback(std::move(inReply));
	}

	static gboolean OnTimeout(gpointer inRequest)
	{
		OutgoingRequest *request = static_cast<OutgoingRequest *>(inRequest);
		request->timeout = 0;
		g_cancellable_cancel(request->cancellable.get());
		return G_SOURCE_REMOVE;
	}

	static void OnConnected(GObject *inClient, GAsyncResult *inResult, gpointer inHolder)
	{
		const std::unique_ptr<std::shared_ptr<OutgoingRequest>> holder(static_cast<std::shared_ptr<OutgoingRequest> *>(inHolder));
		const std::shared_ptr<OutgoingRequest> self = *holder;
		self->connection.reset(g_socket_client_connect_finish(G_SOCKET_CLIENT(inClient), inResult, nullptr));
		if (self->connection == nullptr)
			return self->Finish(std::nullopt);
		auto writer = std::make_unique<FrameWriter>();
		writer->stream = Share(g_io_stream_get_output_stream(G_IO_STREAM(self->connection.get())));
		writer->cancellable = Share(self->cancellable.get());
		writer->bytes = std::move(self->sealed);
		writer->done = [self](bool inGood) { inGood ? self->ReadReply() : self->Finish(std::nullopt); };
		FrameWriter::Start(std::move(writer));
	}

	void ReadReply()
	{
		auto reader = std::make_unique<FrameReader>();
		reader->stream = Share(g_io_stream_get_input_stream(G_IO_STREAM(this->connection.get())));
		reader->cancellable = Share(this->cancellable.get());
		reader->max_bytes = cMaxReplyFrameBytes + cFrameOverheadBytes;
		reader->done = [self = this->shared_from_this()](std::optional<std::string> inBytes) { self->TakeReply(std::move(inBytes)); };
		FrameReader::Start(std::move(reader));
	}

	void TakeReply(std::optional<std::string> inBytes)
	{
		if (!inBytes.has_value() || !*this->alive)
			return this->Finish(std::nullopt);
		this->link->metrics.Count(ECounter::PeerBytes, "tcp-in", inBytes->size());
		std::optional<ReplyFrame> frame = this->link->codec.OpenReply(*inBytes);
		if (frame.has_value() && frame->nonce != this->nonce)
			frame = Fail(EError::Replayed, "a reply to another request");
		if (!frame.has_value())
		{
			this->link->Reject();
			return this->Finish(std::nullopt);
		}
		this->Finish(std::move(frame->reply));
	}
};

/// A connection of a peer, from its request to the reply.
struct PeerLink::IncomingRequest : std::enable_shared_from_this<PeerLink::IncomingRequest>
{
	PeerLink *link = nullptr;
	std::shared_ptr<bool> alive;
	ObjectPtr<GSocketConnection> connection;

	void Start()
	{
		auto reader = std::make_unique<FrameReader>();
		reader->stream = Share(g_io_stream_get_input_stream(G_IO_STREAM(this->connection.get())));
		reader->max_bytes = cMaxRequestFrameBytes + cFrameOverheadBytes;
		reader->done = [self = this->shared_from_this()](const std::optional<std::string> &inBytes) { self->Answer(inBytes); };
		FrameReader::Start(std::move(reader));
	}

	void Answer(const std::optional<std::string> &inBytes)
	{
		if (!inBytes.has_value() || !*this->alive)
			return;
		this->link->metrics.Count(ECounter::PeerBytes, "tcp-in", inBytes->size());
		const std::optional<RequestFrame> frame = this->link->codec.OpenRequest(*inBytes);
		if (!frame.has_value())
			return this->link->Reject();
		auto writer = std::make_unique<FrameWriter>();
		writer->stream = Share(g_io_stream_get_output_stream(G_IO_STREAM(this->connection.get())));
		writer->bytes = this->link->codec.SealReply({frame->nonce, this->link->on_request(frame->request)});
		writer->done = [self = this->shared_from_this()](bool)
		{ g_io_stream_close(G_IO_STREAM(self->connection.get()), nullptr, nullptr); };
		this->link->metrics.Count(ECounter::PeerBytes, "tcp-out", writer->bytes.size());
		FrameWriter::Start(std::move(writer));
	}
};

PeerLink::PeerLink(Address inAddress, const PeerCodec &inCodec, Metrics &ioMetrics)
	: address(std::move(inAddress)), codec(inCodec), metrics(ioMetrics), alive(std::make_shared<bool>(true)),
	  nonce((static_cast<uint64>(g_random_int()) << 32) | g_random_int())
{
}

PeerLink::~PeerLink()
{
	*this->alive = false;
	if (this->udp_source != nullptr)
	{
		g_source_destroy(this->udp_source);
		g_source_unref(this->udp_source);
	}
	if (this->tcp != nullptr)
	{
		g_socket_service_stop(this->tcp.get());
		g_socket_listener_close(G_SOCKET_LISTENER(this->tcp.get()));
	}
}

bool PeerLink::Open()
{
	ErrorPtr error;
	const ObjectPtr<GSocketAddress> socket_address = SocketAddress(this->address);
	this->udp.reset(
		g_socket_new(g_socket_address_get_family(socket_address.get()), G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, error.Out()));
	if (this->udp == nullptr || g_socket_bind(this->udp.get(), socket_address.get(), FALSE, error.Out()) == FALSE)
		return FailFalse(EError::BadConfig, "peers: " + this->address.Text() + ": " + error.Text());
	g_socket_set_blocking(this->udp.get(), FALSE);
	this->udp_source = g_socket_create_source(this->udp.get(), G_IO_IN, nullptr);
	g_source_set_callback(this->udp_source, G_SOURCE_FUNC(&PeerLink::OnDatagram), this, nullptr);
	g_source_attach(this->udp_source, nullptr);
	this->tcp.reset(g_socket_service_new());
	const bool listens = g_socket_listener_add_address(G_SOCKET_LISTENER(this->tcp.get()), socket_address.get(), G_SOCKET_TYPE_STREAM,
													   G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, error.Out()) != FALSE;
	if (!listens)
		return FailFalse(EError::BadConfig, "peers: " + this->address.Text() + ": " + error.Text());
	g_signal_connect(this->tcp.get(), "incoming", G_CALLBACK(&PeerLink::OnIncoming), this);
	g_socket_service_start(this->tcp.get());
	return true;
}

void PeerLink::Reject()
{
	this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
	LogEvent(ELogLevel::Warning, "peer_message_refused")
		.Field("reason", AnswerOf(LastReason().kind).name)
		.Field("detail", LastReason().detail);
}

gboolean PeerLink::OnDatagram(GSocket *inSocket, GIOCondition, gpointer inSelf)
{
	PeerLink *self = static_cast<PeerLink *>(inSelf);
	// One byte more than allowed, so that a datagram that is too large is recognized
	std::array<char, cMaxDatagramBytes + 1> buffer{};
	for (int i = 0; i < cMaxDatagramsPerWakeup; ++i)
	{
		const gssize got = g_socket_receive(inSocket, buffer.data(), buffer.size(), nullptr, nullptr);
		if (got < 0)
			break;
		self->metrics.Count(ECounter::PeerBytes, "udp-in", static_cast<uint64>(got));
		std::optional<HeartbeatMessage> heartbeat;
		if (static_cast<size_t>(got) > cMaxDatagramBytes)
			heartbeat = Fail(EError::TooLarge, "datagram");
		else
			heartbeat = self->codec.OpenHeartbeat(std::string_view(buffer.data(), static_cast<size_t>(got)));
		if (heartbeat.has_value())
			self->on_heartbeat(std::move(*heartbeat));
		else
			self->Reject();
	}
	return G_SOURCE_CONTINUE;
}

gboolean PeerLink::OnIncoming(GSocketService *, GSocketConnection *inConnection, GObject *, gpointer inSelf)
{
	PeerLink *self = static_cast<PeerLink *>(inSelf);
	g_socket_set_timeout(g_socket_connection_get_socket(inConnection), cConnectionTimeoutS);
	auto request = std::make_shared<IncomingRequest>();
	request->link = self;
	request->alive = self->alive;
	request->connection = Share(inConnection);
	request->Start();
	return TRUE;
}

void PeerLink::SendHeartbeat(const Address &inTo, const HeartbeatMessage &inHeartbeat)
{
	const std::string sealed = this->codec.SealHeartbeat(inHeartbeat);
	if (sealed.size() > cMaxDatagramBytes)
	{
		FailFalse(EError::TooLarge, "own heartbeat of " + std::to_string(sealed.size()) + " bytes");
		return this->Reject();
	}
	const ObjectPtr<GSocketAddress> socket_address = SocketAddress(inTo);
	const gssize sent = g_socket_send_to(this->udp.get(), socket_address.get(), sealed.data(), sealed.size(), nullptr, nullptr);
	if (sent > 0)
		this->metrics.Count(ECounter::PeerBytes, "udp-out", static_cast<uint64>(sent));
}

void PeerLink::SendRequest(const Address &inTo, PeerRequest inRequest, Millis inTimeout, ReplyCallback inDone)
{
	auto request = std::make_shared<OutgoingRequest>();
	request->link = this;
	request->alive = this->alive;
	request->nonce = ++this->nonce;
	request->sealed = this->codec.SealRequest({request->nonce, std::move(inRequest)});
	request->done = std::move(inDone);
	request->client.reset(g_socket_client_new());
	request->cancellable.reset(g_cancellable_new());
	request->timeout = g_timeout_add(static_cast<guint>(inTimeout), &OutgoingRequest::OnTimeout, request.get());
	this->metrics.Count(ECounter::PeerBytes, "tcp-out", request->sealed.size());
	const ObjectPtr<GSocketAddress> socket_address = SocketAddress(inTo);
	g_socket_client_connect_async(request->client.get(), G_SOCKET_CONNECTABLE(socket_address.get()), request->cancellable.get(),
								  &OutgoingRequest::OnConnected, new std::shared_ptr<OutgoingRequest>(request));
}

} // namespace Loomreach
