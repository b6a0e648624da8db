// One connection of a crowd: sends and reads as its behaviour says.

#pragma once

#include <TestSupport/Crowd/CallerKind.h>

#include <netinet/in.h>
#include <poll.h>

namespace Loomreach::Crowd
{

/// What happened to the connections of a crowd.
struct Counts
{
	size_t opened = 0;
	size_t closed_by_server = 0;
	std::map<int, size_t> answers; ///< By status.
};

/// A caller with a socket that does not block.
class Caller
{
public:
	/// Begins to connect to the address on loopback.
	Caller(Behaviour inBehaviour, const sockaddr_in &inAddress, Millis inNow);
	~Caller();
	Caller(const Caller &) = delete;
	Caller &operator=(const Caller &) = delete;

	/// What to wait for. Its descriptor is negative once the connection is closed.
	pollfd Waits(Millis inNow) const;
	/// Sends, reads or leaves, whatever is due.
	void Advance(short inEvents, Millis inNow, Counts &ioCounts);
	/// Whether the connection is open or being opened.
	bool IsOpen() const { return this->descriptor >= 0; }

private:
	bool WantsToSend(Millis inNow) const;
	bool WantsToRead(Millis inNow) const;
	void NoteConnected(Counts &ioCounts);
	void Send(Millis inNow, Counts &ioCounts);
	void Read(Millis inNow, Counts &ioCounts);
	void CountAnswers(std::string_view inBytes, Counts &ioCounts);
	void Leave();
	void Close();
	void NoteClosedByServer(Counts &ioCounts);

	Behaviour behaviour;
	int descriptor = -1;
	bool is_connected = false;
	std::string unsent;      ///< Bytes to send next; `behaviour.repeated` follows.
	size_t sent = 0;         ///< Bytes of `unsent` that are sent.
	std::string answer_tail; ///< End of what was read, in which a status line may have begun.
	Millis next_write = 0;
	Millis next_read = 0;
	Millis leaves_at = 0;
};

} // namespace Loomreach::Crowd
