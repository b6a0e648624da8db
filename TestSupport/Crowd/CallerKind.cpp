// Builds the bytes that each kind of caller sends.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Crowd/CallerKind.h>

namespace Loomreach::Crowd
{

namespace
{

constexpr size_t cBodyBytes = 500'000; ///< Below the limit of a job's body.
constexpr size_t cMissingBytes = 10;
constexpr size_t cChunkBytes = 1024;
constexpr size_t cTinyChunks = 80'000;
constexpr size_t cNamedBytes = 40'000'000;
constexpr size_t cTooLongBytes = 3'000'000;
constexpr size_t cFields = 60'000;
constexpr size_t cValues = 166'000;
constexpr uint32 cManyRequests = 5000;
constexpr uint32 cSomeRequests = 50;
constexpr Millis cSlowPauseMs = 500;

std::string HeadOf(const Target &inTarget, std::string_view inMethod, std::string_view inFields)
{
	return std::string(inMethod) + " " + inTarget.path + " HTTP/1.1\r\nHost: " + inTarget.host + "\r\n" + std::string(inFields) + "\r\n";
}

std::string HeadWithLength(const Target &inTarget, size_t inBytes)
{
	return HeadOf(inTarget, "POST", "Content-Length: " + std::to_string(inBytes) + "\r\n");
}

std::string HeadOfChunks(const Target &inTarget) { return HeadOf(inTarget, "POST", "Transfer-Encoding: chunked\r\n"); }

/// A chunk of `inBytes` bytes.
std::string ChunkOf(size_t inBytes)
{
	std::array<char, 20> length{};
	std::snprintf(length.data(), length.size(), "%zx\r\n", inBytes);
	return length.data() + std::string(inBytes, 'x') + "\r\n";
}

/// A body of legal size without its last bytes.
Behaviour UnfinishedBody(const Target &inTarget, size_t inWriteBytes)
{
	Behaviour caller;
	caller.first = HeadWithLength(inTarget, cBodyBytes) + std::string(cBodyBytes - cMissingBytes, 'x');
	caller.write_bytes = inWriteBytes;
	return caller;
}

Behaviour Chunked(const Target &inTarget, size_t inChunkBytes, size_t inChunks)
{
	Behaviour caller;
	caller.first = HeadOfChunks(inTarget);
	caller.repeated = ChunkOf(inChunkBytes);
	caller.repeats = static_cast<uint32>(inChunks);
	return caller;
}

Behaviour NamedTooLong(const Target &inTarget)
{
	Behaviour caller;
	caller.first = HeadWithLength(inTarget, cNamedBytes);
	caller.repeated = std::string(cChunkBytes, 'x');
	caller.repeats = static_cast<uint32>(cTooLongBytes / cChunkBytes);
	return caller;
}

Behaviour ManyFields(const Target &inTarget)
{
	std::string fields;
	for (size_t field = 0; field < cFields; ++field)
		fields += "f" + std::to_string(field) + ": 1\r\n";
	Behaviour caller;
	caller.first = HeadOf(inTarget, "GET", fields);
	return caller;
}

/// A job that would be accepted, with a member that its reader does not know.
Behaviour ManyValues(const Target &inTarget)
{
	std::string body = R"({"spec":"ms=200","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}],"notes":[{})";
	for (size_t value = 1; value < cValues; ++value)
		body += ",{}";
	body += "]}";
	Behaviour caller;
	caller.first = HeadWithLength(inTarget, body.size()) + body;
	return caller;
}

/// Requests without a body, one after the other.
Behaviour Requests(const Target &inTarget, uint32 inCount, EReading inReading, ELeaving inLeaving)
{
	Behaviour caller;
	caller.repeated = HeadOf(inTarget, "GET", "");
	caller.repeats = inCount;
	caller.has_small_window = true;
	caller.reading = inReading;
	caller.leaving = inLeaving;
	return caller;
}

Behaviour SlowSender(std::string inBytes)
{
	Behaviour caller;
	caller.first = std::move(inBytes);
	caller.write_bytes = 1;
	caller.write_pause_ms = cSlowPauseMs;
	return caller;
}

/// Sends all of the head and a part of the body at once, the rest slowly.
Behaviour SlowBody(const Target &inTarget)
{
	Behaviour caller;
	caller.first = HeadWithLength(inTarget, cBodyBytes) + std::string(cBodyBytes / 2, 'x');
	caller.repeated = "x";
	caller.repeats = static_cast<uint32>(cBodyBytes / 2);
	caller.write_pause_ms = cSlowPauseMs;
	return caller;
}

/// Each place to stop with each way to leave.
std::vector<Behaviour> HalfWay(const Target &inTarget)
{
	const std::string head = HeadWithLength(inTarget, cBodyBytes);
	std::vector<Behaviour> callers;
	for (const std::string &sent : {head.substr(0, head.size() / 2), head + std::string(cBodyBytes / 2, 'x')})
		for (ELeaving leaving : {ELeaving::Stays, ELeaving::Closes, ELeaving::Resets})
		{
			Behaviour caller;
			caller.first = sent;
			caller.leaving = leaving;
			callers.push_back(std::move(caller));
		}
	return callers;
}

} // namespace

std::vector<Behaviour> BehavioursOf(ECallerKind inKind, const Target &inTarget)
{
	switch (inKind)
	{
	case ECallerKind::OnePiece: return {UnfinishedBody(inTarget, cBodyBytes)};
	case ECallerKind::SmallPieces: return {UnfinishedBody(inTarget, cChunkBytes)};
	case ECallerKind::Chunks: return {Chunked(inTarget, cChunkBytes, cBodyBytes / cChunkBytes)};
	case ECallerKind::TinyChunks: return {Chunked(inTarget, 1, cTinyChunks)};
	case ECallerKind::TooLong: return {NamedTooLong(inTarget), Chunked(inTarget, cChunkBytes, cTooLongBytes / cChunkBytes)};
	case ECallerKind::ManyFields: return {ManyFields(inTarget)};
	case ECallerKind::ManyValues: return {ManyValues(inTarget)};
	case ECallerKind::Pipelined: return {Requests(inTarget, cManyRequests, EReading::Never, ELeaving::Stays)};
	case ECallerKind::SlowSenders:
		return {SlowSender(HeadOf(inTarget, "GET", std::string(cChunkBytes, 'x') + ": 1\r\n")), SlowBody(inTarget)};
	case ECallerKind::SlowReaders: return {Requests(inTarget, cSomeRequests, EReading::Slowly, ELeaving::Stays)};
	case ECallerKind::HalfWay: return HalfWay(inTarget);
	case ECallerKind::Vanish: return {Requests(inTarget, cSomeRequests, EReading::Never, ELeaving::Closes)};
	case ECallerKind::Idle: return {Behaviour()};
	}
	return {Behaviour()};
}

} // namespace Loomreach::Crowd
