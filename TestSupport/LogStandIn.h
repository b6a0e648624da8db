// Stand-in for the platform's log service, for tests and the demo: streams with offsets, retention, a limited append rate,
// and switches for outages, slow answers and answers lost after the effect.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/State/Records.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// What is wrong with the platform just now.
struct PlatformFaults
{
	bool down = false;
	Millis slow_ms = 0;           ///< Added to each answer.
	uint32 lose_percent = 0;      ///< Appends whose answer is lost after their effect.
	uint64 retention = 1'000'000; ///< Records kept in each stream.
	Millis list_lag_ms = 0;
};

/// The streams.
class LogStandIn
{
public:
	explicit LogStandIn(const PlatformFaults &inFaults) : faults(inFaults) {}

	/// Handles /log/STREAM.
	void Handle(SoupServerMessage *inMessage, const std::string &inStream, GHashTable *inQuery);
	/// Appends that took effect.
	uint64 Appends() const { return this->appends; }
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
	Millis refilled = 0;
	uint64 appends = 0;
	uint64 throttled = 0;
};

/// Answers with a JSON text.
void AnswerJson(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inText);

/// A query parameter, or an empty text.
std::string QueryOf(GHashTable *inQuery, const char *inKey);

} // namespace Loomreach
