// Tracks which parts of a test's deployment a fault affects, so that the checks of rules with a time bound can excuse what happens near
// one.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// What a fault affects.
enum class EScope : uint8
{
	Store,   ///< The metadata store, for all.
	Entry,   ///< An entry host or its way to the store.
	Workers, ///< Workers, and orders to them.
	Config,  ///< The operator's configuration.
	Count
};

/// Faults that are on, and when the last one of each scope ended.
class TroubleWatch
{
public:
	void Begin(EScope inScope) { ++this->scopes[static_cast<size_t>(inScope)].open; }
	void End(EScope inScope, Millis inNow)
	{
		Scope &scope = this->scopes[static_cast<size_t>(inScope)];
		scope.open -= scope.open > 0 ? 1 : 0;
		scope.last = inNow;
	}
	/// For how long these scopes have been free of faults, ms; 0 while a fault is on.
	Millis CalmFor(std::initializer_list<EScope> inScopes, Millis inNow) const
	{
		Millis calm = inNow;
		for (const EScope name : inScopes)
		{
			const Scope &scope = this->scopes[static_cast<size_t>(name)];
			calm = scope.open > 0 ? 0 : std::min(calm, inNow - scope.last);
			if (calm == 0)
				break;
		}
		return calm;
	}

private:
	struct Scope
	{
		size_t open = 0; ///< Faults that are on; they may overlap.
		Millis last = 0; ///< When the last one ended; 0: there was none.
	};

	std::array<Scope, static_cast<size_t>(EScope::Count)> scopes{};
};

} // namespace Loomreach
