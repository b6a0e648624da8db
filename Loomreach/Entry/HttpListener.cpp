// Listening sockets with a larger backlog than libsoup's default of 10: in a burst that one overflows, and a client whose connection is
// dropped tries again only after a second.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Platform/ConnectionCare.h>

namespace Loomreach
{

static constexpr int cBacklog = 1024;

/// A bound and listening socket, or nullptr with the error.
static ObjectPtr<GSocket> Listen(const Address &inAddress, ErrorPtr &outError)
{
	const ObjectPtr<GSocketAddress> socket_address(g_inet_socket_address_new_from_string(inAddress.ip.c_str(), inAddress.port));
	ObjectPtr<GSocket> socket(
		g_socket_new(g_socket_address_get_family(socket_address.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, outError.Out()));
	if (socket == nullptr)
		return nullptr;
	// Accepted connections inherit the keep-alive options
	SetKeepAliveOptions(g_socket_get_fd(socket.get()));
	g_socket_set_listen_backlog(socket.get(), cBacklog);
	if (g_socket_bind(socket.get(), socket_address.get(), TRUE, outError.Out()) == FALSE ||
		g_socket_listen(socket.get(), outError.Out()) == FALSE)
		return nullptr;
	return socket;
}

/// Makes a server use a listening socket. Fails with bad-config.
static ObjectPtr<SoupServer> ServeOn(GSocket *inSocket, const Address &inAddress, std::string_view inListenerName, ErrorPtr &ioError)
{
	ObjectPtr<SoupServer> server(soup_server_new("server-header", "loomreach", nullptr));
	const bool listens = inSocket != nullptr &&
						 soup_server_listen_socket(server.get(), inSocket, static_cast<SoupServerListenOptions>(0), ioError.Out()) != FALSE;
	if (listens)
		return server;
	FailFalse(EError::BadConfig, std::string(inListenerName) + ": " + inAddress.Text() + ": " + ioError.Text());
	return nullptr;
}

ObjectPtr<SoupServer> OpenServer(const Address &inAddress, std::string_view inListenerName)
{
	ErrorPtr error;
	const ObjectPtr<GSocket> socket = Listen(inAddress, error);
	return ServeOn(socket.get(), inAddress, inListenerName, error);
}

ObjectPtr<SoupServer> OpenUnacceptingServer(const Address &inAddress, std::string_view inListenerName, ObjectPtr<GSocket> &outSocket)
{
	ErrorPtr error;
	outSocket = Listen(inAddress, error);
	if (outSocket != nullptr)
		g_socket_set_blocking(outSocket.get(), FALSE);
	// libsoup keeps connections open between requests only while it has a listener. This one is in a context that never runs
	GMainContext *unused = g_main_context_new();
	g_main_context_push_thread_default(unused);
	ObjectPtr<SoupServer> server = ServeOn(outSocket.get(), inAddress, inListenerName, error);
	g_main_context_pop_thread_default(unused);
	g_main_context_unref(unused);
	return server;
}

} // namespace Loomreach
