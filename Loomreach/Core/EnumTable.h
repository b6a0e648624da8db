// Tables of names for enumerations: each enumeration of the system has one table, from which text is written and read.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// One row of a table of names: an enumerator and the word by which settings, logs and answers call it.
template <class E>
struct EnumName
{
	E value;
	std::string_view name;
};

/// The name of an enumerator, or "?" when the table has no row for it (a value that came over the wire).
template <class E, size_t N>
constexpr std::string_view NameOf(const std::array<EnumName<E>, N> &inTable, E inValue)
{
	for (const EnumName<E> &row : inTable)
		if (row.value == inValue)
			return row.name;
	return "?";
}

/// The enumerator called by a name, or nothing when the table has no such name.
template <class E, size_t N>
constexpr std::optional<E> ValueOf(const std::array<EnumName<E>, N> &inTable, std::string_view inName)
{
	for (const EnumName<E> &row : inTable)
		if (row.name == inName)
			return row.value;
	return std::nullopt;
}

} // namespace Loomreach
