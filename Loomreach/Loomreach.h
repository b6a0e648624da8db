// The common header: included first by every source file of the library, the programs and the tests.
// It brings in the standard containers and the fixed-width names that the whole tree uses, and nothing of the system's own logic.

#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Loomreach
{

using uint8 = std::uint8_t;
using uint16 = std::uint16_t;
using uint32 = std::uint32_t;
using uint64 = std::uint64_t;
using int64 = std::int64_t;

/// Monotonic time in milliseconds since an arbitrary start of the own process. Never compared between processes.
using Millis = int64;

} // namespace Loomreach
