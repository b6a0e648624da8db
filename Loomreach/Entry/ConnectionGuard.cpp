// Accepting, the choice of connections that are closed, and the sweep over those that are not idle.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/ConnectionGuard.h>
#include <Loomreach/Entry/HttpListener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>

namespace Loomreach
{

/// Without progress for this long a connection counts as waiting for its client.
static constexpr Millis cWaitingMs = 1000;
static constexpr Millis cMaxSweepMs = 500;
static constexpr Millis cMinSweepMs = 20;
static constexpr Millis cAcceptPauseMs = 100; ///< After a connection that could not be accepted.
static constexpr Millis cLogEveryMs = 1000;
/// Descriptors for files, logs and connections to the platform and to other hosts.
static constexpr size_t cReservedDescriptors = 512;
static constexpr size_t cMinConnections = 16;
static constexpr const char *cConnectionKey = "loomreach-connection";

ConnectionGuard::ConnectionGuard(const ConnectionLimits &inLimits) { this->SetLimits(inLimits); }

ConnectionGuard::~ConnectionGuard()
{
	for (const auto &door : this->doors)
		this->StopAccepting(*door);
	for (const auto &[id, connection] : this->connections)
		connection->Detach();
}

void ConnectionGuard::SetLimits(const ConnectionLimits &inLimits)
{
	this->limits = inLimits;
	this->max_open = inLimits.max_connections;
	rlimit descriptors{};
	if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
		return;
	const size_t most = descriptors.rlim_cur > cReservedDescriptors ? descriptors.rlim_cur - cReservedDescriptors : 0;
	this->max_open = std::min(this->max_open, std::max(most, cMinConnections));
}

ObjectPtr<SoupServer> ConnectionGuard::Open(const Address &inAddress, std::string_view inListenerName)
{
	auto door = std::make_unique<Door>();
	door->guard = this;
	door->name = inListenerName;
	ObjectPtr<SoupServer> server = OpenUnacceptingServer(inAddress, inListenerName, door->socket);
	if (server == nullptr)
		return nullptr;
	door->server = server.get();
	g_signal_connect(server.get(), "request-started", G_CALLBACK(&ConnectionGuard::OnRequest), this);
	this->StartAccepting(*door);
	this->doors.push_back(std::move(door));
	return server;
}

void ConnectionGuard::StartAccepting(Door &ioDoor)
{
	ioDoor.source = g_socket_create_source(ioDoor.socket.get(), G_IO_IN, nullptr);
	g_source_set_callback(ioDoor.source, G_SOURCE_FUNC(&ConnectionGuard::OnConnection), &ioDoor, nullptr);
	g_source_attach(ioDoor.source, nullptr);
}

void ConnectionGuard::StopAccepting(Door &ioDoor)
{
	if (ioDoor.source == nullptr)
		return;
	g_source_destroy(ioDoor.source);
	g_source_unref(ioDoor.source);
	ioDoor.source = nullptr;
}

gboolean ConnectionGuard::OnConnection(GSocket *, GIOCondition, gpointer inDoor)
{
	Door &door = *static_cast<Door *>(inDoor);
	ConnectionGuard &self = *door.guard;
	if (self.Accept(door))
		return G_SOURCE_CONTINUE;
	// The connection stays in the backlog; without a pause the loop would find it there again and again
	self.StopAccepting(door);
	door.pause.Once(cAcceptPauseMs, [&self, &door] { self.StartAccepting(door); });
	return G_SOURCE_REMOVE;
}

bool ConnectionGuard::Accept(Door &ioDoor)
{
	for (int attempt = 0; attempt < 2; ++attempt)
	{
		ErrorPtr error;
		ObjectPtr<GSocket> socket(g_socket_accept(ioDoor.socket.get(), nullptr, error.Out()));
		if (socket != nullptr)
		{
			this->Admit(ioDoor, std::move(socket));
			return true;
		}
		if (error.Is(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			return true;
		if (!error.Is(G_IO_ERROR, G_IO_ERROR_TOO_MANY_OPEN_FILES))
			return false;
		if (!this->CloseLongestWaiting(ELimit::Descriptors))
			this->Report(ELimit::Descriptors, ioDoor.name, 0);
	}
	return false;
}

void ConnectionGuard::Admit(Door &ioDoor, ObjectPtr<GSocket> inSocket)
{
	if (this->connections.size() >= this->max_open && !this->CloseLongestWaiting(ELimit::Connections))
	{
		this->Report(ELimit::Connections, ioDoor.name, 0);
		g_socket_close(inSocket.get(), nullptr);
		return;
	}
	g_socket_set_option(inSocket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
	const ObjectPtr<GSocketAddress> local(g_socket_get_local_address(inSocket.get(), nullptr));
	const ObjectPtr<GSocketAddress> remote(g_socket_get_remote_address(inSocket.get(), nullptr));
	// The client may have gone already
	if (local == nullptr || remote == nullptr)
		return;
	GSocket &socket = *inSocket;
	auto connection = std::make_shared<Connection>(*this, this->next_id++, ioDoor.name, std::move(inSocket));
	const ObjectPtr<GIOStream> stream = NewCountedStream(socket, connection);
	// libsoup hands the address object through to the requests, which so find their connection
	g_object_set_data_full(G_OBJECT(remote.get()), cConnectionKey, new std::shared_ptr<Connection>(connection),
						   [](gpointer inHeld) { delete static_cast<std::shared_ptr<Connection> *>(inHeld); });
	this->connections.emplace(connection->Id(), connection);
	if (soup_server_accept_iostream(ioDoor.server, stream.get(), local.get(), remote.get(), nullptr) == FALSE)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

void ConnectionGuard::OnRequest(SoupServer *, SoupServerMessage *inMessage, gpointer)
{
	if (Connection *connection = ConnectionOf(*inMessage); connection != nullptr)
		connection->Follow(*inMessage);
}

void ConnectionGuard::Forget(Connection &ioConnection)
{
	// Before the erasure, which may delete it
	this->held_bytes -= ioConnection.HeldBytes();
	ioConnection.Detach();
	this->connections.erase(ioConnection.Id());
}

void ConnectionGuard::Close(const std::shared_ptr<Connection> &inConnection, ELimit inLimit)
{
	this->Forget(*inConnection);
	inConnection->CloseSocket();
	this->Report(inLimit, inConnection->Listener(), inConnection->SinceProgress(NowMillis()));
}

bool ConnectionGuard::MakeRoom(const Connection &inFor)
{
	const Millis now = NowMillis();
	while (this->held_bytes > this->limits.max_request_bytes)
	{
		std::shared_ptr<Connection> largest;
		for (const auto &[id, connection] : this->connections)
		{
			const bool waits = connection.get() != &inFor && connection->AwaitsClient() && connection->SinceProgress(now) >= cWaitingMs;
			if (waits && connection->HeldBytes() > (largest == nullptr ? 0 : largest->HeldBytes()))
				largest = connection;
		}
		if (largest == nullptr)
			return false;
		this->Close(largest, ELimit::Memory);
	}
	return true;
}

bool ConnectionGuard::CloseLongestWaiting(ELimit inLimit)
{
	const Millis now = NowMillis();
	std::shared_ptr<Connection> chosen;
	bool chosen_waits = false;
	for (const auto &[id, connection] : this->connections)
	{
		const bool waits = connection->AwaitsClient() && connection->SinceProgress(now) >= cWaitingMs;
		if (!waits && connection->Phase() != EConnectionPhase::Idle)
			continue;
		// One that is idle goes only where none waits
		const bool is_better = chosen == nullptr || (waits && !chosen_waits) ||
							   (waits == chosen_waits && connection->SinceProgress(now) > chosen->SinceProgress(now));
		if (!is_better)
			continue;
		chosen = connection;
		chosen_waits = waits;
	}
	if (chosen == nullptr)
		return false;
	this->Close(chosen, inLimit);
	return true;
}

void ConnectionGuard::Watch()
{
	if (this->sweep.IsRunning())
		return;
	const Millis every = std::clamp(std::min(this->limits.stall_ms, this->limits.request_time_ms) / 4, cMinSweepMs, cMaxSweepMs);
	this->sweep.Once(every, [this] { this->Sweep(); });
}

void ConnectionGuard::Sweep()
{
	const Millis now = NowMillis();
	std::vector<std::shared_ptr<Connection>> active;
	for (const auto &[id, connection] : this->connections)
		if (connection->Phase() != EConnectionPhase::Idle)
			active.push_back(connection);
	for (const std::shared_ptr<Connection> &connection : active)
		this->CheckConnection(connection, now);
	if (!active.empty())
		this->Watch();
}

void ConnectionGuard::CheckConnection(const std::shared_ptr<Connection> &inConnection, Millis inNow)
{
	const Millis waited = inConnection->SinceProgress(inNow);
	if (inConnection->AwaitsClient() && waited >= this->limits.stall_ms)
		return this->Close(inConnection, ELimit::Stall);
	if (inConnection->SinceRequest(inNow) >= this->limits.request_time_ms)
		return this->Close(inConnection, ELimit::RequestTime);
	if (waited < cWaitingMs && !inConnection->AwaitsClient())
		return;
	if (waited >= cWaitingMs && inConnection->IsClientGone())
		return this->Close(inConnection, ELimit::Gone);
	inConnection->Measure();
	if (!this->MakeRoom(*inConnection) && inConnection->AwaitsClient())
		this->Close(inConnection, ELimit::Memory);
}

void ConnectionGuard::Report(ELimit inLimit, std::string_view inListener, Millis inWaitedMs)
{
	++this->counts[static_cast<size_t>(inLimit)];
	++this->unlogged;
	const Millis now = NowMillis();
	if (now - this->logged_at < cLogEveryMs)
		return;
	this->logged_at = now;
	LogEvent(ELogLevel::Warning, "connection_limit")
		.Field("limit", NameOf(cLimitNames, inLimit))
		.Field("listener", inListener)
		.Field("waited_ms", inWaitedMs)
		.Field("connections", this->connections.size())
		.Field("held_bytes", this->held_bytes)
		.Field("since_last_line", std::exchange(this->unlogged, 0));
}

std::string ConnectionGuard::Prometheus() const
{
	std::string text = "# TYPE loomreach_connection_limits_total counter\n";
	for (const EnumName<ELimit> &row : cLimitNames)
		text += "loomreach_connection_limits_total{limit=\"" + std::string(row.name) + "\"} " +
				std::to_string(this->counts[static_cast<size_t>(row.value)]) + "\n";
	text += "# TYPE loomreach_connections gauge\nloomreach_connections " + std::to_string(this->connections.size()) + "\n";
	text += "# TYPE loomreach_request_bytes gauge\nloomreach_request_bytes " + std::to_string(this->held_bytes) + "\n";
	return text;
}

Connection *ConnectionOf(SoupServerMessage &inMessage)
{
	GSocketAddress *remote = soup_server_message_get_remote_address(&inMessage);
	auto *held =
		remote == nullptr ? nullptr : static_cast<std::shared_ptr<Connection> *>(g_object_get_data(G_OBJECT(remote), cConnectionKey));
	return held == nullptr ? nullptr : held->get();
}

GSocket *SocketOf(SoupServerMessage &inMessage)
{
	const Connection *connection = ConnectionOf(inMessage);
	return connection == nullptr ? soup_server_message_get_socket(&inMessage) : connection->Socket();
}

} // namespace Loomreach
