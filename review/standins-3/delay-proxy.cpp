// delay-proxy: TCP proxy on loopback that holds back what the server answers.
// Usage: delay-proxy PORT TO. Listens on 127.0.0.1:PORT and forwards to 127.0.0.1:TO. A datagram to 127.0.0.1:PORT with a number sets the
// time, in milliseconds, by which each further answer is held back; 0: not at all. Requests are forwarded at once.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace
{

using Millis = long long;

constexpr int cWaitMs = 2;
constexpr size_t cChunkBytes = 65536;

Millis Now() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(); }

sockaddr_in Loopback(int inPort)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16_t>(inPort));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int Open(int inType, int inPort)
{
	const int opened = socket(AF_INET, inType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const int enabled = 1;
	setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
	const sockaddr_in address = Loopback(inPort);
	if (bind(opened, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
	{
		std::perror("delay-proxy");
		std::exit(1);
	}
	return opened;
}

/// Bytes on their way, and when they are due. No bytes: the sender has closed its side.
struct Chunk
{
	Millis due = 0;
	std::string bytes;
};

/// One end of a proxied connection.
struct End
{
	int socket = -1;
	bool is_read_closed = false;
	std::deque<Chunk> out;
};

struct Connection
{
	End caller;
	End server;
	bool is_broken = false;
};

/// Reads what an end has sent, for the other end.
void Receive(Connection &ioConnection, End &ioFrom, End &ioTo, Millis inDelay)
{
	char buffer[cChunkBytes];
	while (!ioFrom.is_read_closed)
	{
		const ssize_t got = recv(ioFrom.socket, buffer, sizeof buffer, 0);
		if (got < 0)
		{
			ioConnection.is_broken = ioConnection.is_broken || (errno != EAGAIN && errno != ENOTCONN);
			return;
		}
		ioFrom.is_read_closed = got == 0;
		ioTo.out.push_back({Now() + inDelay, std::string(buffer, static_cast<size_t>(got))});
	}
}

/// Sends what is due to an end.
void Send(Connection &ioConnection, End &ioTo)
{
	while (!ioTo.out.empty() && ioTo.out.front().due <= Now())
	{
		std::string &bytes = ioTo.out.front().bytes;
		if (bytes.empty())
		{
			shutdown(ioTo.socket, SHUT_WR);
			ioTo.out.pop_front();
			continue;
		}
		const ssize_t sent = send(ioTo.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		if (sent < 0)
		{
			ioConnection.is_broken = ioConnection.is_broken || (errno != EAGAIN && errno != ENOTCONN);
			return;
		}
		bytes.erase(0, static_cast<size_t>(sent));
		if (!bytes.empty())
			return;
		ioTo.out.pop_front();
	}
}

bool IsOver(const Connection &inConnection)
{
	const bool drained = inConnection.caller.out.empty() && inConnection.server.out.empty();
	return inConnection.is_broken || (drained && inConnection.caller.is_read_closed && inConnection.server.is_read_closed);
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 3)
		return 2;
	std::signal(SIGPIPE, SIG_IGN);
	const int port = std::atoi(argv[1]);
	const int to = std::atoi(argv[2]);
	const int listener = Open(SOCK_STREAM, port);
	const int commands = Open(SOCK_DGRAM, port);
	listen(listener, 256);
	std::list<Connection> connections;
	Millis delay = 0;
	for (;;)
	{
		std::vector<pollfd> waits{{listener, POLLIN, 0}, {commands, POLLIN, 0}};
		for (const Connection &connection : connections)
			for (const End *end : {&connection.caller, &connection.server})
				if (!end->is_read_closed)
					waits.push_back({end->socket, POLLIN, 0});
		poll(waits.data(), waits.size(), cWaitMs);
		char command[16] = {};
		if (recv(commands, command, sizeof command - 1, 0) > 0)
			delay = std::atoll(command);
		for (int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); accepted >= 0;
			 accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
		{
			Connection connection;
			connection.caller.socket = accepted;
			connection.server.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			const sockaddr_in server = Loopback(to);
			const int connected = connect(connection.server.socket, reinterpret_cast<const sockaddr *>(&server), sizeof server);
			connection.is_broken = connected != 0 && errno != EINPROGRESS;
			const int enabled = 1;
			for (const int end : {connection.caller.socket, connection.server.socket})
				setsockopt(end, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
			connections.push_back(std::move(connection));
		}
		for (Connection &connection : connections)
		{
			Receive(connection, connection.caller, connection.server, 0);
			Receive(connection, connection.server, connection.caller, delay);
			Send(connection, connection.server);
			Send(connection, connection.caller);
		}
		connections.remove_if(
			[](const Connection &inConnection)
			{
				if (!IsOver(inConnection))
					return false;
				// A connection that broke is reset at both ends
				const linger reset{1, 0};
				for (const int end : {inConnection.caller.socket, inConnection.server.socket})
				{
					if (inConnection.is_broken)
						setsockopt(end, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
					close(end);
				}
				return true;
			});
	}
}
