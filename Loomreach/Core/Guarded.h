// Callbacks that do nothing once their object is destroyed, so that an answer that arrives after its requester was destroyed is ignored.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Base class of objects that register callbacks to themselves.
class Guarded
{
protected:
	Guarded() = default;
	~Guarded() = default;
	Guarded(const Guarded &) = delete;
	Guarded &operator=(const Guarded &) = delete;

	/// Wraps a callback so that it does nothing once this object is destroyed.
	template <class F>
	auto Guard(F inCall)
	{
		return [alive = std::weak_ptr<bool>(this->alive), call = std::move(inCall)](auto &&...inArguments)
		{
			if (!alive.expired())
				call(std::forward<decltype(inArguments)>(inArguments)...);
		};
	}

private:
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Loomreach
