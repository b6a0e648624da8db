// The caller's side of one request at an entry host: the libsoup message, and the answer that is written to it.
//
// Rule: a request is answered once and completely. An answer that can't be completed ends with an aborted connection, so that the caller
// can't take it for a whole one.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Request/Dispatcher.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// One request of a caller. The message stays paused until its answer is set.
class Exchange
{
public:
	Exchange(SoupServerMessage *inMessage, std::string inEntry);
	~Exchange();
	Exchange(const Exchange &) = delete;
	Exchange &operator=(const Exchange &) = delete;

	/// Answers with an error, by its row in the table of errors. `inRetryAfterS` is used where that row allows a retry.
	void Refuse(EError inError, uint32 inRetryAfterS, std::string_view inDetail);
	/// Answers with a complete body. `inReason` is None unless this is an error or the kept answer of an earlier request.
	void Answer(uint32 inStatus, std::string_view inContentType, std::string_view inBody, EOutcome inOutcome = EOutcome::Ran,
				EError inReason = EError::None);
	/// Begins an answer whose body follows in chunks. A negative `inLength` selects the chunked transfer encoding.
	void BeginStream(uint32 inStatus, SoupMessageHeaders *inHeaders, int64 inLength);
	/// Writes one chunk of the body; `inOnWritten` is called once it has been written, and never after the caller has disconnected.
	void WriteChunk(GBytes *inBytes, std::function<void()> inOnWritten);
	/// Ends a streamed answer.
	void EndStream();
	/// Aborts the connection, so that the caller does not take a partial answer for a whole one.
	void AbortConnection();
	/// Copies an endpoint's end-to-end headers to the caller.
	void CopyHeaders(SoupMessageHeaders *inHeaders);

	SoupServerMessage *Message() const { return this->message.get(); }
	bool IsCallerDisconnected() const { return this->caller_disconnected; }
	bool IsAnswered() const { return this->answered; }

	// Set by the caller server before the request is submitted
	RequestSpec spec;
	std::string service;
	std::string path;   ///< Path and query for the endpoint.
	std::string id_key; ///< Key of its id in the id window; empty: its id is not tracked.
	Millis arrived = 0;
	double arrived_exact = 0; ///< The same with fractions of a millisecond, for metrics.
	bool is_long = false;
	std::function<void()> on_written;             ///< The answer has been written, or the caller disconnected once it was complete.
	std::function<void()> on_caller_disconnected; ///< The caller disconnected before the answer was complete.

private:
	static void OnFinished(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnDisconnected(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnWroteChunk(SoupServerMessage *inMessage, gpointer inSelf);
	void SetOutcome(EOutcome inOutcome, EError inReason);
	void HandleDisconnect();
	void NotifyWritten();

	ObjectPtr<SoupServerMessage> message;
	std::string entry;
	std::function<void()> on_chunk_written;
	bool answered = false;
	bool streaming = false;
	bool caller_disconnected = false;
	std::array<gulong, 3> handlers{};
};

} // namespace Loomreach
