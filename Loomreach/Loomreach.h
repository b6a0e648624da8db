// Common header, included first by every source file of the library, the programs and the tests. Contains only standard headers,
// fixed-width integer types and the type of time, none of the project's logic.

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

/// Monotonic time or duration, ms. The origin is arbitrary, so points in time of different processes must not be compared.
using Millis = int64;

} // namespace Loomreach
