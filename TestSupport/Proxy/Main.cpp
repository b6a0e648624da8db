// loomreach-proxy: TCP proxy between an entry host and the fake platform on loopback, which injects network faults in tests with real
// processes. A datagram to the port above its own sets the mode by name: pass, delay, oneway, silent or reset.
// The command "mute" sets no mode. Connections that are open at that time stop forwarding for good, in both directions and without a reset;
// new ones are not affected.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/EnumTable.h>

#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gflags/gflags.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_int32(port, 0, "Port to listen on; the port above the one given here takes commands as datagrams.");
DEFINE_int32(to, 0, "Port that connections are forwarded to.");

namespace
{

using namespace Loomreach;

/// What happens to bytes and connections.
enum class EMode : uint8
{
	Forward,
	Delay,       ///< Each chunk is delayed.
	DropAnswers, ///< Requests are forwarded, answers are dropped.
	Drop,        ///< Bytes are dropped in both directions; connections stay open.
	Reset        ///< Connections are reset, new ones too.
};

constexpr std::array cModeNames = {
	EnumName<EMode>{EMode::Forward, "pass"}, EnumName<EMode>{EMode::Delay, "delay"}, EnumName<EMode>{EMode::DropAnswers, "oneway"},
	EnumName<EMode>{EMode::Drop, "silent"},  EnumName<EMode>{EMode::Reset, "reset"},
};

constexpr std::string_view cMuteCommand = "mute";
constexpr Millis cDelayMs = 250; ///< The store answers in 240 ms when slow.
constexpr int cTickMs = 10;
constexpr size_t cChunkBytes = 65536;

/// Bytes in transit, and when to send them.
struct Chunk
{
	Millis due = 0;
	std::string bytes;
};

/// One proxied connection. Side 0 is the caller's, side 1 the platform's.
struct Connection
{
	std::array<int, 2> sockets{-1, -1};
	std::array<std::deque<Chunk>, 2> queued; ///< By side that they are sent to.
	bool drops_answers = false;              ///< Bytes were dropped: later answers are dropped too, as the stream has a hole.
	bool is_muted = false;                   ///< Forwards nothing any more, not even that one side has closed.
	bool is_closed = false;
};

sockaddr_in Loopback(int inPort)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16>(inPort));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int OpenSocket(int inType, int inPort)
{
	const int descriptor = socket(AF_INET, inType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const int enabled = 1;
	setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
	const sockaddr_in address = Loopback(inPort);
	if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
	{
		std::perror("loomreach-proxy");
		std::exit(1);
	}
	return descriptor;
}

/// Closes a socket so that the peer sees a reset.
void CloseWithReset(int inDescriptor)
{
	const linger reset_on_close{1, 0};
	setsockopt(inDescriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
	close(inDescriptor);
}

/// The proxy's state and its single-threaded loop.
class Proxy
{
public:
	Proxy() : listener(OpenSocket(SOCK_STREAM, FLAGS_port)), commands(OpenSocket(SOCK_DGRAM, FLAGS_port + 1))
	{
		listen(this->listener, 64);
	}

	void Run()
	{
		for (;;)
		{
			this->Wait();
			this->ReadCommand();
			this->Accept();
			for (Connection &connection : this->connections)
			{
				for (size_t side : {0, 1})
					this->Receive(connection, side);
				for (size_t side : {0, 1})
					Send(connection, side);
			}
			this->RemoveClosed();
		}
	}

private:
	void Wait()
	{
		std::vector<pollfd> waited{{this->listener, POLLIN, 0}, {this->commands, POLLIN, 0}};
		for (const Connection &connection : this->connections)
			for (int descriptor : connection.sockets)
				waited.push_back({descriptor, POLLIN, 0});
		poll(waited.data(), waited.size(), cTickMs);
	}

	void ReadCommand()
	{
		std::array<char, 32> buffer;
		const ssize_t got = recv(this->commands, buffer.data(), buffer.size(), 0);
		if (got <= 0)
			return;
		const std::string_view text(buffer.data(), static_cast<size_t>(got));
		this->mode = ValueOf(cModeNames, text).value_or(this->mode);
		if (text != cMuteCommand)
			return;
		for (Connection &connection : this->connections)
		{
			connection.is_muted = true;
			connection.queued = {};
		}
	}

	void Accept()
	{
		for (int caller = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); caller >= 0;
			 caller = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
		{
			const int platform = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
			const sockaddr_in address = Loopback(FLAGS_to);
			const bool refused =
				this->mode == EMode::Reset || connect(platform, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0;
			if (refused)
			{
				CloseWithReset(caller);
				close(platform);
				continue;
			}
			fcntl(platform, F_SETFL, O_NONBLOCK);
			Connection connection;
			connection.sockets = {caller, platform};
			this->connections.push_back(std::move(connection));
		}
	}

	/// Discards input of a muted connection. If one peer has closed, closes that side only, so that the other one does not notice.
	static void DiscardInput(Connection &ioConnection, size_t inSide)
	{
		std::array<char, cChunkBytes> bytes;
		const ssize_t got = recv(ioConnection.sockets[inSide], bytes.data(), bytes.size(), 0);
		if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
			return;
		close(ioConnection.sockets[inSide]);
		ioConnection.sockets[inSide] = -1;
		ioConnection.is_closed = ioConnection.sockets[1 - inSide] < 0;
	}

	void Receive(Connection &ioConnection, size_t inSide)
	{
		if (ioConnection.is_closed || ioConnection.sockets[inSide] < 0)
			return;
		if (ioConnection.is_muted)
			return DiscardInput(ioConnection, inSide);
		std::array<char, cChunkBytes> bytes;
		const ssize_t got = recv(ioConnection.sockets[inSide], bytes.data(), bytes.size(), 0);
		if (got < 0)
		{
			ioConnection.is_closed = errno != EAGAIN && errno != EWOULDBLOCK;
			return;
		}
		// The close is forwarded once all earlier bytes are sent
		if (got == 0)
		{
			ioConnection.is_closed = ioConnection.queued[0].empty() && ioConnection.queued[1].empty();
			return;
		}
		ioConnection.drops_answers =
			ioConnection.drops_answers || this->mode == EMode::Drop || (this->mode == EMode::DropAnswers && inSide == 1);
		// A request may still be forwarded after a fault; its answer may not
		const bool lost = this->mode == EMode::Drop || (ioConnection.drops_answers && inSide == 1);
		const Millis wait = this->mode == EMode::Delay ? cDelayMs : 0;
		if (!lost)
			ioConnection.queued[1 - inSide].push_back({NowMillis() + wait, std::string(bytes.data(), static_cast<size_t>(got))});
	}

	static void Send(Connection &ioConnection, size_t inSide)
	{
		std::deque<Chunk> &queue = ioConnection.queued[inSide];
		while (!ioConnection.is_closed && !queue.empty() && queue.front().due <= NowMillis())
		{
			const ssize_t sent = send(ioConnection.sockets[inSide], queue.front().bytes.data(), queue.front().bytes.size(), MSG_NOSIGNAL);
			if (sent < 0)
			{
				ioConnection.is_closed = errno != EAGAIN && errno != EWOULDBLOCK;
				return;
			}
			queue.front().bytes.erase(0, static_cast<size_t>(sent));
			if (!queue.front().bytes.empty())
				return;
			queue.pop_front();
		}
	}

	void RemoveClosed()
	{
		std::erase_if(this->connections,
					  [this](const Connection &inConnection)
					  {
						  const bool is_closed = inConnection.is_closed || this->mode == EMode::Reset;
						  if (is_closed)
							  for (int descriptor : inConnection.sockets)
								  if (descriptor >= 0)
									  CloseWithReset(descriptor);
						  return is_closed;
					  });
	}

	int listener;
	int commands;
	EMode mode = EMode::Forward;
	std::vector<Connection> connections;
};

} // namespace

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	Proxy proxy;
	proxy.Run();
}
