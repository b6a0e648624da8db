// Tables of names for enumerations. One table for each enumeration is used both to write and to parse its names, so that the two always
// agree.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Row of a table of names: an enumerator and its name in settings, logs and responses.
template <class E>
struct EnumName
{
	E value;
	std::string_view name;
};

/// Returns the name of an enumerator, or "?" if the table does not have it (a value received over the network).
template <class E, size_t N>
constexpr std::string_view NameOf(const std::array<EnumName<E>, N> &inTable, E inValue)
{
	for (const EnumName<E> &row : inTable)
		if (row.value == inValue)
			return row.name;
	return "?";
}

/// Returns the enumerator with a name, or nothing if the table does not have it.
template <class E, size_t N>
constexpr std::optional<E> ValueOf(const std::array<EnumName<E>, N> &inTable, std::string_view inName)
{
	for (const EnumName<E> &row : inTable)
		if (row.name == inName)
			return row.value;
	return std::nullopt;
}

} // namespace Loomreach
