// Bounds of what clients of a process's listeners may take, and the names under which connections beyond them are reported.

#pragma once

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach
{

/// Bounds over all listeners of a process.
struct ConnectionLimits
{
	size_t max_request_bytes = 32 << 20; ///< Of all requests that are not complete or whose answer has not been read.
	size_t max_connections = 1500;
	Millis stall_ms = 20'000;        ///< Time without progress of a head, a body, or the reading of an answer.
	Millis request_time_ms = 60'000; ///< For a head and a body together.
};

/// Why a connection was closed or a request refused.
enum class ELimit : uint8
{
	Memory,      ///< Unfinished requests took as much memory as they may.
	Connections, ///< As many connections were open as may be.
	Descriptors, ///< The process had no descriptor left for a new connection.
	Stall,       ///< No progress.
	RequestTime, ///< The head and body took too long.
	Gone,        ///< The client had gone while its request was being served.
	Count
};

/// Values of the field `limit` in log lines and of the label in metrics.
inline constexpr std::array<EnumName<ELimit>, static_cast<size_t>(ELimit::Count)> cLimitNames = {{{ELimit::Memory, "memory"},
																								  {ELimit::Connections, "connections"},
																								  {ELimit::Descriptors, "descriptors"},
																								  {ELimit::Stall, "stall"},
																								  {ELimit::RequestTime, "request_time"},
																								  {ELimit::Gone, "gone"}}};

} // namespace Loomreach
