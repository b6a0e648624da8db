// Fake of the platform's log service, for tests and the demo: streams with offsets, retention and a limited append rate. Faults on demand:
// outages, slow answers, and appends that take effect but whose answer is lost.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/State/Records.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Faults that are in effect.
struct PlatformFaults
{
	bool down = false;            ///< Connections are closed without an answer.
	Millis slow_ms = 0;           ///< Delay of each answer.
	uint32 lose_percent = 0;      ///< Share of appends that take effect but whose answer is lost.
	uint64 retention = 1'000'000; ///< Records kept in each stream.
	Millis list_lag_ms = 0;       ///< The host list is rebuilt once it is this old.
};

/// The log service: all streams, in memory.
class LogStandIn
{
public:
	explicit LogStandIn(const PlatformFaults &inFaults) : faults(inFaults) {}

	/// Handles /log/STREAM: POST appends the body as a record; any other method reads.
	void Handle(SoupServerMessage *inMessage, const std::string &inStream, GHashTable *inQuery);
	/// Count of appends that took effect.
	uint64 Appends() const { return this->appends; }
	/// Count of appends refused with 429.
	uint64 Throttled() const { return this->throttled; }

private:
	struct Stream
	{
		LogOffset first = 0;
		std::deque<std::string> records;
	};

	void Append(SoupServerMessage *inMessage, Stream &ioStream);
	void Read(SoupServerMessage *inMessage, const Stream &inStream, GHashTable *inQuery);
	bool TakeToken();

	const PlatformFaults &faults;
	std::map<std::string, Stream> streams;
	Random random{1};
	double tokens = 0;
	Millis refilled_at = 0;
	uint64 appends = 0;
	uint64 throttled = 0;
};

/// Answers with a JSON body.
void AnswerJson(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inText);

/// A query parameter; empty if absent.
std::string QueryParameter(GHashTable *inQuery, const char *inKey);

} // namespace Loomreach
