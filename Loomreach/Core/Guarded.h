// Callbacks that end with the object they call: a call that is answered after its caller is gone does nothing.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Base of objects that hand out callbacks to themselves.
class Guarded
{
protected:
	Guarded() = default;
	~Guarded() = default;
	Guarded(const Guarded &) = delete;
	Guarded &operator=(const Guarded &) = delete;

	/// The same callback, which does nothing once this object is destroyed.
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
