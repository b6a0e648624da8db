// Kinds of callers that misbehave, and what each of them sends, reads and leaves undone.
//
// A kind is a list of behaviours. The connections of a crowd take them in turn.

#pragma once

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach::Crowd
{

/// What is wrong with a crowd of callers.
enum class ECallerKind : uint8
{
	OnePiece,    ///< Bodies of legal size in one piece, whose end never comes.
	SmallPieces, ///< The same in small pieces.
	Chunks,      ///< The same with the chunked encoding.
	TinyChunks,  ///< Chunks of one byte, never ended.
	TooLong,     ///< Bodies far beyond the limit, with a length and without one.
	ManyFields,  ///< Heads with very many header fields.
	ManyValues,  ///< Complete bodies of legal size with very many JSON values.
	Pipelined,   ///< Very many requests on a connection, whose answers are never read.
	SlowSenders, ///< A byte now and then, of a head or of a body.
	SlowReaders, ///< A byte now and then is read of the answers.
	HalfWay,     ///< Stops within a head or a body, then closes, resets or keeps the connection.
	Vanish,      ///< Requests whose answers are not read, then a close.
	Idle         ///< Connections that send nothing.
};

inline constexpr std::array cCallerKindNames = {
	EnumName<ECallerKind>{ECallerKind::OnePiece, "one-piece"},
	EnumName<ECallerKind>{ECallerKind::SmallPieces, "small-pieces"},
	EnumName<ECallerKind>{ECallerKind::Chunks, "chunks"},
	EnumName<ECallerKind>{ECallerKind::TinyChunks, "tiny-chunks"},
	EnumName<ECallerKind>{ECallerKind::TooLong, "too-long"},
	EnumName<ECallerKind>{ECallerKind::ManyFields, "many-fields"},
	EnumName<ECallerKind>{ECallerKind::ManyValues, "many-values"},
	EnumName<ECallerKind>{ECallerKind::Pipelined, "pipelined"},
	EnumName<ECallerKind>{ECallerKind::SlowSenders, "slow-senders"},
	EnumName<ECallerKind>{ECallerKind::SlowReaders, "slow-readers"},
	EnumName<ECallerKind>{ECallerKind::HalfWay, "half-way"},
	EnumName<ECallerKind>{ECallerKind::Vanish, "vanish"},
	EnumName<ECallerKind>{ECallerKind::Idle, "idle"},
};

/// How a caller reads answers.
enum class EReading : uint8
{
	All,   ///< As soon as they arrive.
	Never, ///< Not at all.
	Slowly ///< A byte now and then.
};

/// How a caller leaves.
enum class ELeaving : uint8
{
	Stays,  ///< Keeps the connection until the crowd ends.
	Closes, ///< Closes the connection.
	Resets  ///< Resets the connection.
};

/// Behaviour of one caller. It sends `first` once and then `repeated` a number of times.
struct Behaviour
{
	std::string first;
	std::string repeated;
	uint32 repeats = 0;
	size_t write_bytes = 65'536; ///< Bytes of one write, at most.
	Millis write_pause_ms = 0;   ///< Time between two writes.
	bool has_small_window = false;
	EReading reading = EReading::All;
	ELeaving leaving = ELeaving::Stays;
};

/// The request target and the Host header of a crowd's requests.
struct Target
{
	std::string path;
	std::string host;
};

/// The behaviours of a kind; at least one.
std::vector<Behaviour> BehavioursOf(ECallerKind inKind, const Target &inTarget);

} // namespace Loomreach::Crowd
