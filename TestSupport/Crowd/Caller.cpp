// Sockets of a crowd's callers.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Crowd/Caller.h>

#include <cstdlib>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Loomreach::Crowd
{

static constexpr int cSmallWindowBytes = 2048;
static constexpr size_t cReadBytes = 65'536;
static constexpr Millis cSlowReadPauseMs = 500;
static constexpr Millis cLeaveAfterMs = 3000;
static constexpr std::string_view cStatusLine = "HTTP/1.1 ";
static constexpr size_t cStatusDigits = 3;

static bool MustWait() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

Caller::Caller(Behaviour inBehaviour, const sockaddr_in &inAddress, Millis inNow)
	: behaviour(std::move(inBehaviour)), descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
	  leaves_at(inNow + cLeaveAfterMs)
{
	this->unsent = std::move(this->behaviour.first);
	if (this->descriptor < 0)
		return;
	const int enabled = 1;
	setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
	// The window is set before the connection is opened, later changes do not narrow it
	if (this->behaviour.has_small_window)
		setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &cSmallWindowBytes, sizeof cSmallWindowBytes);
	if (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&inAddress), sizeof inAddress) != 0 && errno != EINPROGRESS)
		this->Close();
}

Caller::~Caller() { this->Close(); }

bool Caller::WantsToSend(Millis inNow) const
{
	return (this->sent < this->unsent.size() || this->behaviour.repeats > 0) && inNow >= this->next_write;
}

bool Caller::WantsToRead(Millis inNow) const { return this->behaviour.reading != EReading::Never && inNow >= this->next_read; }

pollfd Caller::Waits(Millis inNow) const
{
	short events = POLLRDHUP;
	if (!this->is_connected || this->WantsToSend(inNow))
		events |= POLLOUT;
	if (this->WantsToRead(inNow))
		events |= POLLIN;
	return {this->descriptor, events, 0};
}

void Caller::NoteConnected(Counts &ioCounts)
{
	int error = 0;
	socklen_t length = sizeof error;
	getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error != 0)
		return this->Close();
	this->is_connected = true;
	++ioCounts.opened;
}

void Caller::Advance(short inEvents, Millis inNow, Counts &ioCounts)
{
	if (!this->is_connected && inEvents != 0)
		this->NoteConnected(ioCounts);
	if (!this->is_connected)
		return;
	if ((inEvents & POLLIN) != 0)
		this->Read(inNow, ioCounts);
	if ((inEvents & POLLOUT) != 0 && this->IsOpen() && this->WantsToSend(inNow))
		this->Send(inNow, ioCounts);
	// A caller that reads everything comes to the end by itself
	const short end_events = this->behaviour.reading == EReading::All ? POLLERR | POLLHUP : POLLERR | POLLHUP | POLLRDHUP;
	if ((inEvents & end_events) != 0 && this->IsOpen())
		this->NoteClosedByServer(ioCounts);
	if (this->behaviour.leaving != ELeaving::Stays && inNow >= this->leaves_at && this->IsOpen())
		this->Leave();
}

void Caller::Send(Millis inNow, Counts &ioCounts)
{
	if (this->sent == this->unsent.size())
	{
		// Short messages are joined, so that a write carries many of them
		const size_t length = std::max<size_t>(this->behaviour.repeated.size(), 1);
		const size_t fitting = this->behaviour.write_pause_ms > 0 ? 1 : std::max<size_t>(this->behaviour.write_bytes / length, 1);
		const uint32 count = std::min<uint32>(this->behaviour.repeats, static_cast<uint32>(fitting));
		this->behaviour.repeats -= count;
		this->unsent.clear();
		this->sent = 0;
		for (uint32 message = 0; message < count; ++message)
			this->unsent += this->behaviour.repeated;
	}
	const size_t bytes = std::min(this->unsent.size() - this->sent, this->behaviour.write_bytes);
	const ssize_t done = send(this->descriptor, this->unsent.data() + this->sent, bytes, MSG_NOSIGNAL);
	if (done < 0 && !MustWait())
		return this->NoteClosedByServer(ioCounts);
	this->sent += static_cast<size_t>(std::max<ssize_t>(done, 0));
	this->next_write = inNow + this->behaviour.write_pause_ms;
}

void Caller::Read(Millis inNow, Counts &ioCounts)
{
	std::array<char, cReadBytes> bytes;
	const bool is_slow = this->behaviour.reading == EReading::Slowly;
	const ssize_t got = recv(this->descriptor, bytes.data(), is_slow ? 1 : bytes.size(), 0);
	if (got == 0 || (got < 0 && !MustWait()))
		return this->NoteClosedByServer(ioCounts);
	if (is_slow)
		this->next_read = inNow + cSlowReadPauseMs;
	if (got > 0)
		this->CountAnswers({bytes.data(), static_cast<size_t>(got)}, ioCounts);
}

void Caller::CountAnswers(std::string_view inBytes, Counts &ioCounts)
{
	const size_t line_bytes = cStatusLine.size() + cStatusDigits;
	std::string text = this->answer_tail + std::string(inBytes);
	size_t counted = 0;
	for (size_t at = text.find(cStatusLine); at != std::string::npos && at + line_bytes <= text.size();
		 at = text.find(cStatusLine, counted))
	{
		++ioCounts.answers[std::atoi(text.substr(at + cStatusLine.size(), cStatusDigits).c_str())];
		counted = at + line_bytes;
	}
	const size_t kept = std::min(text.size() - counted, line_bytes - 1);
	this->answer_tail = text.substr(text.size() - kept);
}

void Caller::Leave()
{
	const linger reset_on_close{1, 0};
	if (this->behaviour.leaving == ELeaving::Resets)
		setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
	this->Close();
}

void Caller::Close()
{
	if (this->IsOpen())
		close(this->descriptor);
	this->descriptor = -1;
}

void Caller::NoteClosedByServer(Counts &ioCounts)
{
	++ioCounts.closed_by_server;
	this->Close();
}

} // namespace Loomreach::Crowd
