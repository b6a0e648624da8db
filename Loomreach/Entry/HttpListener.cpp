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

ObjectPtr<SoupServer> OpenServer(const Address &inAddress, std::string_view inListenerName)
{
	ErrorPtr error;
	const ObjectPtr<GSocket> socket = Listen(inAddress, error);
	ObjectPtr<SoupServer> server(soup_server_new("server-header", "loomreach", nullptr));
	const bool listens = socket != nullptr && soup_server_listen_socket(server.get(), socket.get(), static_cast<SoupServerListenOptions>(0),
																		error.Out()) != FALSE;
	if (listens)
		return server;
	FailFalse(EError::BadConfig, std::string(inListenerName) + ": " + inAddress.Text() + ": " + error.Text());
	return nullptr;
}

} // namespace Loomreach
