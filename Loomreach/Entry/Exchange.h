// One caller's request on its way through an entry host: its answer is written here, once and whole, or the connection is cut.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Request/Dispatcher.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// The caller's side of one request.
class Exchange
{
public:
	Exchange(SoupServerMessage *inMessage, std::string inEntry);
	~Exchange();
	Exchange(const Exchange &) = delete;
	Exchange &operator=(const Exchange &) = delete;

	/// Answers with a row of the error table.
	void Refuse(EError inError, uint32 inRetryAfterS, std::string_view inDetail);
	/// Answers with a whole body. `inReason` is None for the first run's own answer.
	void Answer(uint32 inStatus, std::string_view inContentType, std::string_view inBody, EOutcome inOutcome = EOutcome::Ran,
				EError inReason = EError::None);
	/// Begins an answer whose body follows in pieces. With `inLength` below 0 it is chunked.
	void BeginStream(uint32 inStatus, SoupMessageHeaders *inHeaders, int64 inLength);
	/// Sends one piece; `inWritten` is called when the caller has taken it.
	void Piece(GBytes *inBytes, std::function<void()> inWritten);
	/// Ends a streamed answer.
	void EndStream();
	/// Cuts the connection: the caller must not take the answer for whole.
	void Cut();
	/// Copies an endpoint's end-to-end headers to the caller.
	void CopyHeaders(SoupMessageHeaders *inHeaders);

	SoupServerMessage *Message() const { return this->message.get(); }
	bool IsGone() const { return this->gone; }
	bool IsAnswered() const { return this->answered; }

	// What the request is; set by the caller server
	RequestSpec spec;
	std::string service;
	std::string path;   ///< Path and query for the endpoint.
	std::string id_key; ///< Key in the id window; empty: no id that is kept.
	Millis arrived = 0;
	double arrived_exact = 0;
	bool is_long = false;
	std::function<void()> on_written; ///< The answer has been written, or its caller went away before that.
	std::function<void()> on_gone;    ///< The caller went away before its answer was written.

private:
	static void OnFinished(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnDisconnected(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnWroteChunk(SoupServerMessage *inMessage, gpointer inSelf);
	void SetOutcome(EOutcome inOutcome, EError inReason);
	void Gone();
	void Written();

	ObjectPtr<SoupServerMessage> message;
	std::string entry;
	std::function<void()> written;
	bool answered = false;
	bool streaming = false;
	bool gone = false;
	std::array<gulong, 3> handlers{};
};

} // namespace Loomreach
